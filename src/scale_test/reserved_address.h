// A TCP address that stays free for a process yet to be started: bound here, never listened on. The process
// has to bind it with SO_REUSEADDR.
#pragma once
#include <string>

#include "socket.h"

namespace corkmux::scale_test {

class ReservedAddress {
 public:
  /// A free port of that IPv4 address. Throws ProcessError if there is none.
  explicit ReservedAddress(const std::string& ip);
  /// host:port
  const std::string& text() const { return text_; }

 private:
  http::Fd socket_;
  std::string text_;
};

}  // namespace corkmux::scale_test

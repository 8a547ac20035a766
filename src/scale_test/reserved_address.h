// Reserves a TCP address for a process that is started later: a socket is bound to the address but never
// listens. The process must bind the address with SO_REUSEADDR.
#pragma once
#include <string>

#include "socket.h"

namespace corkmux::scale_test {

class ReservedAddress {
 public:
  /// Reserves a free port of the IPv4 address `ip`. Throws ProcessError if there is none.
  explicit ReservedAddress(const std::string& ip);
  /// host:port
  const std::string& text() const { return text_; }

 private:
  http::Fd socket_;
  std::string text_;
};

}  // namespace corkmux::scale_test

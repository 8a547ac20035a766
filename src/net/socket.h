// Non-blocking TCP sockets: their descriptors, addresses, reading and writing.
#pragma once
#include <netinet/in.h>

#include <cstddef>
#include <string>
#include <utility>

namespace corkmux::http {

/// Owns a file descriptor.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  ~Fd();
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

/// "a.b.c.d:port"; throws std::runtime_error if it is not that.
sockaddr_in parse_address(const std::string& address);

/// A descriptor of a new non-blocking socket, -1 with errno set if there is none.
int open_socket();
/// Sends small messages at once.
void disable_delay(int fd);

enum class IoStatus { Done, Blocked, Closed };
/// Replaces `into` by what is there to read.
IoStatus read_some(int fd, std::string& into);
/// Writes `out` from `offset` on; when all is written, clears both.
IoStatus write_some(int fd, std::string& out, std::size_t& offset);

}  // namespace corkmux::http

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

/// Parses "a.b.c.d:port"; throws std::runtime_error on any other text.
sockaddr_in parse_address(const std::string& address);

/// Returns the descriptor of a new non-blocking socket, or -1 with errno set.
int open_socket();
/// Disables Nagle's algorithm, so that small messages are sent at once.
void disable_delay(int fd);

enum class IoStatus { Done, Blocked, Closed };
/// Replaces `into` by the bytes available to read, at most kReadChunk.
IoStatus read_some(int fd, std::string& into);
/// Writes `out` from `offset` on; clears both when everything is written.
IoStatus write_some(int fd, std::string& out, std::size_t& offset);

}  // namespace corkmux::http

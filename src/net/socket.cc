#include "socket.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

#include "ipv4_address.h"
#include "net_constants.h"

namespace corkmux::http {
namespace {

bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

}  // namespace

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}

sockaddr_in parse_address(const std::string& address) {
  const auto parsed = parse_ipv4_address(address);
  if (!parsed) throw std::runtime_error("not an IPv4 address with a port: '" + address + "'");
  return *parsed;
}

int open_socket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void disable_delay(int fd) {
  int yes = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

IoStatus read_some(int fd, std::string& into) {
  char chunk[constants::kReadChunk];
  ssize_t received = ::recv(fd, chunk, sizeof chunk, 0);
  if (received > 0) {
    into.assign(chunk, static_cast<std::size_t>(received));
    return IoStatus::Done;
  }
  return received < 0 && would_block() ? IoStatus::Blocked : IoStatus::Closed;
}

IoStatus write_some(int fd, std::string& out, std::size_t& offset) {
  while (offset < out.size()) {
    ssize_t sent = ::send(fd, out.data() + offset, out.size() - offset, MSG_NOSIGNAL);
    if (sent <= 0) return sent < 0 && would_block() ? IoStatus::Blocked : IoStatus::Closed;
    offset += static_cast<std::size_t>(sent);
  }
  out.clear();
  offset = 0;
  return IoStatus::Done;
}

}  // namespace corkmux::http

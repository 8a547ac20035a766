#include "socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <string_view>

#include "net_constants.h"
#include "parse_number.h"

namespace corkmux::http {
namespace {

constexpr int kMaxPort = 65535;

bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

/// Parses a port number; returns -1 if the text is none.
int parse_port(std::string_view text) {
  int port = 0;
  return parse_number(text, port) && port >= 0 && port <= kMaxPort ? port : -1;
}

}  // namespace

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}

sockaddr_in parse_address(const std::string& address) {
  auto colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  int port = colon == std::string::npos ? -1 : parse_port(std::string_view(address).substr(colon + 1));
  if (port < 0 || inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) != 1)
    throw std::runtime_error("not an IPv4 address with a port: '" + address + "'");
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  return out;
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

#include "reserved_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "child_process.h"

namespace corkmux::scale_test {

ReservedAddress::ReservedAddress(const std::string& ip)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  int yes = 1;
  ::setsockopt(socket_.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  socklen_t size = sizeof address;
  auto* generic_address = reinterpret_cast<sockaddr*>(&address);
  if (::bind(socket_.get(), generic_address, size) != 0) throw ProcessError(ip + ": " + std::strerror(errno));
  ::getsockname(socket_.get(), generic_address, &size);
  text_ = ip + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace corkmux::scale_test

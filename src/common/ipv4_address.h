// Addresses of the form a.b.c.d:port.
#pragma once
#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corkmux {

/// Parses an IPv4 address with a port; nullopt for any other text.
inline std::optional<sockaddr_in> parse_ipv4_address(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string_view port_text = address.substr(colon + 1);
  std::uint16_t port = 0;
  const char* const end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const std::string host(address.substr(0, colon));
  if (inet_pton(AF_INET, host.c_str(), &out.sin_addr) != 1) return std::nullopt;
  out.sin_port = htons(port);
  return out;
}

}  // namespace corkmux

// Shared by the stand-ins of the platform's HTTP services: their replies, and access to query parameters.
#pragma once
#include <string>

#include "codec.h"

namespace corkmux::simulation {

/// An HTTP status and a body, which is sent in the protocol's encoding (codec::pack).
struct ServiceReply {
  int status = 200;
  codec::Json body;
};

/// The value of a query parameter, not decoded; empty if the parameter is absent.
inline std::string query_field(const std::string& target, const std::string& name) {
  const auto found = target.find(name + "=");
  if (found == std::string::npos) return "";
  const auto begin = found + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace corkmux::simulation

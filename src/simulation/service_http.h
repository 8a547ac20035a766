// What the stand-ins of the platform's HTTP services share: replies, and the query of a request's target.
#pragma once
#include <string>

#include "codec.h"

namespace corkmux::simulation {

/// A status of HTTP with a body, which is sent as PROTOCOL packs it.
struct ServiceReply {
  int status = 200;
  codec::Json body;
};

/// The value of the query's field, as sent; empty if there is none.
inline std::string query_field(const std::string& target, const std::string& name) {
  const auto found = target.find(name + "=");
  if (found == std::string::npos) return "";
  const auto begin = found + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace corkmux::simulation

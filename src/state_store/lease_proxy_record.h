// What a keeper stores, as both the keeper (controller/keeper.h) and the leader read it.
#pragma once
#include <string>
#include <vector>

#include "codec.h"

namespace corkmux {

/// Seconds for which a keeper's record entitles it to answer.
inline double lease_proxy_span(double lease_s) { return lease_s / 2; }

/// The machines that a keeper's record names; an unreadable one names none.
inline std::vector<std::string> machines_in(const codec::Json& record) {
  std::vector<std::string> out;
  if (auto m = record.find("m"); m != record.end() && m->is_array())
    for (const auto& name : *m)
      if (name.is_string()) out.push_back(name.get<std::string>());
  return out;
}

}  // namespace corkmux

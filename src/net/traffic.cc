#include "traffic.h"

#include <algorithm>

namespace corkmux::http {
namespace {

/// Returns the first segment of the path, and the second unless it contains a digit, as the names of jobs and
/// keys do.
std::string_view general_part(std::string_view target) {
  target = target.substr(0, target.find('?'));
  auto first = target.find('/', 1);
  if (first == std::string_view::npos) return target;
  auto second = target.substr(first + 1, target.find('/', first + 1) - first - 1);
  bool named = std::any_of(second.begin(), second.end(), [](char c) { return c >= '0' && c <= '9'; });
  return target.substr(0, named ? first : first + 1 + second.size());
}

}  // namespace

TrafficCount& Traffic::kind(Side side, std::string_view method, std::string_view target) {
  std::string name = side == Side::Sent ? "sent " : "served ";
  name.append(method).append(" ").append(general_part(target));
  auto known = counts_.find(name);
  if (known != counts_.end()) return known->second;
  if (counts_.size() >= kMaxKinds) name = side == Side::Sent ? "sent other" : "served other";
  return counts_[name];
}

}  // namespace corkmux::http

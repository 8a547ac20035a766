#include "worker_sharding.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace corkmux::fanin {
namespace {

std::uint64_t score(const std::string& worker, const std::string& label) {
  std::string both = worker + '\n' + label;
  return XXH3_64bits(both.data(), both.size());
}

}  // namespace

bool WorkerSharding::contains(const std::string& label) const {
  return std::any_of(members_.begin(), members_.end(),
                     [&](const FanInMember& member) { return member.label == label; });
}

std::optional<std::string> WorkerSharding::owner_of(const std::string& worker, const std::string& zone,
                                                    const UsablePredicate& usable) const {
  const FanInMember* best = nullptr;
  bool best_near = false;
  std::uint64_t best_score = 0;
  for (const auto& member : members_) {
    bool near = member.zone == zone;
    if (best && best_near && !near) continue;
    auto own_score = score(worker, member.label);
    bool better = !best || (near && !best_near) || own_score > best_score;
    if (!better || !usable(member.label)) continue;
    best = &member;
    best_near = near;
    best_score = own_score;
  }
  if (!best) return std::nullopt;
  return best->label;
}

}  // namespace corkmux::fanin

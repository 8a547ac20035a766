#include "worker_sharding.h"

#include "heartbeat_fanin_constants.h"

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

bool WorkerSharding::serves(const std::string& label) const {
  return std::any_of(controllers_.begin(), controllers_.end(),
                     [&](const auto& controller) { return controller.label == label; });
}

std::string WorkerSharding::owner_of(const std::string& worker, const std::string& zone,
                                     const std::function<bool(const std::string&)>& usable) const {
  const FanInMember* best = nullptr;
  bool best_near = false;
  std::uint64_t best_score = 0;
  for (const auto& controller : controllers_) {
    bool near = controller.zone == zone;
    if (best && best_near && !near) continue;
    auto own_score = score(worker, controller.label);
    bool better = !best || (near && !best_near) || own_score > best_score;
    if (!better || !usable(controller.label)) continue;
    best = &controller;
    best_near = near;
    best_score = own_score;
  }
  return best ? best->label : "";
}

bool FanInPolicy::update(int workers) {
  double needed = constants::kSocketsPerWorker * static_cast<double>(workers);
  double share = shared_ ? constants::kFanInBelow : constants::kFanInAbove;
  shared_ = needed > share * max_connections_;
  return shared_;
}

}  // namespace corkmux::fanin

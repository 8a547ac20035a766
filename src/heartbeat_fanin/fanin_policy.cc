#include "fanin_policy.h"

namespace corkmux::fanin {

bool FanInPolicy::update(int workers) {
  double needed = constants::kSocketsPerWorker * static_cast<double>(workers);
  double threshold = fan_in_active_ ? constants::kFanInEndShare : constants::kFanInStartShare;
  fan_in_active_ = needed > threshold * max_connections_;
  return fan_in_active_;
}

}  // namespace corkmux::fanin

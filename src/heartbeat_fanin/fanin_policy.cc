#include "fanin_policy.h"

namespace corkmux::fanin {

bool FanInPolicy::update(int workers) {
  double needed = constants::kSocketsPerWorker * static_cast<double>(workers);
  double share = shared_ ? constants::kFanInBelow : constants::kFanInAbove;
  shared_ = needed > share * max_connections_;
  return shared_;
}

}  // namespace corkmux::fanin

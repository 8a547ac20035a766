// Decides, while this controller leads, which controllers take workers' heartbeats, and announces it. A
// leader with few workers takes them itself; with more than its sockets should carry, all others that can do
// so. Owns the policy and the delay until an announcement counts here; moves no worker itself.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "fanin_policy.h"
#include "leader.h"
#include "peer_exchange.h"
#include "worker_sharding.h"

namespace corkmux {

namespace constants {
inline constexpr double kFanInInterval = 0.5;  // s between decisions
/// s until all controllers have heard an announcement; they synchronize each kPeerTick.
inline constexpr double kFanInSettleTime = 2.5;
}  // namespace constants

class FanInCoordinator {
 public:
  /// Which controllers take heartbeats from now on.
  using ShardingCallback = std::function<void(fanin::WorkerSharding)>;
  FanInCoordinator(Loop& loop, const Settings& settings, Leader& leader, PeerExchange& peers,
                   ShardingCallback sharding_changed);
  void start();
  /// The newest word of a leader, our own among them.
  void fanin_changed(const std::vector<std::string>& labels);

 private:
  void decide();
  fanin::WorkerSharding sharding_of(const std::vector<std::string>& labels) const;
  const Settings& settings_;
  Leader& leader_;
  PeerExchange& peer_exchange_;
  ShardingCallback sharding_changed_;
  fanin::FanInPolicy policy_;
  bool led_ = false;  // at the last decision
  Timer decision_timer_;
  Timer settle_timer_;
};

}  // namespace corkmux

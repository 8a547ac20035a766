// Decides, while this controller leads, which controllers take workers' heartbeats, and announces them. A
// leader with few workers takes the heartbeats itself; with more workers than its sockets should carry, all
// other eligible controllers take them. Owns the policy and the delay until an announcement takes effect on
// this controller; redirects no worker itself.
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
inline constexpr double kFanInDecisionInterval = 0.5;  // s between decisions
/// s until all controllers have received an announcement; they synchronize every kPeerTick.
inline constexpr double kFanInSettleTime = 2.5;
}  // namespace constants

class FanInCoordinator {
 public:
  /// Receives the controllers that take heartbeats from now on.
  using ShardingCallback = std::function<void(fanin::WorkerSharding)>;
  FanInCoordinator(Loop& loop, const Settings& settings, Leader& leader, PeerExchange& peers,
                   ShardingCallback sharding_changed);
  void start();
  /// Takes in the newest announcement of any leader, this controller included.
  void fanin_changed(const std::vector<std::string>& labels);

 private:
  void decide();
  fanin::WorkerSharding sharding_of(const std::vector<std::string>& labels) const;
  const Settings& settings_;
  Leader& leader_;
  PeerExchange& peer_exchange_;
  ShardingCallback sharding_changed_;
  fanin::FanInPolicy policy_;
  bool was_leading_ = false;  // whether this controller led at the last decision
  Timer decision_timer_;
  Timer settle_timer_;
};

}  // namespace corkmux

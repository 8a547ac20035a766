// Decides, while this controller leads, which controllers serve workers, and tells them. A leader with few
// workers serves them itself; with more than its sockets should carry, all others that can serve them.
#pragma once
#include "gateway.h"
#include "leader.h"
#include "peer_exchange.h"
#include "worker_sharding.h"

namespace corkmux {

class FanInCoordinator {
 public:
  FanInCoordinator(Loop& loop, const Settings& settings, Leader& leader, PeerExchange& peers,
                   Gateway& gateway);
  void start();
  /// The newest word of a leader, our own among them.
  void fanin_changed(const std::vector<std::string>& labels);

 private:
  void look();
  fanin::WorkerSharding sharding_of(const std::vector<std::string>& labels) const;
  const Settings& settings_;
  Leader& leader_;
  PeerExchange& peer_exchange_;
  Gateway& gateway_;
  fanin::FanInPolicy decision_;
  bool led_ = false;
  Timer timer_, settle_timer_;
};

}  // namespace corkmux

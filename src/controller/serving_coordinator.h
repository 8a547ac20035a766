// Decides, while this controller leads, which controllers serve workers, and tells them. A leader with few
// workers serves them itself; with more than its sockets should carry, all others that can serve them.
#pragma once
#include "assignment.h"
#include "gateway.h"
#include "leader.h"
#include "peers.h"

namespace corkmux {

class ServingCoordinator {
 public:
  ServingCoordinator(Loop& loop, const Settings& settings, Leader& leader, Peers& peers, Gateway& gateway);
  void start();
  /// The newest word of a leader, our own among them.
  void serving_changed(const std::vector<std::string>& labels);

 private:
  void look();
  serving::Assignment assignment_of(const std::vector<std::string>& labels) const;
  const Settings& settings_;
  Leader& leader_;
  Peers& peers_;
  Gateway& gateway_;
  serving::SharingDecision decision_;
  bool led_ = false;
  Timer timer_, settle_timer_;
};

}  // namespace corkmux

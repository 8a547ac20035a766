// Settles what became of machines whose leases have run out.
//
// Owns what has been seen of keepers' records. Time alone is no proof that a worker is gone: another
// controller may have answered it, so keepers are asked after the lease is over and before anything counts as
// gone.
#pragma once
#include <map>
#include <string>

#include "scheduler.h"
#include "settings.h"
#include "state_client.h"
#include "term.h"

namespace corkmux {

class LeaseExpiryMonitor : public Actor<LeaseExpiryMonitor> {
 public:
  LeaseExpiryMonitor(Loop& loop, const Settings& settings, StateClient& state, Term& term,
                     Scheduler& scheduler, TermCallbacks callbacks);
  void tick();

 private:
  double span_;  // s for which a keeper's record entitles it
  StateClient& state_;
  Term& term_;
  Scheduler& scheduler_;
  TermCallbacks callbacks_;
  bool asking_ = false;
  double asked_at_ = -1e9;
  std::map<std::string, std::pair<std::uint64_t, double>>
      records_;  // keeper's record -> stamp, when first seen
};

}  // namespace corkmux

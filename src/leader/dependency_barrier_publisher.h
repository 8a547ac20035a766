// Tells all controllers up to when dependents of cancelled jobs have their end stored.
//
// Guards against a job called queued long after one that it needs was cancelled, where no leader could store
// its end meanwhile, for want of a leader or of the state store. Beyond the barrier no controller answers for
// such a job. Peers get the moment with their exchanges; where these are cut, a record in the state store
// carries it, and this class writes that record. It never decides that a job ends. Used on the leader's actor
// only.
#pragma once
#include <optional>

#include "dependency_barrier.h"
#include "job_watcher.h"
#include "scheduler.h"
#include "settings.h"
#include "state_client.h"
#include "term.h"
#include "time_constants.h"

namespace corkmux {

class DependencyBarrierPublisher {
 public:
  /// `known`: the barrier of an earlier term of this controller, kLongAgo if there is none.
  DependencyBarrierPublisher(const Settings& settings, StateClient& state, const Term& term,
                             const Scheduler& scheduler, const JobWatcher& job_watcher, double known);

  /// Moves the barrier as far as job records were seen, and stores it from time to time. Its new moment, s of
  /// the steady clock; nullopt: nothing new was seen.
  std::optional<double> update();

 private:
  static constexpr double kWriteShare = 0.125;  // of cancel_s between two records

  void store(double barrier_at);

  double write_interval_s_;
  StateClient& state_;
  const Term& term_;
  const Scheduler& scheduler_;
  const JobWatcher& job_watcher_;
  DependencyBarrier barrier_;
  double written_at_ = kLongAgo;
};

}  // namespace corkmux

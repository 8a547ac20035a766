// Publishes the dependency barrier to all controllers: the time up to which the dependents of cancelled jobs
// have their end stored.
//
// The barrier prevents a job from being reported as queued long after one of its dependencies was cancelled,
// when its end could not be stored because there was no leader or the state store was unavailable. Beyond the
// barrier no controller answers queries about such a job. Peers receive the barrier in their exchanges; while
// these are cut off, a record in the state store carries it, which this class writes. It never decides that a
// job ends. Used on the leader's actor only.
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
  /// `initial_barrier_at`: the barrier of an earlier term of this controller, kLongAgo if there is none.
  DependencyBarrierPublisher(const Settings& settings, StateClient& state, const Term& term,
                             const Scheduler& scheduler, const JobWatcher& job_watcher,
                             double initial_barrier_at);

  /// Advances the barrier to the time up to which job records were observed, and stores it at intervals.
  /// Returns the new barrier, s of the steady clock; nullopt: it did not advance.
  std::optional<double> update();

 private:
  static constexpr double kWriteShare = 0.125;  // of cancel_s, between two writes of the record

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

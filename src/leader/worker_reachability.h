// Whether workers reach the leader at all.
//
// Guards against a leader that has the state store but no worker: with several machines up, no heartbeat for
// much longer than an interval means that its network is cut. Another must lead before the workers' leases
// run out. Owns the moment of the last direct heartbeat. It never ends a term itself. Used on the leader's
// actor only.
#pragma once
#include "settings.h"

namespace corkmux {

class WorkerReachability {
 public:
  /// `term_since`: s of the steady clock; a new leader gives the workers time to find it.
  WorkerReachability(const Settings& settings, double term_since);

  /// A worker was heard directly, or nobody could have been heard until now.
  void heard(double now) { heard_at_ = now; }
  /// Whether so many machines that are up would have been heard by now.
  bool lost(double now, int machines_up) const;
  /// Whether no worker has been heard for longer than is usual.
  bool silent(double now) const;

 private:
  static constexpr double kHeartbeatIntervals = 1.5;  // without any heartbeat
  static constexpr int kMinMachines = 3;              // up, so that silence means something

  double patience_s_;
  double grace_until_;  // s of the steady clock
  double heard_at_;
};

}  // namespace corkmux

// Detects that workers cannot reach the leader.
//
// Guards against a leader that reaches the state store but no worker: if several machines are up and no
// heartbeat arrives for much longer than an interval, the leader's network is cut off. Another controller
// must become leader before the workers' leases expire. Owns the time of the last direct heartbeat; it never
// ends a term itself. Used on the leader's actor only.
#pragma once
#include "settings.h"

namespace corkmux {

class WorkerReachability {
 public:
  /// `term_since`: s of the steady clock; workers get some time to find a new leader.
  WorkerReachability(const Settings& settings, double term_since);

  /// Records a direct heartbeat, or that no heartbeat could have been received until now.
  void heartbeat_received(double now) { last_heartbeat_at_ = now; }
  /// Whether workers cannot reach the leader: with so many machines up, a heartbeat would have arrived by
  /// now.
  bool unreachable(double now, int machines_up) const;
  /// Whether no heartbeat has arrived for longer than usual.
  bool silent(double now) const;

 private:
  static constexpr double kHeartbeatIntervals = 1.5;  // without any heartbeat
  static constexpr int kMinMachines = 3;              // that are up; fewer may all be down themselves

  double max_silence_s_;
  double grace_until_;  // s of the steady clock
  double last_heartbeat_at_;
};

}  // namespace corkmux

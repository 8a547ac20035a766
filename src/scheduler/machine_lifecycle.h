// A machine's way from provisioned to returned, and its silence on the way.
//
// Owns which machines were returned, since when we have listened, and which zones are cut off by the network.
// It needs the cluster's state, TaskLifecycle for tasks whose machine is gone, and FailureTracker for
// machines that count as faulty. It never talks to the cloud: it says which machines are to be returned.
#pragma once
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster_state.h"
#include "failure_tracker.h"
#include "task_lifecycle.h"

namespace corkmux {
namespace constants {

inline constexpr double kDeadAfterHeartbeats = 3.6;  // heartbeats missed: returned to the cloud
inline constexpr double kMaxSilentShare = 0.4;       // of a zone's machines; above, the network is at fault
inline constexpr double kBootLate = 3.0;    // times the catalog's boot time before a boot counts as failed
inline constexpr double kBootGrace = 15.0;  // s beyond that
inline constexpr std::size_t kReturnedNames = 2000;  // returned machines remembered; lists lag by seconds

}  // namespace constants

class MachineLifecycle {
 public:
  MachineLifecycle(ClusterState& state, TaskLifecycle& lifecycle, FailureTracker& failures)
      : state_(state), lifecycle_(lifecycle), failures_(failures) {}

  /// The machine was asked for.
  void machine_provisioned(const std::string& name, const std::string& type, const std::string& zone,
                           bool spot, double now);
  /// The cloud's list of machines.
  void machines_listed(const std::vector<ListedMachine>& machines, double now);
  /// The machine takes no new work and is to be returned.
  void decommission(const std::string& name, double now);
  std::vector<std::string> decommissioning() const;
  /// The cloud has taken the machines back.
  void machines_deleted(const std::vector<std::string>& names, double now);
  /// Late heartbeats and old lists may still speak of it.
  bool was_returned(const std::string& name) const { return returned_.contains(name); }
  /// Stops, with time to save, what can be saved before the machine is gone.
  void drain(Machine& machine, double now);

  void tick(double now);
  /// The process stood still until now: machines were not silent, we did not listen.
  void process_stalled(double now);
  /// Whether some machine was silent at the last tick: a lease proxy may be answering it.
  bool any_silent() const { return any_silent_; }
  /// Machines with tasks whose leases have run out unless a lease proxy has renewed them: to be asked before
  /// the tasks count as lost.
  std::vector<std::string> machines_with_expired_leases(double now) const;
  void renewed_by_proxy(const std::string& name, double until);
  void lease_expired(const std::string& name, double now);

 private:
  bool never_came_up(const Machine& machine, double now) const;
  bool is_broken(const Machine& machine, double now) const;
  /// Whether we have listened for so long that a silent machine would have been heard.
  bool has_listened(double now) const;
  void count_silent_machines(double now);
  bool can_drain(const Machine& machine, const Job& job, const ActiveTask& task, double now) const;

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  FailureTracker& failures_;
  std::set<std::string> returned_;
  std::map<std::string, double> partitioned_until_;  // by zone: its silent machines are the network's fault
  double listened_since_ = kLongAgo;
  bool any_silent_ = false;
};

}  // namespace corkmux

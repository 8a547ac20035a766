// The lifecycle of a machine from provisioning to its return to the cloud, including missed heartbeats and
// expired leases.
//
// Owns the names of returned machines, the time since which heartbeats have been received without a stall,
// and the zones that count as partitioned. Depends on ClusterState, on TaskLifecycle for tasks whose machine
// is gone, and on FailureTracker for machines that count as faulty. It sends no requests to the cloud: it
// lists the machines to be returned.
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

inline constexpr double kDeadAfterHeartbeats = 3.6;  // missed heartbeats, then it is returned to the cloud
inline constexpr double kMaxSilentShare = 0.4;       // of a zone's machines; above it the zone is partitioned
inline constexpr double kBootTimeoutFactor = 3.0;    // times the catalog's boot time; later the boot failed
inline constexpr double kBootGrace = 15.0;           // s added to that
inline constexpr std::size_t kReturnedNames = 2000;  // names kept, because the cloud's lists lag by seconds

}  // namespace constants

class MachineLifecycle {
 public:
  MachineLifecycle(ClusterState& state, TaskLifecycle& lifecycle, FailureTracker& failures)
      : state_(state), lifecycle_(lifecycle), failures_(failures) {}

  /// Adds a machine that was requested from the cloud.
  void machine_provisioned(const std::string& name, const std::string& type, const std::string& zone,
                           bool spot, double now);
  /// Applies the cloud's list of machines.
  void machines_listed(const std::vector<ListedMachine>& machines, double now);
  /// Stops placing tasks on the machine and lists it for its return; launches that were not sent are
  /// withdrawn.
  void decommission(const std::string& name, double now);
  std::vector<std::string> decommissioning() const;
  /// The cloud has deleted the machines: their tasks are lost.
  void machines_deleted(const std::vector<std::string>& names, double now);
  /// Whether the machine was returned: late heartbeats and outdated lists may still name it.
  bool was_returned(const std::string& name) const { return returned_.contains(name); }
  /// Stops, with time to save, the machine's tasks that can save before the machine is gone.
  void drain(Machine& machine, double now);

  /// Resumes direct sending to machines whose probe is due, decommissions dead machines, and drains faulty
  /// ones, which are decommissioned once they are empty.
  void tick(double now);
  /// The process was stalled until now and received no heartbeats, so machines do not count as silent.
  void process_stalled(double now);
  /// Whether a machine was silent at the last tick: a lease proxy may be renewing its lease.
  bool any_silent() const { return any_silent_; }
  /// Machines with tasks whose leases have expired unless a lease proxy has renewed them. The lease proxies
  /// have to be queried before the tasks count as lost.
  std::vector<std::string> machines_with_expired_leases(double now) const;
  /// A lease proxy may have renewed the worker's lease until then.
  void renewed_by_proxy(const std::string& name, double until);
  /// The machine's lease has certainly expired: its tasks are lost.
  void lease_expired(const std::string& name, double now);

 private:
  bool boot_timed_out(const Machine& machine, double now) const;
  bool is_dead(const Machine& machine, double now) const;
  /// Whether heartbeats have been received for long enough that a working machine must have sent one.
  bool has_observed_long_enough(double now) const;
  void count_silent_machines(double now);
  bool can_drain(const Machine& machine, const Job& job, const ActiveTask& task, double now) const;

  ClusterState& state_;
  TaskLifecycle& lifecycle_;
  FailureTracker& failures_;
  std::set<std::string> returned_;
  std::map<std::string, double> partitioned_until_;  // by zone: its silent machines are not dead until then
  double observing_since_ = kLongAgo;
  bool any_silent_ = false;
};

}  // namespace corkmux

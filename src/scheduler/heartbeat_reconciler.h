// Reconciles a worker's heartbeat with the tasks that are assigned to its machine.
//
// Owns nothing. It needs the cluster's state and, for what follows from a heartbeat, TaskLifecycle,
// MachineLifecycle and CommandQueue. Every proof by a worker's word that a task's place is empty is made
// here, see HeartbeatReconciler::prove_absences().
#pragma once
#include <cstdint>
#include <set>
#include <vector>

#include "cluster_state.h"
#include "command_queue.h"
#include "machine_lifecycle.h"
#include "task_lifecycle.h"
#include "task_record_store.h"

namespace corkmux {
namespace constants {

inline constexpr double kSlopeSmoothing = 0.3;  // weight of the newest slope of slack and heat

}  // namespace constants

/// How a heartbeat came: by itself, or as the answer to a batch of commands.
enum class HeartbeatChannel { Heartbeat, CommandBatch };

/// What a heartbeat's answer is to say.
struct HeartbeatResult {
  bool superseded = false;  // the worker obeys a later term than ours
  std::vector<TaskCommand> commands;
  std::uint64_t fencing_token = 0;
};

class HeartbeatReconciler {
 public:
  HeartbeatReconciler(ClusterState& state, TaskRecordStore& records, TaskLifecycle& lifecycle,
                      CommandQueue& commands, MachineLifecycle& machines)
      : state_(state), records_(records), lifecycle_(lifecycle), commands_(commands), machines_(machines) {}

  HeartbeatResult reconcile(const Heartbeat& heartbeat, HeartbeatChannel channel, double now);

 private:
  /// One heartbeat on its way through the steps.
  struct Reconciliation {
    const Heartbeat& heartbeat;
    HeartbeatChannel channel;
    double now;
    Machine& machine;
    HeartbeatResult result;
    std::set<TaskId> present;        // assigned tasks that the worker speaks of
    std::vector<TaskCommand> ended;  // that the worker may forget
  };

  // The steps, in their order.
  Machine& adopt_machine(const Heartbeat& heartbeat, double now);
  bool is_superseded(const Heartbeat& heartbeat, const Machine& machine) const;
  static bool is_stale(const Heartbeat& heartbeat, const Machine& machine);
  void begin_epoch(const Heartbeat& heartbeat, Machine& machine, double now);
  void observe_token(const Heartbeat& heartbeat, Machine& machine, double now);
  void note_spot_notice(const Heartbeat& heartbeat, Machine& machine, double now);
  void apply_status(Reconciliation& pass, const TaskStatus& status);
  void acknowledge_ended_tasks(Reconciliation& pass);
  void prove_absences(Reconciliation& pass);
  void update_load(Machine& machine, double now);
  void attach_launches(Reconciliation& pass);

  void take_in(const Heartbeat& heartbeat, Machine& machine, double now);
  void apply_exit(Reconciliation& pass, const TaskStatus& status, Job* job, bool assigned);
  bool must_keep(const TaskStatus& status, Job* job);
  static bool proves_absence(const Reconciliation& pass, const ActiveTask& task);

  ClusterState& state_;
  TaskRecordStore& records_;
  TaskLifecycle& lifecycle_;
  CommandQueue& commands_;
  MachineLifecycle& machines_;
};

}  // namespace corkmux

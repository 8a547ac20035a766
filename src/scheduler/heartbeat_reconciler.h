// Reconciles a worker's heartbeat with the tasks that are assigned to its machine.
//
// Owns no data. Depends on ClusterState and TaskRecordStore and, to apply what a heartbeat reports, on
// TaskLifecycle, MachineLifecycle and CommandQueue. Only this module concludes from a heartbeat that a task
// is absent from its machine, see HeartbeatReconciler::mark_absent_tasks_lost().
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

inline constexpr double kSlopeSmoothing = 0.3;  // weight of the newest slope of slack and starting tasks
/// Missed heartbeats after which older ones are taken for those of a restarted machine, not for late copies.
inline constexpr double kRestartSuspectedAfterHeartbeats = 1.5;

}  // namespace constants

/// How a heartbeat arrived: as a request of the worker, or as the worker's reply to a command batch.
enum class HeartbeatChannel { Heartbeat, CommandBatch };

/// The content of the reply to a heartbeat.
struct HeartbeatResult {
  bool superseded = false;  // the worker has a token of another leader that is above this leader's
  std::vector<TaskCommand> commands;
  std::uint64_t fencing_token = 0;
};

class HeartbeatReconciler {
 public:
  HeartbeatReconciler(ClusterState& state, TaskRecordStore& records, TaskLifecycle& lifecycle,
                      CommandQueue& commands, MachineLifecycle& machines)
      : state_(state), records_(records), lifecycle_(lifecycle), commands_(commands), machines_(machines) {}

  /// Applies the heartbeat to the cluster's state and returns the reply. A heartbeat of a returned machine,
  /// of a worker with a later leader's token, or one that is stale changes no task.
  HeartbeatResult reconcile(const Heartbeat& heartbeat, HeartbeatChannel channel, double now);

 private:
  /// The state of one heartbeat's reconciliation.
  struct Reconciliation {
    const Heartbeat& heartbeat;
    HeartbeatChannel channel;
    double now;
    Machine& machine;
    HeartbeatResult result;
    std::set<TaskId> present;        // assigned tasks that the heartbeat reports
    std::vector<TaskCommand> ended;  // Forget commands for attempts whose exit the worker need not keep
  };

  // The steps of reconcile(), in their order.
  bool carries_foreign_token(const Heartbeat& heartbeat) const;
  Machine& find_or_add_machine(const Heartbeat& heartbeat, double now);
  bool is_current(const Heartbeat& heartbeat, Machine& machine, double now);
  bool refuses_former_launches(const Heartbeat& heartbeat, Machine& machine);
  void suspect_restart(const Heartbeat& heartbeat, Machine& machine, double now);
  void begin_incarnation(const Heartbeat& heartbeat, Machine& machine);
  void begin_epoch(const Heartbeat& heartbeat, Machine& machine, double now);
  void observe_token(const Heartbeat& heartbeat, Machine& machine, double now);
  void record_spot_notice(const Heartbeat& heartbeat, Machine& machine, double now);
  void apply_status(Reconciliation& pass, const TaskStatus& status);
  void check_cancel_deadline(const Reconciliation& pass, Job& job);
  void acknowledge_ended_tasks(Reconciliation& pass);
  void mark_absent_tasks_lost(Reconciliation& pass);
  static void add_command(Reconciliation& pass, const TaskCommand& command);
  static void count_other_tasks(const Reconciliation& pass);
  void update_load(Machine& machine, double now);
  void attach_launches(Reconciliation& pass);

  void register_worker(const Heartbeat& heartbeat, Machine& machine, double now);
  void apply_exit(Reconciliation& pass, const TaskStatus& status, Job* job, bool assigned);
  bool worker_must_keep_exit(const TaskStatus& status, Job* job);
  static bool confirms_absence(const Reconciliation& pass, const ActiveTask& task);

  ClusterState& state_;
  TaskRecordStore& records_;
  TaskLifecycle& lifecycle_;
  CommandQueue& commands_;
  MachineLifecycle& machines_;
};

}  // namespace corkmux

// State transitions of tasks, from assigned to finished or lost. A gang starts and stops as a whole.
//
// Owns the ordered set of jobs that may have ended. Uses the cluster state, the task records that a task's
// change makes dirty, and the modules that are notified of task and job ends: failure tracking, freed
// capacity, reserved capacity. It is the only code that assigns a task to a machine or removes it from one.
// It decides neither where a task is placed nor whether it is absent from its machine.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster_state.h"
#include "failure_tracker.h"
#include "freed_capacity.h"
#include "reserved_capacity.h"
#include "task_record_store.h"

namespace corkmux {

class TaskLifecycle {
 public:
  TaskLifecycle(ClusterState& state, TaskRecordStore& records, FailureTracker& failures,
                FreedCapacity& freed_capacity, ReservedCapacity& reserved_capacity)
      : state_(state),
        records_(records),
        failures_(failures),
        freed_capacity_(freed_capacity),
        reserved_capacity_(reserved_capacity) {}

  // --- tasks ---
  /// Assigns the queued task to the machine. The launch is sent once the task's record is stored.
  void assign(Job& job, int index, Machine& machine, std::uint64_t attempt, double now);
  /// Removes the task from its machine, and queues it again unless it is done.
  void unassign(Job& job, int index, double now);
  /// Handles a task's end that its worker reported.
  void task_exited(Job& job, const TaskStatus& status, Machine& machine, double now);
  /// Handles a task that is proven to be gone from its machine. `why`: what the machine did, for the user.
  void mark_lost(const TaskId& id, const char* why, double now);
  /// Marks as lost all tasks that were assigned to the machine in a worker epoch before `before_epoch`.
  void mark_all_lost(Machine& machine, const char* why, double now, std::uint64_t before_epoch = kAllEpochs);
  /// Withdraws the gang's assignments that were not sent yet and stops its other members: either all members
  /// start or all release their machines.
  void abort_gang(Job& job, double now);
  /// Takes back an assignment that did not reach its machine or must not reach it. A gang is aborted with it.
  void withdraw(Job& job, int index, double now);
  /// Handles a stored batch of records: launches of the assignments in it may be sent.
  void records_written(const std::vector<TaskRecordWrite>& batch, std::uint64_t revision, double now);

  // --- jobs ---
  /// Cancels the job at its user's request.
  void cancel(Job& job, double now);
  /// Removes a job whose end is stored or whose record is gone.
  void forget(Job& job);
  /// Notes that the job may have ended. Returns false if that was noted before.
  bool note_ending(const std::string& job) { return ending_.try_emplace(job, ++ending_count_).second; }
  /// Jobs that may have ended, with their position in the order in which they were noted.
  const std::map<std::string, std::uint64_t>& ending() const { return ending_; }
  /// Jobs whose end can be stored now, in that order: all tasks done, or the job cancelled with no task left
  /// on a machine.
  std::vector<std::string> finished_jobs() const;

  // --- time ---
  /// Stops tasks that did not start within their reservation, ends retry delays of jobs, and logs changed
  /// wait reasons.
  void tick(double now);
  /// Extends all reservations to `until` at least, after this process has stalled and received no heartbeats.
  void extend_reservations(double until);

  static constexpr std::uint64_t kAllEpochs = ~std::uint64_t{0};

  /// Members of gangs examined so far because another member ended: a measure of work that does not depend on
  /// the speed of the machine.
  std::uint64_t tasks_examined() const { return tasks_examined_; }

 private:
  /// Marks the queued members of a gang as done, and with `active_too` all others.
  void finish_members(Job& job, bool active_too, double now);
  void task_done(Job& job, int index, double now);
  void finish(Job& job, int index, double now);
  void withdraw_unsent(Job& job, double now);
  void release_launches(Job& job, const TaskRecordWrite& write, int count, double now);
  bool may_launch(const ActiveTask& task) const;
  void log_reason(Job& job);
  void expire_reservations(Job& job, double now);
  void end_pause(Job& job, double now);

  ClusterState& state_;
  TaskRecordStore& records_;
  FailureTracker& failures_;
  FreedCapacity& freed_capacity_;
  ReservedCapacity& reserved_capacity_;
  std::map<std::string, std::uint64_t> ending_;
  std::uint64_t ending_count_ = 0;
  std::uint64_t tasks_examined_ = 0;
};

}  // namespace corkmux

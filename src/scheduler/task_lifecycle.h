// A task's way from assigned to finished or lost, and a gang's: all or none.
//
// Owns which jobs may have come to their end, in order. It needs the cluster's state, the task records that a
// change of a task makes dirty, and those who have to know of ends: failures, freed places, reserved
// capacity. It is the only code that assigns a task to a machine or takes it off. It decides neither where a
// task goes nor whether it is absent.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster_state.h"
#include "failure_tracker.h"
#include "freed_capacity.h"
#include "machine_reservations.h"
#include "task_record_store.h"

namespace corkmux {

class TaskLifecycle {
 public:
  TaskLifecycle(ClusterState& state, TaskRecordStore& records, FailureTracker& failures,
                FreedCapacity& freed_capacity, MachineReservations& reservations)
      : state_(state),
        records_(records),
        failures_(failures),
        freed_capacity_(freed_capacity),
        reservations_(reservations) {}

  // --- tasks ---
  /// The queued task goes to the machine, once its record is stored.
  void assign(Job& job, int index, Machine& machine, std::uint64_t attempt, double now);
  /// The task is on no machine any more; unless it is done it is queued again.
  void unassign(Job& job, int index, double now);
  /// The worker reports the task's end.
  void exited(Job& job, const TaskStatus& status, Machine& machine, double now);
  /// The task is proven to be gone from its machine; `why` says what the machine did.
  void lost(const TaskId& id, const char* why, double now);
  /// So are all that were assigned to the machine in an epoch before that one.
  void lose_all(Machine& machine, const char* why, double now, std::uint64_t before_epoch = kAllEpochs);
  /// Of a gang what is not sent yet is taken back and the rest is stopped: all start or all release.
  void abort_gang(Job& job, double now);
  /// The assignment did not get to its machine, or must not: of a gang none does.
  void withdraw(Job& job, int index, double now);
  /// The batch of records is stored: what they assign may be sent.
  void records_written(const std::vector<TaskRecordWrite>& batch, std::uint64_t revision, double now);

  // --- jobs ---
  /// Its user cancels the job.
  void cancel(Job& job, double now);
  /// The job's end is stored, or its record is gone.
  void forget(Job& job);
  /// The job may have come to its end; whether that is news.
  bool note_ending(const std::string& job) { return ending_.try_emplace(job, ++endings_).second; }
  /// Such jobs, and their place in the order in which they came.
  const std::map<std::string, std::uint64_t>& ending() const { return ending_; }
  /// Jobs whose end can be stored now: every task done, or cancelled and off every machine.
  std::vector<std::string> finished_jobs() const;

  // --- time ---
  /// Stops tasks that did not start within their reservation, and ends pauses of jobs.
  void tick(double now);
  /// Nobody listened for a while: no reservation expires before that moment.
  void extend_reservations(double until);

  static constexpr std::uint64_t kAllEpochs = ~std::uint64_t{0};

 private:
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
  MachineReservations& reservations_;
  std::map<std::string, std::uint64_t> ending_;
  std::uint64_t endings_ = 0;
};

}  // namespace corkmux

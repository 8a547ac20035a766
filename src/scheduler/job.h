// A job in the scheduler's state, as plain data.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "job_index.h"
#include "model.h"
#include "task.h"
#include "task_record.h"
#include "time_constants.h"

namespace corkmux {
namespace constants {

inline constexpr double kFreshArrival = 5.0;  // s; a job older than this when added was loaded

}  // namespace constants

struct Job {
  /// Whether the job was submitted within its team's guarantee and has not yet run as a whole without being
  /// preempted: such a job does not wait for other teams (DEPLOY). Not stored: after a failover the job
  /// counts as any other.
  enum class GuaranteeAdmission { Undecided, Granted, None };

  JobSpec spec;
  Resources need_to_start;     // spec.resources_to_start(), which takes a step for each task of a gang
  std::uint64_t revision = 0;  // of its record in the state store
  std::uint64_t order = 0;     // acceptance order
  double accepted_at = 0;

  // Progress.
  std::vector<TaskPhase> phase;  // by task index
  int done = 0;                  // number of tasks
  int queued = 0;                // number of tasks
  int cursor = 0;                // no task with a lower index is queued
  std::map<int, ActiveTask> active;
  bool cancelled = false;
  std::optional<double> cancelled_at;  // when this leader learned of the cancel
  bool cancel_overdue_logged = false;  // a task of it was reported cancel_s after the cancel
  bool finalizing = false;             // the write of its end is in flight
  bool draining = false;               // a gang whose members are being stopped with time to save
  bool aborted = false;                // a gang all of whose members have been told to stop, or have saved

  // Dependencies.
  bool dependency_cancelled = false;  // a dependency was cancelled; this job's own end is still to be stored
  std::unordered_set<std::string> unmet_dependencies;  // jobs that are not known to be stored as done
  double ready_at = 0;                                 // when the last dependency was done
  /// The higher of its own priority and its dependents' priorities.
  Priority priority = Priority::Low;
  /// When it has to finish to meet the tightest of its own and its dependents' deadlines.
  double due_at = kNever;

  // Scheduling.
  GuaranteeAdmission guarantee_admission = GuaranteeAdmission::Undecided;
  double not_before = 0;            // not scheduled until then
  double preempted_at = kLongAgo;   // when other jobs' tasks were last preempted for it
  double reclaimed_at = kLongAgo;   // when it last claimed its team's guarantee
  std::set<std::string> failed_on;  // machines where it failed, unless other jobs' failures make them faulty
  bool fails_by_itself = false;     // fails on any machine, as far as failures so far show
  std::string why;                  // reason why it waits, shown to its user
  std::string logged_why;           // the value of `why` that was logged last
  JobIndex::Indexed indexed;

  // Its stored records, by the index of their first task.
  std::map<int, TaskRecord> task_records;
  int tasks_per_record = 0;  // of a record before any split; 0: no record yet

  bool ready() const { return unmet_dependencies.empty() && !dependency_cancelled && !cancelled; }
  bool over() const { return cancelled || dependency_cancelled || done == spec.tasks; }
  /// The task's assignment, or nullptr if it has none.
  ActiveTask* find_active(int index) {
    auto found = active.find(index);
    return found == active.end() ? nullptr : &found->second;
  }
  bool is_gang() const { return spec.kind == JobKind::Gang; }
  /// Whether some task of this gang is done: then all its tasks count as completed, even if some are still on
  /// machines.
  bool gang_completed() const { return is_gang() && done > 0 && !cancelled; }
};

}  // namespace corkmux

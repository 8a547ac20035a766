// A job as the scheduler holds it, as plain data.
#pragma once
#include <cstdint>
#include <map>
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

inline constexpr double kFreshArrival = 5.0;  // s; a job that was older when it was added was loaded

}  // namespace constants

struct Job {
  /// Whether it came within its team's guarantee and has not yet been started and left alone as a whole: it
  /// waits for no other team (DEPLOY). Not stored: after a failover it counts as any other.
  enum class GuaranteeAdmission { Undecided, Granted, None };

  JobSpec spec;
  std::uint64_t revision = 0;  // of its record in the state service
  std::uint64_t order = 0;     // acceptance order
  double accepted_at = 0;

  // How far it is.
  std::vector<TaskPhase> phase;  // of each task
  int done = 0;                  // tasks
  int queued = 0;                // tasks
  int cursor = 0;                // no task before it is queued
  std::map<int, ActiveTask> active;
  bool cancelled = false;
  bool finalizing = false;  // its end is being stored
  bool draining = false;    // a gang that is stopped with time to save

  // What it depends on.
  bool dependency_cancelled = false;  // a job that it needs was cancelled: its own end is still to be stored
  std::unordered_set<std::string> unmet_dependencies;  // jobs whose `done` is not known to be stored
  double ready_at = 0;                                 // when the last job it depends on was done
  /// Its own or the highest of its dependents; and when it has to be over for the tightest deadline of these.
  Priority priority = Priority::Low;
  double due_at = kNever;

  // Its way through scheduling.
  GuaranteeAdmission guarantee_admission = GuaranteeAdmission::Undecided;
  double not_before = 0;            // not scheduled until then
  double preempted_at = kLongAgo;   // when others were last stopped for it
  double reclaimed_at = kLongAgo;   // when it last claimed its team's guarantee
  std::set<std::string> failed_on;  // machines that do not count as faulty by others
  bool fails_by_itself = false;     // wherever it starts, as far as can be told
  std::string why;                  // why it waits, for its user
  std::string logged_why;           // what of that the log has
  JobIndex::Indexed indexed;

  // Its stored records, by first task.
  std::map<int, TaskRecord> task_records;
  int tasks_per_record = 0;  // before any split; 0: no record yet

  bool ready() const { return unmet_dependencies.empty() && !dependency_cancelled && !cancelled; }
  bool over() const { return cancelled || dependency_cancelled || done == spec.tasks; }
  /// The task's assignment; none if it has none.
  ActiveTask* find_active(int index) {
    auto found = active.find(index);
    return found == active.end() ? nullptr : &found->second;
  }
  bool is_gang() const { return spec.kind == JobKind::Gang; }
  /// A gang of which some task is done: all are, wherever they still may be.
  bool gang_completed() const { return is_gang() && done > 0 && !cancelled; }
};

}  // namespace corkmux

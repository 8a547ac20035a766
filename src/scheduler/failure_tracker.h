// Tracks failures of tasks, to mark faulty machines, which are then drained and returned, and to retry
// failing jobs with a backoff, without mistaking one for the other.
//
// Depends on ClusterState; the failures are stored with the machine and the job that they count against.
// failure_attribution.h defines their weight. FailureTracker never moves a task: TaskLifecycle does.
#pragma once
#include <cstddef>
#include <string>

#include "cluster_state.h"

namespace corkmux {
namespace constants {

inline constexpr double kFaultyDelay = 10.0;  // s from the first failure until a machine can count as faulty
inline constexpr std::size_t kFailedJobsRemembered = 8;  // per machine; two or three are enough to decide
inline constexpr double kCordonTime = 60.0;              // s that a machine is avoided after a failure

}  // namespace constants

class FailureTracker {
 public:
  explicit FailureTracker(ClusterState& state) : state_(state) {}

  /// Records that a task of the job failed on the machine.
  void task_failed(Machine& machine, Job& job, double now);
  /// Records that a task of the job completed on the machine, which clears the machine's failures.
  void task_completed(Machine& machine, Job& job);
  /// Marks the machine as faulty if the failures on it have enough weight and are old enough.
  void update_health(Machine& machine, double now);
  /// The job has ended: its failures keep counting against machines only if it completed a task.
  void job_ended(Job& job);

 private:
  double total_fault_weight(const Machine& machine, const std::string& without_job) const;
  void delay_retry(Job& job, int machines, double now);
  void uncordon_machines_failed_only_by(const Job& job, double now);

  ClusterState& state_;
};

}  // namespace corkmux

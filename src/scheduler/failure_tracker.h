// Failures of tasks: machines that are faulty are drained and returned, jobs that fail by themselves are
// tried again with pauses, and neither is taken for the other.
//
// Needs the cluster's state; the failures themselves stand with the machine and the job they speak against.
// How much they weigh is said by failure_attribution.h. It never moves a task: that is TaskLifecycle's.
#pragma once
#include <cstddef>
#include <string>

#include "cluster_state.h"

namespace corkmux {
namespace constants {

inline constexpr double kFaultyDelay = 10.0;  // s that failures are weighed before a machine is given up
inline constexpr std::size_t kFailedJobsRemembered = 8;  // of a machine; two or three decide
inline constexpr double kCordonTime = 60.0;              // s a machine with a failure is avoided

}  // namespace constants

class FailureTracker {
 public:
  explicit FailureTracker(ClusterState& state) : state_(state) {}

  /// A task of the job failed on the machine.
  void task_failed(Machine& machine, Job& job, double now);
  /// A task of the job completed on the machine.
  void task_completed(Machine& machine, Job& job);
  /// Weighs what failed on the machine, which may count as faulty from now on.
  void judge(Machine& machine, double now);
  /// The job is over: what it says against machines stands, or falls with it.
  void settle(Job& job);

 private:
  double weight_against(const Machine& machine, const std::string& without_job) const;
  void retry_with_pauses(Job& job, int machines, double now);
  void clear_machines_failed_only_by(const Job& job, double now);

  ClusterState& state_;
};

}  // namespace corkmux

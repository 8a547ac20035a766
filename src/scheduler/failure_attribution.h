// Attributes failures to a faulty machine, on which every task fails, or to a failing job, which fails on
// every machine.
//
// Pure functions without state. A single failure is evidence of neither: it counts against the machine to the
// degree that the job succeeds elsewhere, and against the job to the degree that the machine runs other jobs
// successfully. Draining machines and delaying jobs is left to the callers.
#pragma once

namespace corkmux {
namespace constants {

inline constexpr double kFaultyWeight = 1.5;  // two jobs that failed nowhere else exceed it by half a job
/// Machines a job has to fail on before the failures are attributed to the job.
inline constexpr int kFailingJobMachines = 3;
inline constexpr double kErrorBackoff = 2.0;      // s, doubled per failure of a job
inline constexpr double kErrorBackoffMax = 60.0;  // s

}  // namespace constants

/// The failures of one job on one machine.
struct JobFailuresOnMachine {
  int failed_tasks = 0;        // tasks of the job that failed there since the machine last completed a task
  int other_machines = 0;      // other machines that the job failed on
  bool completed_any = false;  // a task of the job was completed, on this or another machine
};

/// The weight of these failures against the machine. The caller sums it over jobs: from kFaultyWeight on the
/// machine counts as faulty.
double machine_fault_weight(const JobFailuresOnMachine& failures);

/// Whether the failures of a job that has completed no task are attributed to the job. `machines`: number of
/// machines that it failed on, without those that count as faulty by other jobs' failures.
bool fails_by_itself(int machines);

/// s until a failing job is retried; 0 if the failures are not attributed to the job.
double failing_job_backoff_s(int machines);

}  // namespace corkmux

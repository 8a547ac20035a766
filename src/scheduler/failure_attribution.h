// Whose fault failures are: a machine that fails whatever it starts, or a job that fails wherever it starts.
//
// Owns no state: pure functions of what is known of a failure. A failure alone says neither; it speaks
// against the machine as far as the job does well elsewhere, and against the job as far as the machine does
// well by others. It never drains a machine or delays a job.
#pragma once

namespace corkmux {
namespace constants {

inline constexpr double kFaultyWeight = 1.5;  // two jobs that failed nowhere else, with half a one to spare
/// Machines a job failed on before it is held to be its own fault.
inline constexpr int kFailingJobMachines = 3;
inline constexpr double kErrorBackoff = 2.0;      // s, doubled per failure of a job
inline constexpr double kErrorBackoffMax = 60.0;  // s

}  // namespace constants

/// What is known of a job that failed on a machine.
struct MachineFailures {
  int times = 0;      // its tasks that failed there since the machine last completed anything
  int elsewhere = 0;  // other machines that it failed on
  bool well = false;  // some of its tasks were completed, there or elsewhere
};

/// What such failures say against the machine, to be added over jobs: it counts as faulty from kFaultyWeight
/// on.
double weight_against_machine(const MachineFailures& failures);

/// Whether a job that has completed nothing fails by itself. `machines`: those it failed on that do not count
/// as faulty by other jobs' failures.
bool fails_by_itself(int machines);

/// s until such a job is tried again; 0 if it does not fail by itself.
double pause_of_failing(int machines);

}  // namespace corkmux

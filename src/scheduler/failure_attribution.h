// Whose fault failures are: a machine that fails whatever it starts, or a job that fails wherever it starts.
//
// Pure functions of what is known. A failure alone says neither; it speaks against the machine as far as the
// job does well elsewhere, and against the job as far as the machine does well by others.
#pragma once

namespace corkmux {

/// What is known of a job that failed on a machine.
struct MachineFailures {
  int times = 0;      // its tasks that failed there since the machine last completed anything
  int elsewhere = 0;  // other machines that it failed on
  bool well = false;  // some of its tasks were completed, there or elsewhere
};
/// What such failures say against the machine, to be added over jobs: it counts as faulty from kFaultyWeight
/// on.
double weight_against_machine(const MachineFailures& failed);
/// Whether a job that has completed nothing and failed on so many machines that do not count as faulty by
/// other jobs' failures fails by itself.
bool fails_by_itself(int machines);
/// s until it is tried again, then.
double pause_of_failing(int machines);

}  // namespace corkmux

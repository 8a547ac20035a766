#include "failure_attribution.h"

#include <algorithm>
#include <cmath>

#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;

double weight_against_machine(const MachineFailures& failed) {
  // That of a job which does well is certain, once it is not a single task's bad luck.
  if (failed.well) return c::kFaultyWeight * std::min(1.0, failed.times / 2.0);
  return failed.times > 0 ? 1.0 / (1 + failed.elsewhere) : 0;
}

bool fails_by_itself(int machines) { return machines >= c::kFailingJobMachines; }

double pause_of_failing(int machines) {
  return fails_by_itself(machines)
             ? std::min(c::kErrorBackoffMax,
                        c::kErrorBackoff * std::pow(2.0, machines - c::kFailingJobMachines))
             : 0;
}

}  // namespace corkmux

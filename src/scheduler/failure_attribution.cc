#include "failure_attribution.h"

#include <algorithm>
#include <cmath>

namespace corkmux {
namespace c = constants;

double weight_against_machine(const MachineFailures& failures) {
  // That of a job which does well is certain, once it is not a single task's bad luck.
  if (failures.well) return c::kFaultyWeight * std::min(1.0, failures.times / 2.0);
  return failures.times > 0 ? 1.0 / (1 + failures.elsewhere) : 0;
}

bool fails_by_itself(int machines) { return machines >= c::kFailingJobMachines; }

double pause_of_failing(int machines) {
  if (!fails_by_itself(machines)) return 0;
  return std::min(c::kErrorBackoffMax, c::kErrorBackoff * std::pow(2.0, machines - c::kFailingJobMachines));
}

}  // namespace corkmux

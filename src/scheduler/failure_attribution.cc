#include "failure_attribution.h"

#include <algorithm>
#include <cmath>

namespace corkmux {
namespace c = constants;

double machine_fault_weight(const JobFailuresOnMachine& failures) {
  // The job completes tasks elsewhere: two failed tasks prove the machine faulty, while one may be an
  // accident.
  if (failures.completed_any) return c::kFaultyWeight * std::min(1.0, failures.failed_tasks / 2.0);
  return failures.failed_tasks > 0 ? 1.0 / (1 + failures.other_machines) : 0;
}

bool fails_by_itself(int machines) { return machines >= c::kFailingJobMachines; }

double failing_job_backoff_s(int machines) {
  if (!fails_by_itself(machines)) return 0;
  return std::min(c::kErrorBackoffMax, c::kErrorBackoff * std::pow(2.0, machines - c::kFailingJobMachines));
}

}  // namespace corkmux

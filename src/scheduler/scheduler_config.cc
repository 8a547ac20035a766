#include "scheduler_config.h"

#include <algorithm>

#include "constants.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;

double SchedulerConfig::keepalive() const {
  // A cancelled job has to be off every machine in cancel_s even if a partitioned leader does not receive the
  // cancellation: the leases of that leader's workers have to expire in time.
  return std::max(0.0, cancel_s - lease_s * (1 + c::kClockDrift) - c::kCancelReserve);
}

int SchedulerConfig::tasks_per_v1_record() const {
  if (v1_tasks_per_record > 0) return v1_tasks_per_record;
  constexpr double kBytesPerTask = 96;  // upper bound, encoded as JSON
  constexpr double kUsableShare = 0.8;  // of the size limit of a value
  constexpr int kMaxTasks = 256;
  return std::clamp(static_cast<int>(value_kb * 1024 * kUsableShare / kBytesPerTask), 1, kMaxTasks);
}

}  // namespace corkmux

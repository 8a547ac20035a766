#include "scheduler_config.h"

#include <algorithm>

#include "constants.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;

double SchedulerConfig::keepalive() const {
  // A cancel that a partitioned leader cannot see must still be met: its workers' leases have to run out in
  // time.
  return std::max(0.0, cancel_s - lease_s * (1 + c::kClockDrift) - c::kCancelReserve);
}

int SchedulerConfig::tasks_per_v1_record() const {
  if (v1_tasks_per_record > 0) return v1_tasks_per_record;
  constexpr double kBytesPerTask = 96;  // of JSON, at most
  constexpr double kUsableShare = 0.8;  // of a value's limit
  constexpr int kMostTasks = 256;
  return std::clamp(static_cast<int>(value_kb * 1024 * kUsableShare / kBytesPerTask), 1, kMostTasks);
}

}  // namespace corkmux

#include "freed_capacity.h"

#include <algorithm>
#include <cmath>

namespace corkmux {
namespace c = constants;

void FreedCapacity::note(const std::string& zone, const Resources& need, double now) {
  Sum& sum = zones_[zone];
  const double kept = std::exp(-std::max(0.0, now - sum.at) / c::kFreedCapacityWindow);
  sum.resources.cpus = kept * sum.resources.cpus + need.cpus;
  sum.resources.gpus = kept * sum.resources.gpus + need.gpus;
  sum.at = std::max(sum.at, now);
}

std::optional<Resources> FreedCapacity::rate(const std::string& zone, double now) const {
  auto found = zones_.find(zone);
  if (found == zones_.end()) return std::nullopt;
  const Sum& sum = found->second;
  const double decay =
      std::exp(-std::max(0.0, now - sum.at) / c::kFreedCapacityWindow) / c::kFreedCapacityWindow;
  return Resources{decay * sum.resources.cpus, decay * sum.resources.gpus, 0};
}

}  // namespace corkmux

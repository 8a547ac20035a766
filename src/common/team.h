// A team's quota: its guaranteed resources and its upper limits.
#pragma once
#include <string>

#include "resources.h"

namespace corkmux {

struct Team {
  std::string name;
  double cpus = 0;      // guaranteed
  double cpus_max = 0;  // 0: no limit
  double gpus = 0;      // guaranteed
  double gpus_max = 0;  // 0: no limit

  /// Whether the use is within the limits.
  bool allows(const Resources& use) const {
    return (cpus_max <= 0 || use.cpus <= cpus_max + kResourceTolerance) &&
           (gpus_max <= 0 || use.gpus <= gpus_max + kResourceTolerance);
  }
  /// Whether the use is within the guarantee. GPUs count only if the team has a GPU guarantee or limit.
  bool guarantees(const Resources& use) const {
    bool gpus_metered = gpus > 0 || gpus_max > 0;
    return use.cpus <= cpus + kResourceTolerance && (!gpus_metered || use.gpus <= gpus + kResourceTolerance);
  }
};

}  // namespace corkmux

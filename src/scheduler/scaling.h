// How many machines to hold of which type and zone: a pure function of the book and the waiting work.
#pragma once
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "scheduler.h"
#include "settings.h"

namespace corkmux {

struct ScaleOutRequest {
  std::string type, zone;
  bool spot = false;
  int count = 0;
  auto key() const { return std::make_tuple(type, zone, spot); }
};

struct ScalingPlan {
  std::vector<ScaleOutRequest> scale_out;
  std::vector<std::string> scale_in;
};

/// `refused` tells until when a type, zone and kind is not asked again.
ScalingPlan plan_scaling(const Scheduler& cluster, const OperatorChoices& choices,
                         const std::map<std::tuple<std::string, std::string, bool>, double>& refused,
                         double now);

}  // namespace corkmux

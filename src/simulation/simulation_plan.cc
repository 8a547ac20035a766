#include "simulation_plan.h"

#include <algorithm>

namespace corkmux::simulation {

double faults_end_s(const SimulationPlan& plan) {
  double end_s = 0;
  for (const auto& fault : plan.faults) {
    double repeats_s = fault.every_s * (fault.times + static_cast<double>(plan.controllers.size()));
    double back_s = std::max(fault.back_s.value_or(0), plan.restart_s);
    end_s = std::max(end_s, fault.at_s + fault.for_s + repeats_s + back_s);
  }
  return end_s;
}

}  // namespace corkmux::simulation

// Draws random faults for a cluster, for simulations of arbitrary fault combinations.
#pragma once
#include <cstdint>
#include <vector>

#include "simulation_plan.h"

namespace corkmux::simulation {

/// Returns `count` faults for the plan's cluster, ordered by time; all have ended when the last third of the
/// plan begins. The same seed draws the same faults.
std::vector<Fault> draw_faults(const SimulationPlan& plan, int count, std::uint64_t seed);

}  // namespace corkmux::simulation

// Draws faults at random for a cluster, for simulations of whatever may happen.
#pragma once
#include <cstdint>
#include <vector>

#include "simulation_plan.h"

namespace corkmux::simulation {

/// So many faults for that plan's cluster, in order of time, all over when the plan's last third begins. The
/// same seed draws the same faults.
std::vector<Fault> draw_faults(const SimulationPlan& plan, int count, std::uint64_t seed);

}  // namespace corkmux::simulation

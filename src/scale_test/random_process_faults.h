// Draws the faults of a soak run from the plan's seed: kills, pauses, machine losses and series of leader
// changes at random moments, so that several overlap.
//
// A pure function: the same plan and seed give the same faults.
#pragma once
#include <vector>

#include "scale_test_plan.h"

namespace corkmux::scale_test {

/// Returns `count` faults in the order of their times, between the plan's warm_s and the end of its load.
std::vector<Fault> draw_faults(const ScaleTestPlan& plan, int count);

}  // namespace corkmux::scale_test

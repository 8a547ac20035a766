// Parses a simulation plan from its TOML file (docs/simulation.md). Errors in the file throw SettingsError,
// which names the file and the field.
#pragma once
#include <string>
#include <vector>

#include "simulation_plan.h"

namespace corkmux::simulation {

/// Returns the file's cluster with the faults of the named scenario; an empty name selects the first.
SimulationPlan parse_plan(const std::string& text, const std::string& file, const std::string& scenario = "");
SimulationPlan load_plan(const std::string& file, const std::string& scenario = "");
std::vector<std::string> scenario_names(const std::string& file);

}  // namespace corkmux::simulation

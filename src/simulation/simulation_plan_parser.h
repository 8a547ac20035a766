// Reads a simulation's plan from its TOML file (docs/simulation.md). Whatever is wrong in the file throws
// SettingsError, which names the file and the field.
#pragma once
#include <string>
#include <vector>

#include "simulation_plan.h"

namespace corkmux::simulation {

/// The file's cluster with the faults of one of its scenarios; the first when no name is given.
SimulationPlan parse_plan(const std::string& text, const std::string& file, const std::string& scenario = "");
SimulationPlan load_plan(const std::string& file, const std::string& scenario = "");
std::vector<std::string> scenario_names(const std::string& file);

}  // namespace corkmux::simulation

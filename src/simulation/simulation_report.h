// Report of a simulation as JSON and as readable text, and the problems found in it.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "codec.h"
#include "invariant_checker.h"

namespace corkmux::simulation {

inline constexpr int kMinLargestJobs = 4;  // per class; a share of fewer jobs is not significant

/// Returns violated rules, and each class or team of which less than `min_served` is done
/// (docs/simulation.md); empty if there is no problem.
std::vector<std::string> find_problems(const InvariantChecker& checker, double min_served);

/// Contents of a report.
struct SimulationSummary {
  std::string plan;
  double seconds = 0;  // of simulated time
  std::size_t controllers = 0;
  std::size_t machines = 0;  // at the end
  const InvariantChecker& checker;
  const std::vector<std::string>& events;
  int terms = 0;
  std::uint64_t state_requests = 0;
  int state_requests_over_rate = 0;
  double cost = 0;  // of machines, in the catalog's unit
  std::vector<std::string> problems;
  std::uint64_t history = 0;
};

codec::Json report_json(const SimulationSummary& summary);
/// About twenty lines of text.
std::string report_text(const SimulationSummary& summary);

}  // namespace corkmux::simulation

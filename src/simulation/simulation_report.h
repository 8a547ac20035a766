// The report of a simulation, for programs (JSON) and for readers, and the verdict on it.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "codec.h"
#include "invariant_checker.h"

namespace corkmux::simulation {

inline constexpr int kMinLargestJobs = 4;  // of a class, for a share of them to say anything

/// Broken rules, and every class or team that was served less than that share (docs/simulation.md); empty:
/// all is well.
std::vector<std::string> find_problems(const InvariantChecker& checker, double min_served);

/// What a report is made of.
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
/// About twenty lines.
std::string report_text(const SimulationSummary& summary);

}  // namespace corkmux::simulation

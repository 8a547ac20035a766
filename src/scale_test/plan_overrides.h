// Command-line values of a scale run that replace values of the plan's file, for runs that differ in one
// count. The run passes the overrides on to the processes that it starts, so that all processes use the same
// plan.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "scale_test_plan.h"

namespace corkmux::scale_test {

/// Each field replaces the plan's value, unless it is 0 or less.
struct PlanOverrides {
  int workers = 0;  // the count of accelerators changes by the same factor
  int controllers = 0;
  int teams = 0;
  double starts_per_s = 0;
  double run_s = 0;
  double for_s = 0;
  double tasks_per_job = 0;  // size of every array
  int random_faults = 0;     // faults drawn from the plan's seed, instead of the plan's
  std::optional<std::uint64_t> seed;

  /// Applies the overrides to the plan. Throws SettingsError, whose message names the file and the field, if
  /// the resulting plan is invalid.
  void apply(ScaleTestPlan& plan, const std::string& file) const;
  /// The overrides as command-line arguments of the scale-test program.
  std::vector<std::string> to_arguments() const;
};

}  // namespace corkmux::scale_test

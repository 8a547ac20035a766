// What the command line of a scale run says instead of the plan's file, for runs that differ in one count. A
// run hands them on to the processes that it starts, so that all play one plan.
#pragma once
#include <string>
#include <vector>

#include "scale_test_plan.h"

namespace corkmux::scale_test {

/// Each replaces what the plan has, unless it is 0 or less.
struct PlanOverrides {
  int workers = 0;  // the count of accelerators changes by the same factor
  int controllers = 0;
  int teams = 0;
  double starts_per_s = 0;
  double run_s = 0;
  double for_s = 0;
  double tasks_per_job = 0;  // of arrays

  /// Throws SettingsError, which names the file and the field, if the result is no plan.
  void apply(ScaleTestPlan& plan, const std::string& file) const;
  /// As arguments of the program.
  std::vector<std::string> to_arguments() const;
};

}  // namespace corkmux::scale_test

// Generates the jobs of a scale run. A plan and a job number determine the job, so every process can compute
// a job's description from its name, and descriptions need not be sent between processes.
#pragma once
#include <optional>
#include <string>

#include "job_registry.h"
#include "scale_test_plan.h"

namespace corkmux::scale_test {

// Largest relative deviation of a task's run time from the plan's run_s.
inline constexpr double kRunSpread = 0.15;

class JobSource {
 public:
  /// The plan must outlive the source.
  explicit JobSource(const ScaleTestPlan& plan) : plan_(plan) {}
  static std::string name(int number);
  /// The inverse of name(); nullopt: `name` is not a name that name() returns.
  static std::optional<int> number(const std::string& name);
  /// The job with this number; numbers start at 1.
  simulation::SimulatedJob job(int number) const;
  /// Whether the job's user cancels it at some time after the submission.
  bool cancelled(int number) const;

 private:
  const ScaleTestPlan& plan_;
};

}  // namespace corkmux::scale_test

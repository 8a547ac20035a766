// The jobs of a scale run. Job number n is always the same for a plan, so every process that needs a job's
// description computes it from the name alone; nothing has to be sent.
#pragma once
#include <optional>
#include <string>

#include "job_registry.h"
#include "scale_test_plan.h"

namespace corkmux::scale_test {

inline constexpr double kRunSpread = 0.15;  // by which tasks run shorter or longer than the plan says

class JobSource {
 public:
  /// The plan has to outlive it.
  explicit JobSource(const ScaleTestPlan& plan) : plan_(plan) {}
  static std::string name(int number);
  /// No value: not a name that name() gives.
  static std::optional<int> number(const std::string& name);
  /// From 1 on.
  simulation::SimulatedJob job(int number) const;
  /// Whether its user cancels it some time after the submission.
  bool cancelled(int number) const;

 private:
  const ScaleTestPlan& plan_;
};

}  // namespace corkmux::scale_test

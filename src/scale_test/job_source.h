// The jobs of a scale run. Job number n is always the same for a plan, so every process that needs a job's
// description computes it from the name alone; nothing has to be sent.
#pragma once
#include <optional>
#include <string>

#include "job_registry.h"
#include "scale_test_plan.h"

namespace corkmux::scale_test {

class JobSource {
 public:
  explicit JobSource(const ScaleTestPlan& plan) : plan_(plan) {}
  static std::string name(int number);
  /// No value: not a name that name() gives.
  static std::optional<int> number(const std::string& name);
  simulation::SimulatedJob job(int number) const;
  /// Whether its user cancels it some time after the submission.
  bool cancelled(int number) const;

 private:
  const ScaleTestPlan& plan_;
};

}  // namespace corkmux::scale_test

// Submits a run's jobs through its users, one at a time as a Poisson process with the plan's rate.
#pragma once
#include <random>

#include "event_loop.h"
#include "job_source.h"
#include "scale_test_plan.h"
#include "users.h"

namespace corkmux::scale_test {

class LoadGenerator {
 public:
  /// `random`: generator shared with the run's other random draws. All references must outlive the generator.
  LoadGenerator(Loop& loop, const ScaleTestPlan& plan, std::mt19937_64& random)
      : loop_(loop), plan_(plan), jobs_(plan), random_(random) {}

  /// Submits the first job at once and schedules the others. `users` must outlive the load generator.
  void start(simulation::Users& users);
  /// From now on no job is submitted.
  void stop() { stopped_ = true; }
  int submitted() const { return submitted_; }

 private:
  void submit_next(simulation::Users& users);

  Loop& loop_;
  const ScaleTestPlan& plan_;
  JobSource jobs_;
  std::mt19937_64& random_;
  int submitted_ = 0;
  bool stopped_ = false;
};

}  // namespace corkmux::scale_test

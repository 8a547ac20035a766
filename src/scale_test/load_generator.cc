#include "load_generator.h"

#include <optional>

namespace corkmux::scale_test {

void LoadGenerator::start(simulation::Users& users) { submit_next(users); }

void LoadGenerator::submit_next(simulation::Users& users) {
  if (stopped_) return;
  int number = ++submitted_;
  std::optional<double> cancel_after_s;
  if (jobs_.cancelled(number))
    cancel_after_s = std::uniform_real_distribution<double>(0, plan_.run_s)(random_);
  users.submit(jobs_.job(number), cancel_after_s);
  std::exponential_distribution<double> gap_s(plan_.jobs_per_s());
  loop_.call_later(gap_s(random_), [this, &users] { submit_next(users); });
}

}  // namespace corkmux::scale_test

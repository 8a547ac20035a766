#include "rate_limiter.h"

#include <algorithm>

#include "event_loop.h"

namespace corkmux::simulation {

void RateLimiter::set(double rate, double burst_s) {
  rate_ = rate;
  burst_ = rate * burst_s;
  available_ = burst_;
  updated_at_ = steady_now();
}

bool RateLimiter::take(double count) {
  if (rate_ <= 0) return true;
  const double now = steady_now();
  available_ = std::min(burst_, available_ + rate_ * (now - updated_at_));
  updated_at_ = now;
  if (available_ < count) return false;
  available_ -= count;
  return true;
}

}  // namespace corkmux::simulation

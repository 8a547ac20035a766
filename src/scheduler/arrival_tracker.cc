#include "arrival_tracker.h"

#include "job.h"

namespace corkmux {
namespace c = constants;

void ArrivalTracker::job_added(double age_s, double now) {
  if (age_s >= c::kFreshArrival) return;
  if (last_arrival_) {
    const double gap = now - *last_arrival_;
    gap_ = gap_ > 0 ? gap_ + c::kGapSmoothing * (gap - gap_) : gap;
  }
  last_arrival_ = now;
}

}  // namespace corkmux

// Unit tests of ArrivalTracker.
#include "arrival_tracker.h"

#include <gtest/gtest.h>

#include "job.h"

namespace corkmux {
namespace {
namespace c = constants;

TEST(ArrivalTracker, SmoothsTheGapsBetweenNewJobsAndIgnoresLoadedOnes) {
  ArrivalTracker arrivals(0);
  arrivals.job_added(0, 10);
  EXPECT_EQ(arrivals.gap(), 0) << "one job has no gap";
  arrivals.job_added(0, 30);
  EXPECT_EQ(arrivals.gap(), 20);
  arrivals.job_added(c::kFreshArrival, 35);
  EXPECT_EQ(arrivals.gap(), 20);
  arrivals.job_added(0, 40);
  EXPECT_DOUBLE_EQ(arrivals.gap(), 20 + c::kGapSmoothing * (10 - 20));
}

TEST(ArrivalTracker, IsIdleSinceTheLastUnfinishedJob) {
  ArrivalTracker arrivals(5);
  EXPECT_EQ(arrivals.idle_for(8), 3);
  arrivals.note_unfinished_job(10);
  EXPECT_EQ(arrivals.idle_for(12), 2);
}

}  // namespace
}  // namespace corkmux

// Which classes and teams are in deficit, what is reserved for them, and the effect on whole queues.
#include "reserved_capacity.h"

#include <gtest/gtest.h>

#include "scheduler_model.h"

namespace corkmux {
namespace {
namespace c = constants;

const std::string kHot = "hot", kSlow = "slow", kRed = "red", kBlue = "blue";

std::vector<ReservedCapacity::WaitingJob> jobs(int n, double expected_end_s, double waited_s = 0,
                                               double share_used = 0.1) {
  return std::vector<ReservedCapacity::WaitingJob>(
      static_cast<std::size_t>(n), {&kSlow, &kBlue, waited_s, expected_end_s, share_used, share_used});
}

TEST(ReservedCapacity, ReservesNothingForAQueueThatClearsOrAClassThatIsServed) {
  ReservedCapacity reserved;
  for (double now = 0; now < 300; ++now) reserved.update(jobs(40, c::kDeficitStartTime * 0.9), now);
  EXPECT_EQ(reserved.reservation_tiers(), 0);
  for (int i = 0; i < 90; ++i) reserved.served(kSlow, kBlue, 300);
  for (double now = 300; now < 400; ++now) reserved.update(jobs(20, 2 * c::kFullDeficitTime), now);
  EXPECT_EQ(reserved.reservation_tiers(), 0) << "four in five are served";
  EXPECT_FALSE(reserved.is_starving(kSlow, kBlue));
}

// Guards against a burst of urgent jobs that counts as in deficit itself and fills the machines reserved for
// others.
TEST(ReservedCapacity, AFloodIsNotInDeficit) {
  ReservedCapacity reserved;
  for (double now = 0; now < 300; ++now) reserved.update(jobs(400, 2 * c::kFullDeficitTime, 200, 0.9), now);
  EXPECT_EQ(reserved.reservation_tiers(), 0);
}

TEST(ReservedCapacity, ANewLeaderHasTheDeficitsWithinTheRiseAndReleasesThemSlowly) {
  ReservedCapacity reserved;
  double now = 0, reserved_at = -1, released_at = -1;
  for (; now < 200 && reserved_at < 0; ++now) {
    reserved.update(jobs(40, 2 * c::kFullDeficitTime), now);
    if (reserved.reservation_tiers() == c::kReservationTiers) reserved_at = now;
  }
  EXPECT_GT(reserved_at, 0);
  EXPECT_LE(reserved_at, c::kReservationRise + 2);
  EXPECT_TRUE(reserved.is_starving(kSlow, kRed)) << "its class";
  EXPECT_TRUE(reserved.is_starving(kHot, kBlue)) << "its team";
  EXPECT_FALSE(reserved.is_starving(kHot, kRed));
  double from = now;
  for (; now < from + 200 && released_at < 0; ++now) {
    reserved.update({}, now);
    if (reserved.reservation_tiers() == 0) released_at = now;
  }
  EXPECT_GT(released_at - from, c::kReservationFall / 2);
  EXPECT_LE(released_at - from, c::kReservationFall + 2);
}

TEST(ReservedCapacity, ReservationsDoNotChangeWithEachJob) {
  ReservedCapacity reserved;
  int changes = 0, before = 0;
  for (double now = 0; now < 600; ++now) {
    // Alternates between both sides of kDeficitStartTime.
    reserved.update(
        jobs(20, static_cast<int>(now) % 2 ? 0.5 * c::kDeficitStartTime : 1.1 * c::kDeficitStartTime), now);
    changes += reserved.reservation_tiers() != std::exchange(before, reserved.reservation_tiers());
  }
  EXPECT_LE(changes, 40);
}

// Guards against a class of which nothing runs because higher-priority work uses every machine.
TEST(ReservedCapacity, AStarvedClassGetsOneTierUntilEnoughIsServed) {
  ReservedCapacity reserved;
  double now = 0;
  for (; now < c::kStarvedAfter; ++now) {
    reserved.update(jobs(6, 200, now, 0), now);
    EXPECT_EQ(reserved.reservation_tiers(), 0);
  }
  for (; now < c::kStarvedAfter + c::kReservationRise; ++now) reserved.update(jobs(6, 200, now, 0), now);
  EXPECT_EQ(reserved.reservation_tiers(), 1);
  for (; now < 300; ++now) reserved.update(jobs(6, 200, now, 0.05), now);
  EXPECT_EQ(reserved.reservation_tiers(), 1) << "although some of the class runs by now";
  for (int i = 0; i < 12; ++i) reserved.served(kSlow, kBlue, now);
  for (; now < 300 + c::kReservationFall; ++now) reserved.update(jobs(6, 200, now, 0.05), now);
  EXPECT_EQ(reserved.reservation_tiers(), 0);
}

// Guards against a team in deficit whose own jobs of the flooding class fill its reserved machines.
TEST(ReservedCapacity, MachinesReservedForATeamAreNotForAClassThatFloodsTheFleet) {
  ReservedCapacity reserved;
  auto all = jobs(40, 2 * c::kFullDeficitTime, 0, 0.05);
  for (int i = 0; i < 400; ++i) all.push_back({&kHot, &kBlue, 200, 2 * c::kFullDeficitTime, 0.9, 0.05});
  for (double now = 0; now < 100; ++now) reserved.update(all, now);
  EXPECT_TRUE(reserved.is_starving(kSlow, kBlue));
  EXPECT_FALSE(reserved.is_starving(kHot, kBlue));
}

TEST(ReservedCapacity, TiersHoldTheirShareOfAnyNames) {
  for (const char* prefix : {"n-", "worker-", "m"}) {
    int in_tiers = 0;
    for (int i = 0; i < 20000; ++i) {
      char name[40];
      std::snprintf(name, sizeof name, "%s%06d", prefix, i);
      in_tiers += ReservedCapacity::reservation_tier(name) > 0;
    }
    EXPECT_NEAR(in_tiers / 20000.0, c::kReservationTierShare * c::kReservationTiers, 0.02) << prefix;
  }
}

class Flooded : public ::testing::TestWithParam<unsigned> {};

TEST_P(Flooded, NonUrgentJobsAreStillServedAndNothingStaysReserved) {
  Model model(GetParam(), 0);
  model.run_overload();
  EXPECT_GE(model.ended["slow"], 0.5 * model.submitted["slow"]);
  EXPECT_GE(model.ended["hot"], 0.5 * model.submitted["hot"] * 200 / 300 * 0.8)
      << "what there is room for, less a fifth";
}
INSTANTIATE_TEST_SUITE_P(Models, Flooded, ::testing::Range(1u, 4u));

}  // namespace
}  // namespace corkmux

// Which classes and teams are in deficit, what is reserved for them, and what that does to whole queues.
#include "reserved_capacity.h"

#include <gtest/gtest.h>

#include "scheduler_model.h"

namespace corkmux {
namespace {
namespace c = constants;

const std::string kHot = "hot", kSlow = "slow", kRed = "red", kBlue = "blue";

std::vector<ReservedCapacity::WaitingJob> jobs(int n, double ends_s, double waited_s = 0, double has = 0.1) {
  return std::vector<ReservedCapacity::WaitingJob>(static_cast<std::size_t>(n),
                                                   {&kSlow, &kBlue, waited_s, ends_s, has, has});
}

TEST(ReservedCapacity, ReservesNothingForAQueueThatClearsOrAClassThatIsServed) {
  ReservedCapacity reserved;
  for (double now = 0; now < 300; ++now) reserved.update(jobs(40, c::kDeficitFrom * 0.9), now);
  EXPECT_EQ(reserved.reservation_tiers(), 0);
  for (int i = 0; i < 90; ++i) reserved.served(kSlow, kBlue, 300);
  for (double now = 300; now < 400; ++now) reserved.update(jobs(20, 2 * c::kDeficitFull), now);
  EXPECT_EQ(reserved.reservation_tiers(), 0) << "four in five are served";
  EXPECT_FALSE(reserved.is_starving(kSlow, kBlue));
}

// Otherwise a burst of urgent jobs would count as in deficit itself and fill what is reserved for others.
TEST(ReservedCapacity, AFloodIsNotInDeficit) {
  ReservedCapacity reserved;
  for (double now = 0; now < 300; ++now) reserved.update(jobs(400, 2 * c::kDeficitFull, 200, 0.9), now);
  EXPECT_EQ(reserved.reservation_tiers(), 0);
}

TEST(ReservedCapacity, ANewLeaderKnowsDeficitsWithinTheRiseAndForgetsThemSlowly) {
  ReservedCapacity reserved;
  double now = 0, known = -1, gone = -1;
  for (; now < 200 && known < 0; ++now) {
    reserved.update(jobs(40, 2 * c::kDeficitFull), now);
    if (reserved.reservation_tiers() == c::kReservationTiers) known = now;
  }
  EXPECT_GT(known, 0);
  EXPECT_LE(known, c::kReservationRise + 2);
  EXPECT_TRUE(reserved.is_starving(kSlow, kRed)) << "its class";
  EXPECT_TRUE(reserved.is_starving(kHot, kBlue)) << "its team";
  EXPECT_FALSE(reserved.is_starving(kHot, kRed));
  double from = now;
  for (; now < from + 200 && gone < 0; ++now) {
    reserved.update({}, now);
    if (reserved.reservation_tiers() == 0) gone = now;
  }
  EXPECT_GT(gone - from, c::kReservationFall / 2);
  EXPECT_LE(gone - from, c::kReservationFall + 2);
}

TEST(ReservedCapacity, DoesNotComeAndGoWithEachJob) {
  ReservedCapacity reserved;
  int changes = 0, before = 0;
  for (double now = 0; now < 600; ++now) {
    // On either side of the edge in turn.
    reserved.update(jobs(20, static_cast<int>(now) % 2 ? 0.5 * c::kDeficitFrom : 1.1 * c::kDeficitFrom), now);
    changes += reserved.reservation_tiers() != std::exchange(before, reserved.reservation_tiers());
  }
  EXPECT_LE(changes, 40);
}

// A class of which nothing runs while more urgent work uses every machine.
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
  EXPECT_EQ(reserved.reservation_tiers(), 1) << "though some of it runs by now";
  for (int i = 0; i < 12; ++i) reserved.served(kSlow, kBlue, now);
  for (; now < 300 + c::kReservationFall; ++now) reserved.update(jobs(6, 200, now, 0.05), now);
  EXPECT_EQ(reserved.reservation_tiers(), 0);
}

// Otherwise a team in deficit would let its part of the flood in.
TEST(ReservedCapacity, WhatIsReservedForATeamIsNotForAClassThatFloodsTheFleet) {
  ReservedCapacity reserved;
  auto all = jobs(40, 2 * c::kDeficitFull, 0, 0.05);
  for (int i = 0; i < 400; ++i) all.push_back({&kHot, &kBlue, 200, 2 * c::kDeficitFull, 0.9, 0.05});
  for (double now = 0; now < 100; ++now) reserved.update(all, now);
  EXPECT_TRUE(reserved.is_starving(kSlow, kBlue));
  EXPECT_FALSE(reserved.is_starving(kHot, kBlue));
}

TEST(ReservedCapacity, TiersHoldTheirShareOfAnyNames) {
  for (const char* prefix : {"n-", "worker-", "m"}) {
    int on = 0;
    for (int i = 0; i < 20000; ++i) {
      char name[40];
      std::snprintf(name, sizeof name, "%s%06d", prefix, i);
      on += ReservedCapacity::reservation_tier(name) > 0;
    }
    EXPECT_NEAR(on / 20000.0, c::kReservationTierShare * c::kReservationTiers, 0.02) << prefix;
  }
}

class Flooded : public ::testing::TestWithParam<unsigned> {};

TEST_P(Flooded, WhatIsNotUrgentIsServedAllTheSameAndNothingStaysReserved) {
  Model model(GetParam(), 0);
  model.run_overload();
  EXPECT_GE(model.ended["slow"], 0.5 * model.submitted["slow"]);
  EXPECT_GE(model.ended["hot"], 0.5 * model.submitted["hot"] * 200 / 300 * 0.8)
      << "what there is room for, and a fifth";
}
INSTANTIATE_TEST_SUITE_P(Models, Flooded, ::testing::Range(1u, 4u));

}  // namespace
}  // namespace corkmux

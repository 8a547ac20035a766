// Who is in arrears, what is kept for them, and what that does to whole queues.
#include "reserved_capacity.h"

#include <gtest/gtest.h>

#include "scheduler_constants.h"
#include "scheduler_model.h"

namespace corkmux {
namespace {
namespace c = constants;

const std::string kHot = "hot", kSlow = "slow", kRed = "red", kBlue = "blue";

std::vector<ReservedCapacity::Waiting> jobs(int n, double ends_s, double waited_s = 0, double has = 0.1) {
  return std::vector<ReservedCapacity::Waiting>(static_cast<std::size_t>(n),
                                                {&kSlow, &kBlue, waited_s, ends_s, has, has});
}

TEST(ReservedCapacity, KeepsNothingForAQueueThatClearsOrAClassThatIsServed) {
  ReservedCapacity floor;
  for (double now = 0; now < 300; ++now) floor.look(jobs(40, c::kDeficitFrom * 0.9), now);
  EXPECT_EQ(floor.reservation_tiers(), 0);
  for (int i = 0; i < 90; ++i) floor.served(kSlow, kBlue, 300);
  for (double now = 300; now < 400; ++now) floor.look(jobs(20, 2 * c::kDeficitFull), now);
  EXPECT_EQ(floor.reservation_tiers(), 0) << "four in five are served";
  EXPECT_FALSE(floor.holds(kSlow, kBlue));
}

// Found on a day of six times as many urgent jobs: they counted as in arrears themselves, entered what was
// kept for others, and 0.21 of these were served.
TEST(ReservedCapacity, AFloodDoesNotCountAsInArrears) {
  ReservedCapacity floor;
  for (double now = 0; now < 300; ++now) floor.look(jobs(400, 2 * c::kDeficitFull, 200, 0.9), now);
  EXPECT_EQ(floor.reservation_tiers(), 0);
}

TEST(ReservedCapacity, ANewLeaderKnowsArrearsWithinItsRiseAndForgetsThemSlowly) {
  ReservedCapacity floor;
  double now = 0, known = -1, gone = -1;
  for (; now < 200 && known < 0; ++now) {
    floor.look(jobs(40, 2 * c::kDeficitFull), now);
    if (floor.reservation_tiers() == c::kReservationTiers) known = now;
  }
  EXPECT_GT(known, 0);
  EXPECT_LE(known, c::kReservationRise + 2);
  EXPECT_TRUE(floor.holds(kSlow, kRed)) << "its class";
  EXPECT_TRUE(floor.holds(kHot, kBlue)) << "its team";
  EXPECT_FALSE(floor.holds(kHot, kRed));
  double from = now;
  for (; now < from + 200 && gone < 0; ++now) {
    floor.look({}, now);
    if (floor.reservation_tiers() == 0) gone = now;
  }
  EXPECT_GT(gone - from, c::kReservationFall / 2);
  EXPECT_LE(gone - from, c::kReservationFall + 2);
}

TEST(ReservedCapacity, DoesNotComeAndGoWithEachJob) {
  ReservedCapacity floor;
  int changes = 0, before = 0;
  for (double now = 0; now < 600; ++now) {
    // On either side of the edge in turn.
    floor.look(jobs(20, static_cast<int>(now) % 2 ? 0.5 * c::kDeficitFrom : 1.1 * c::kDeficitFrom), now);
    changes += floor.reservation_tiers() != std::exchange(before, floor.reservation_tiers());
  }
  EXPECT_LE(changes, 40);
}

// A class of guests of which nothing had run for 350 s while more urgent work kept every machine (a hunted
// day).
TEST(ReservedCapacity, WhoIsShutOutGetsOneShelfUntilEnoughIsServed) {
  ReservedCapacity floor;
  double now = 0;
  for (; now < c::kStarvedAfter; ++now) {
    floor.look(jobs(6, 200, now, 0), now);
    EXPECT_EQ(floor.reservation_tiers(), 0);
  }
  for (; now < c::kStarvedAfter + c::kReservationRise; ++now) floor.look(jobs(6, 200, now, 0), now);
  EXPECT_EQ(floor.reservation_tiers(), 1);
  for (; now < 300; ++now) floor.look(jobs(6, 200, now, 0.05), now);
  EXPECT_EQ(floor.reservation_tiers(), 1) << "though some of it runs by now";
  for (int i = 0; i < 12; ++i) floor.served(kSlow, kBlue, now);
  for (; now < 300 + c::kReservationFall; ++now) floor.look(jobs(6, 200, now, 0.05), now);
  EXPECT_EQ(floor.reservation_tiers(), 0);
}

// Found on the same day: a team in arrears let its part of the flood in.
TEST(ReservedCapacity, ATeamsFloorIsNotForWhatFloodsTheFleet) {
  ReservedCapacity floor;
  auto all = jobs(40, 2 * c::kDeficitFull, 0, 0.05);
  for (int i = 0; i < 400; ++i) all.push_back({&kHot, &kBlue, 200, 2 * c::kDeficitFull, 0.9, 0.05});
  for (double now = 0; now < 100; ++now) floor.look(all, now);
  EXPECT_TRUE(floor.holds(kSlow, kBlue));
  EXPECT_FALSE(floor.holds(kHot, kBlue));
}

TEST(ReservedCapacity, ShelvesHoldTheirShareOfAnyNames) {
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

TEST_P(Flooded, WhatIsNotUrgentIsServedAllTheSameAndNothingStaysKept) {
  Model model(GetParam(), 0);
  model.flood();
  EXPECT_GE(model.ended["slow"], 0.5 * model.came["slow"]);
  EXPECT_GE(model.ended["hot"], 0.5 * model.came["hot"] * 200 / 300 * 0.8)
      << "what there is room for, and a fifth";
}
INSTANTIATE_TEST_SUITE_P(Models, Flooded, ::testing::Range(1u, 4u));

}  // namespace
}  // namespace corkmux

// Faulty machines and jobs that fail by themselves, at once: neither is taken for the other.
#include "failure_attribution.h"

#include <gtest/gtest.h>

#include "scheduler_model.h"

namespace corkmux {
namespace {
namespace c = constants;

TEST(FailureAttribution, AFailureSpeaksAgainstTheMachineAsFarAsTheJobDoesWellElsewhere) {
  auto faulty = [](const std::vector<MachineFailures>& failures) {
    double sum = 0;
    for (const auto& of_job : failures) sum += weight_against_machine(of_job);
    return sum >= c::kFaultyWeight;
  };
  EXPECT_FALSE(faulty({{40, 0, false}})) << "one job, however often";
  EXPECT_TRUE(faulty({{1, 0, false}, {1, 0, false}}));
  EXPECT_FALSE(faulty({{1, 3, false}, {1, 3, false}, {1, 2, false}})) << "jobs that fail everywhere";
  EXPECT_TRUE(faulty({{2, 0, true}})) << "of a job that does well";
  EXPECT_FALSE(faulty({{1, 0, true}})) << "a single task's bad luck";
  EXPECT_TRUE(fails_by_itself(c::kFailingJobMachines));
  EXPECT_FALSE(fails_by_itself(c::kFailingJobMachines - 1));
  for (int machines = 0; machines < 40; ++machines)
    EXPECT_LE(pause_of_failing(machines), c::kErrorBackoffMax);
}

class Seeds : public ::testing::TestWithParam<unsigned> {};

TEST_P(Seeds, BrokenJobsTakeNoHealthyMachine) {
  Model model(GetParam(), 0);
  model.play(0.1);
  EXPECT_LE(model.lost(false), 1) << "of 100 healthy machines, returned as faulty";
  EXPECT_LT(model.of_broken, 0.25 * model.starts) << "starts wasted on broken jobs";
  EXPECT_TRUE(model.held_failing.empty());
}

TEST_P(Seeds, ABatchOfFaultyMachinesMakesNoGoodJobBad) {
  Model model(GetParam(), 0.2);
  model.play(0);
  EXPECT_GE(model.lost(true), 10) << "faulty machines that were found";
  EXPECT_EQ(model.lost(false), 0);
  // One that met three faulty machines before any of them was known is held bad until a task ends well.
  EXPECT_LE(model.held_failing.size(), 0.1 * model.good);
  EXPECT_TRUE(model.scheduler->jobs().empty()) << "jobs that never ended";
}

TEST_P(Seeds, BothAtOnce) {
  Model model(GetParam(), 0.1);
  model.play(0.06);
  // One that is avoided for a minute after each failure may not be found out in the time.
  EXPECT_GE(model.lost(true), 1);
  EXPECT_LE(model.lost(false), 2);
  EXPECT_LE(model.held_failing.size(), 0.05 * model.good);
  EXPECT_TRUE(model.scheduler->jobs().empty());
}
INSTANTIATE_TEST_SUITE_P(Models, Seeds, ::testing::Range(1u, 9u));

}  // namespace
}  // namespace corkmux

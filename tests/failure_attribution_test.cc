// Faulty machines and failing jobs in one cluster: neither must be mistaken for the other.
#include "failure_attribution.h"

#include <gtest/gtest.h>

#include "scheduler_model.h"

namespace corkmux {
namespace {
namespace c = constants;

TEST(FailureAttribution, AFailureWeighsLessTheMoreOtherMachinesTheJobFailedOn) {
  auto faulty = [](const std::vector<JobFailuresOnMachine>& failures) {
    double sum = 0;
    for (const auto& of_job : failures) sum += machine_fault_weight(of_job);
    return sum >= c::kFaultyWeight;
  };
  EXPECT_FALSE(faulty({{40, 0, false}})) << "failures of one job only, however many";
  EXPECT_TRUE(faulty({{1, 0, false}, {1, 0, false}}));
  EXPECT_FALSE(faulty({{1, 3, false}, {1, 3, false}, {1, 2, false}}))
      << "jobs that fail on other machines as well";
  EXPECT_TRUE(faulty({{2, 0, true}})) << "a job that completes tasks elsewhere";
  EXPECT_FALSE(faulty({{1, 0, true}})) << "a single task's failure may be an accident";
  EXPECT_TRUE(fails_by_itself(c::kFailingJobMachines));
  EXPECT_FALSE(fails_by_itself(c::kFailingJobMachines - 1));
  for (int machines = 0; machines < 40; ++machines)
    EXPECT_LE(failing_job_backoff_s(machines), c::kErrorBackoffMax);
}

class Seeds : public ::testing::TestWithParam<unsigned> {};

TEST_P(Seeds, BrokenJobsMakeNoHealthyMachineFaulty) {
  Model model(GetParam(), 0);
  model.run(0.1);
  EXPECT_LE(model.returned_machines(false), 1) << "of 100 healthy machines, returned as faulty";
  EXPECT_LT(model.broken_job_starts, 0.25 * model.starts) << "starts of tasks of broken jobs";
  EXPECT_TRUE(model.misjudged_jobs.empty());
}

TEST_P(Seeds, FaultyMachinesMakeNoGoodJobCountAsFailing) {
  Model model(GetParam(), 0.2);
  model.run(0);
  EXPECT_GE(model.returned_machines(true), 10) << "faulty machines that were detected and returned";
  EXPECT_EQ(model.returned_machines(false), 0);
  // A good job that failed on three faulty machines before any of them was detected counts as failing until
  // one of its tasks is completed.
  EXPECT_LE(model.misjudged_jobs.size(), 0.1 * model.good_jobs);
  EXPECT_TRUE(model.scheduler->jobs().empty()) << "jobs that have not ended";
}

TEST_P(Seeds, FaultyMachinesAndBrokenJobsTogether) {
  Model model(GetParam(), 0.1);
  model.run(0.06);
  // A machine is avoided for a minute after each failure, so a faulty one may stay undetected in this time.
  EXPECT_GE(model.returned_machines(true), 1);
  EXPECT_LE(model.returned_machines(false), 2);
  EXPECT_LE(model.misjudged_jobs.size(), 0.05 * model.good_jobs);
  EXPECT_TRUE(model.scheduler->jobs().empty());
}
INSTANTIATE_TEST_SUITE_P(Models, Seeds, ::testing::Range(1u, 9u));

}  // namespace
}  // namespace corkmux

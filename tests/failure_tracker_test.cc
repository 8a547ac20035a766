// Tests FailureTracker without the other modules: which machines count as faulty and which jobs as failing.
#include "failure_tracker.h"

#include <gtest/gtest.h>

#include "failure_attribution.h"
#include "scheduler_modules.h"

namespace corkmux {
namespace {
namespace c = constants;

struct FailureTrackerTest : ::testing::Test {
  SchedulerModules modules;
  FailureTracker& failures = modules.failures;
  Machine& machine = modules.add_up_machine("n-1");
  Job& first = modules.add_job(array_spec("run-1", "x", 4, 1));
  Job& second = modules.add_job(array_spec("run-2", "x", 4, 1));
};

TEST_F(FailureTrackerTest, AMachineThatFailsTwoJobsIsFaultyAfterADelay) {
  for (int i = 0; i < 40; ++i) failures.task_failed(machine, first, 0);
  failures.update_health(machine, c::kFaultyDelay);
  EXPECT_FALSE(machine.is_faulty()) << "failures of one job only, however many";
  failures.task_failed(machine, second, 1);
  failures.update_health(machine, c::kFaultyDelay - 0.1);
  EXPECT_FALSE(machine.is_faulty());
  failures.update_health(machine, c::kFaultyDelay);
  EXPECT_TRUE(machine.is_faulty());
  EXPECT_TRUE(first.failed_on.empty()) << "failures on a faulty machine do not count against the jobs";
  EXPECT_TRUE(second.failed_on.empty());
}

TEST_F(FailureTrackerTest, AJobThatFailsOnThreeMachinesIsDelayedAndTheMachinesUncordoned) {
  std::vector<Machine*> others{&modules.add_up_machine("n-2"), &modules.add_up_machine("n-3")};
  failures.task_failed(machine, first, 0);
  failures.task_failed(*others[0], first, 0);
  EXPECT_FALSE(first.fails_by_itself);
  EXPECT_EQ(first.not_before, 0);
  failures.task_failed(*others[1], first, 5);
  EXPECT_TRUE(first.fails_by_itself);
  EXPECT_EQ(first.not_before, 5 + c::kErrorBackoff);
  for (const auto& [name, other] : modules.state.machines())
    EXPECT_LT(other.failures.cordoned_until, 5) << name;
  failures.task_completed(*others[1], first);
  EXPECT_FALSE(first.fails_by_itself);
  EXPECT_EQ(first.not_before, 0);
}

TEST_F(FailureTrackerTest, FailuresOfAnEndedJobCountOnlyIfItCompletedTasks) {
  failures.task_failed(machine, first, 0);
  failures.job_ended(first);
  EXPECT_TRUE(machine.failures.by_job.empty());
  for (int i = 0; i < 2; ++i) failures.task_failed(machine, second, 0);
  second.done = 4;
  failures.job_ended(second);
  failures.update_health(machine, c::kFaultyDelay);
  EXPECT_TRUE(machine.is_faulty());
}

}  // namespace
}  // namespace corkmux

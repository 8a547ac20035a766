// How many machines are held: none is returned between jobs that keep coming, all are once they have ceased.
#include "scaling.h"

#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace corkmux {
namespace {

struct ScalingTest : ::testing::Test {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  OperatorChoices choices;
  double now = 0;
  std::uint64_t seq = 0;
  void SetUp() override {
    config.teams = {{"x", 0, 0, 0, 0}};
    choices.idle_return_s = 600;
    choices.headroom_share = 0.5;
    choices.headroom_machines = 2;
    scheduler = std::make_unique<Scheduler>(config, 1, 0, 7);
    scheduler->set_catalog({plain_type({"a"})});
    pass(1);
  }
  /// Time in which the machines report and no job comes.
  void pass(double seconds) {
    for (double until = now + seconds; now < until; now += 1) {
      for (int i = 0; i < 6; ++i) {
        Heartbeat heartbeat = first_heartbeat("n-" + std::to_string(i));
        heartbeat.seq = ++seq;
        heartbeat.fencing_token = tokens[i];
        const auto result = scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
        tokens[i] = std::max(tokens[i], result.fencing_token);
      }
      scheduler->tick(now);
    }
  }
  void run_job(int number) {
    const JobSpec spec = job_spec(number);
    scheduler->upsert_job(spec, static_cast<std::uint64_t>(number + 1), false, now);
    pass(5);
    scheduler->forget_job(spec.id);
  }
  static JobSpec job_spec(int number) { return array_spec("run-" + std::to_string(number), "x", 1, 1); }
  std::size_t machines_returned() { return plan_scaling(*scheduler, choices, {}, now).scale_in.size(); }
  std::map<int, std::uint64_t> tokens;
};

TEST_F(ScalingTest, KeepsIdleMachinesWhileJobsKeepComing) {
  for (int number = 0; number < 8; ++number) {
    run_job(number);
    pass(20);
    EXPECT_EQ(machines_returned(), 0u) << number;
  }
}

TEST_F(ScalingTest, ReturnsAllOnceJobsHaveCeasedForSeveralOfTheirGaps) {
  for (int number = 0; number < 8; ++number) {
    run_job(number);
    pass(20);
  }
  pass(60);  // gaps of 25 s: four of them are not over yet
  EXPECT_EQ(machines_returned(), 0u);
  pass(40);
  EXPECT_EQ(machines_returned(), 6u);
}

TEST_F(ScalingTest, ReturnsNothingWhileAJobIsUnfinishedHoweverLongNoneCame) {
  scheduler->upsert_job(job_spec(1), 1, false, now);
  pass(500);
  EXPECT_EQ(machines_returned(), 0u);
}

}  // namespace
}  // namespace corkmux

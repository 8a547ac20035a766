// How many machines are held: none is returned between jobs that keep arriving, all are once arrivals have
// ceased.
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
    advance(1);
  }
  /// Advances the time: the machines send heartbeats, and no job arrives.
  void advance(double seconds) {
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
    advance(5);
    scheduler->forget_job(spec.id);
  }
  static JobSpec job_spec(int number) { return array_spec("run-" + std::to_string(number), "x", 1, 1); }
  std::size_t machines_returned() { return plan_scaling(*scheduler, choices, {}, now).scale_in.size(); }
  std::map<int, std::uint64_t> tokens;
};

TEST_F(ScalingTest, KeepsIdleMachinesWhileJobsKeepArriving) {
  for (int number = 0; number < 8; ++number) {
    run_job(number);
    advance(20);
    EXPECT_EQ(machines_returned(), 0u) << number;
  }
}

TEST_F(ScalingTest, ReturnsAllOnceNoJobArrivedForSeveralUsualGaps) {
  for (int number = 0; number < 8; ++number) {
    run_job(number);
    advance(20);
  }
  advance(60);  // the gaps are 25 s, so four of them are not over yet
  EXPECT_EQ(machines_returned(), 0u);
  advance(40);
  EXPECT_EQ(machines_returned(), 6u);
}

TEST_F(ScalingTest, ReturnsNothingWhileAJobIsUnfinishedHoweverLongNoneArrived) {
  scheduler->upsert_job(job_spec(1), 1, false, now);
  advance(500);
  EXPECT_EQ(machines_returned(), 0u);
}

}  // namespace
}  // namespace corkmux

// How many machines are held: none is returned between jobs that keep coming, all are once they have ceased.
#include "scaling.h"

#include <gtest/gtest.h>

namespace corkmux {
namespace {

struct FleetTest : ::testing::Test {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  OperatorChoices choices;
  double now = 0;
  std::uint64_t seq = 0;
  void SetUp() override {
    config.teams = {{"x", 0, 0, 0, 0}};
    choices.idle_return_s = 600, choices.headroom_share = 0.5, choices.headroom_machines = 2;
    scheduler = std::make_unique<Scheduler>(config, 1, 0, 7);
    scheduler->set_catalog({{"plain", {16, 0, 64}, 50, 1, 1, 1, 10, {"a"}}});
    pass(1);
  }
  /// Time in which the machines report and no job comes.
  void pass(double seconds) {
    for (double until = now + seconds; now < until; now += 1) {
      for (int i = 0; i < 6; ++i) {
        Heartbeat r;
        r.machine = "n-" + std::to_string(i), r.address = "x", r.type = "plain", r.zone = "a";
        r.worker_epoch = 1, r.seq = ++seq, r.fencing_token = tokens[i];
        tokens[i] =
            std::max(tokens[i], scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, now).fencing_token);
      }
      scheduler->tick(now);
    }
  }
  void run_job(int n) {
    JobSpec s;
    s.id = "run-" + std::to_string(n), s.team = "x", s.need = {1, 0, 1}, s.image = "i";
    scheduler->put_job(s, static_cast<std::uint64_t>(n + 1), false, now);
    pass(5);
    scheduler->forget_job(s.id);
  }
  std::size_t given_back() { return plan_scaling(*scheduler, choices, {}, now).scale_in.size(); }
  std::map<int, std::uint64_t> tokens;
};

TEST_F(FleetTest, KeepsIdleMachinesWhileJobsKeepComing) {
  for (int n = 0; n < 8; ++n) {
    run_job(n);
    pass(20);
    EXPECT_EQ(given_back(), 0u) << n;
  }
}

TEST_F(FleetTest, ReturnsAllOnceJobsHaveCeasedForSeveralOfTheirGaps) {
  for (int n = 0; n < 8; ++n) {
    run_job(n);
    pass(20);
  }
  pass(60);  // gaps of 25 s: four of them are not over yet
  EXPECT_EQ(given_back(), 0u);
  pass(40);
  EXPECT_EQ(given_back(), 6u);
}

TEST_F(FleetTest, ReturnsNothingWhileAJobIsUnfinishedHoweverLongNoneCame) {
  JobSpec s;
  s.id = "run-1", s.team = "x", s.need = {1, 0, 1}, s.image = "i";
  scheduler->put_job(s, 1, false, now);
  pass(500);
  EXPECT_EQ(given_back(), 0u);
}

}  // namespace
}  // namespace corkmux

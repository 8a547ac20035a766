// Tests which launches of cancelled jobs need a new term, and that a violation of `cancel_s` is logged.
#include "cancel_deadline.h"

#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace corkmux {
namespace {

using Outcome = Scheduler::DispatchOutcome;

constexpr double kProxyUntil = 1000;

/// A job whose launch to the only machine was sent at 0 s.
struct CancelDeadline : ::testing::Test {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  JobSpec spec = array_spec("run-1", "x", 1, 1);
  CommandBatch batch;
  TaskRecordWrite stored;
  Heartbeat heartbeat = first_heartbeat("n-1");

  void SetUp() override {
    config.report_s = 5;
    config.lease_s = 20;
    config.cancel_s = 43;
    config.zones = {"a"};
    config.teams = {{"x", 0, 0, 0, 0}};
    scheduler = std::make_unique<Scheduler>(config, 2, 0, 11);
    scheduler->set_catalog({plain_type({"a"})});
    join(*scheduler, heartbeat);
    heartbeat.seq = 2;
    scheduler->heartbeat_answered("n-1", 0);
    scheduler->upsert_job(spec, 1, false, 0);
    scheduler->schedule(0);
    auto writes = scheduler->next_writes(12, true, 0);
    ASSERT_EQ(writes.size(), 1u);
    stored = writes[0];
    scheduler->records_written(writes, 2, 0);
    batch = scheduler->take_commands("n-1", 0);
    ASSERT_EQ(batch.launches.size(), 1u);
  }
  void cancel(double now) { scheduler->upsert_job(spec, 3, true, now); }
  void renew_by_proxy() { scheduler->renewed_by_proxy("n-1", kProxyUntil); }
  double wait_s() const { return config.keepalive() / 2; }
  Scheduler::HeartbeatResult report(std::uint64_t token, double now, bool with_task) {
    ++heartbeat.seq;
    heartbeat.fencing_token = token;
    heartbeat.tasks.clear();
    if (with_task)
      heartbeat.tasks.push_back({spec.id, 0, batch.attempts[0], TaskState::Running, ExitReason::None, false});
    return scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
  }
};

TEST_F(CancelDeadline, AnUnansweredLaunchToAWorkerOfALeaseProxyNeedsANewTermInTime) {
  scheduler->dispatch_done("n-1", batch, Outcome::Unanswered, 3);
  cancel(4);
  renew_by_proxy();
  EXPECT_FALSE(scheduler->find_unfenced_launch(4 + wait_s() - 0.1));
  auto launch = scheduler->find_unfenced_launch(4 + wait_s() + 0.1);
  ASSERT_TRUE(launch);
  EXPECT_EQ(launch->job, spec.id);
}

TEST_F(CancelDeadline, ALaunchNeedsNoNewTermWhileItsJobIsNotCancelled) {
  scheduler->dispatch_done("n-1", batch, Outcome::Unanswered, 3);
  renew_by_proxy();
  EXPECT_FALSE(scheduler->find_unfenced_launch(100));
}

TEST_F(CancelDeadline, ALaunchIsFencedOnceTheWorkerReportsTheRaisedToken) {
  scheduler->dispatch_done("n-1", batch, Outcome::Unanswered, 3);
  cancel(4);
  auto raised = report(batch.fencing_token, 5, false).fencing_token;
  renew_by_proxy();
  EXPECT_TRUE(scheduler->find_unfenced_launch(5 + wait_s()));
  report(raised, 6, false);
  EXPECT_FALSE(scheduler->find_unfenced_launch(5 + wait_s()));
}

TEST_F(CancelDeadline, ALaunchThatArrivedNeedsNoNewTerm) {
  scheduler->dispatch_done("n-1", batch, Outcome::Unanswered, 3);
  cancel(4);
  report(batch.fencing_token, 5, true);
  renew_by_proxy();
  EXPECT_FALSE(scheduler->find_unfenced_launch(100));
}

// The worker's lease runs out by itself, so the launch is refused for its epoch.
TEST_F(CancelDeadline, ALaunchToAWorkerThatNobodyAnswersNeedsNoNewTermWithinItsLease) {
  scheduler->dispatch_done("n-1", batch, Outcome::Unanswered, 3);
  cancel(4);
  EXPECT_FALSE(scheduler->find_unfenced_launch(4 + wait_s() + 0.1));
  EXPECT_TRUE(scheduler->find_unfenced_launch(config.lease_s + 2)) << "the lease proxies may be unreadable";
}

TEST_F(CancelDeadline, ALaunchOfAFormerTermNeedsNoFurtherTerm) {
  Scheduler next(config, 3, 10, 11);
  next.set_catalog({plain_type({"a"})});
  next.upsert_job(spec, 3, true, 10);
  ASSERT_EQ(next.load_record(stored.key, stored.value, 2), Scheduler::Loaded::Loaded);
  next.records_loaded();
  next.renewed_by_proxy("n-1", kProxyUntil);
  ASSERT_EQ(next.job(spec.id)->active.size(), 1u);
  EXPECT_FALSE(next.find_unfenced_launch(100));
}

TEST_F(CancelDeadline, ATaskReportedAfterTheTimeIsLoggedOnceAndToldToStop) {
  scheduler->dispatch_done("n-1", batch, Outcome::Executed, 1);
  cancel(4);
  report(batch.fencing_token, 4 + config.cancel_s - 1, true);
  scheduler->take_notes();
  auto answer = report(batch.fencing_token, 4 + config.cancel_s + 1, true);
  EXPECT_EQ(answer.commands.at(0).op, TaskCommand::Op::Stop);
  auto notes = scheduler->take_notes();
  ASSERT_EQ(notes.size(), 1u);
  EXPECT_NE(notes[0].find("violation of cancel_s"), std::string::npos) << notes[0];
  report(batch.fencing_token, 4 + config.cancel_s + 2, true);
  EXPECT_TRUE(scheduler->take_notes().empty());
}

}  // namespace
}  // namespace corkmux

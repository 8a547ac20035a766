// Preconditions of sending a task to a machine, and the channel by which its launch is sent.
#include <gtest/gtest.h>

#include "scheduler.h"

namespace corkmux {
namespace {

using Outcome = Scheduler::DispatchOutcome;

struct WriteAhead : ::testing::Test {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  std::map<std::string, Heartbeat> last;
  std::uint64_t revision = 0;
  void SetUp() override {
    config.zones = {"a", "b"};
    config.teams = {{"x", 0, 0, 0, 0}};
    scheduler = std::make_unique<Scheduler>(config, 2, 0, 11);
    scheduler->set_catalog({{"plain", {16, 0, 64}, 50, 1, 1, 1, 10, {"a", "b"}}});
  }
  Scheduler::HeartbeatResult heartbeat(const std::string& name, std::uint64_t fencing_token, double now = 0,
                                       const std::vector<TaskStatus>& tasks = {},
                                       const std::string& zone = "a") {
    Heartbeat& r = last[name];
    r.machine = name, r.address = "address-of-" + name, r.type = "plain", r.zone = zone, r.worker_epoch = 1;
    ++r.seq, r.fencing_token = fencing_token, r.tasks = tasks;
    return scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, now);
  }
  void join(const std::string& name, const std::string& zone = "a") {
    heartbeat(name, heartbeat(name, 0, 0, {}, zone).fencing_token, 0, {}, zone);
  }
  JobSpec spec(int tasks, JobKind kind = JobKind::Array) {
    JobSpec s;
    s.id = "run-" + std::to_string(++revision), s.team = "x", s.kind = kind, s.tasks = tasks;
    s.need = {16, 0, 1}, s.image = "i";
    scheduler->upsert_job(s, revision, false, 0);
    return s;
  }
  void store() {
    auto batch = scheduler->next_writes(12, true, 0);
    scheduler->records_written(batch, ++revision, 0);
  }
  std::vector<TaskId> sent(double now = 0) {
    std::vector<TaskId> out;
    for (const auto& name : scheduler->machines_with_commands()) {
      auto command_batch = scheduler->take_commands(name, now);
      out.insert(out.end(), command_batch.launches.begin(), command_batch.launches.end());
      scheduler->dispatch_done(name, command_batch, Outcome::Executed, now);
    }
    return out;
  }
};

// A machine that still accepts a former leader's token may still be sent launches by that leader: no task is
// placed there until its own heartbeat shows that it accepts this leader's token.
TEST_F(WriteAhead, NothingIsPlacedBeforeTheMachineAcceptsThisLeader) {
  auto s = spec(1);
  auto own_token = heartbeat("n-1", 0).fencing_token;
  heartbeat("n-1", own_token - 1);  // the newest token it has received is another leader's
  scheduler->schedule(0);
  EXPECT_TRUE(scheduler->job(s.id)->active.empty());
  heartbeat("n-1", own_token);
  scheduler->schedule(0);
  EXPECT_EQ(scheduler->job(s.id)->active.size(), 1u);
}

// After an unanswered command batch the machine's token is raised. The lost batch may still arrive until the
// machine's heartbeat carries the new token: until then the machine gets no other task, and the task is not
// started elsewhere.
TEST_F(WriteAhead, NothingIsPlacedWhileAnUnansweredLaunchMayStillArrive) {
  join("n-1");
  auto s = spec(1);
  scheduler->schedule(0);
  store();
  auto command_batch = scheduler->take_commands("n-1", 0);
  ASSERT_EQ(command_batch.launches.size(), 1u);
  scheduler->dispatch_done("n-1", command_batch, Outcome::Unanswered, 1);
  join("n-2");
  auto raised_token = heartbeat("n-1", command_batch.fencing_token, 1).fencing_token;
  EXPECT_GT(raised_token, command_batch.fencing_token);
  scheduler->schedule(1);
  EXPECT_EQ(scheduler->job(s.id)->active.at(0).machine, "n-1");
  heartbeat("n-1", raised_token, 2);  // now its absence from the heartbeat is proof
  scheduler->schedule(2);
  EXPECT_NE(scheduler->job(s.id)->active.at(0).attempt, command_batch.attempts[0]);
}

// A record in flight may be older than the newest assignment in it: a launch is sent only for assignments in
// the stored record.
TEST_F(WriteAhead, OnlyAssignmentsInTheStoredRecordAreSent) {
  join("n-1");
  auto s = spec(2);
  scheduler->schedule(0);
  auto first = scheduler->next_writes(12, true, 0);
  ASSERT_EQ(first.size(), 1u);
  join("n-2");
  scheduler->schedule(0);
  ASSERT_EQ(scheduler->job(s.id)->active.size(), 2u);
  EXPECT_TRUE(sent().empty());
  scheduler->records_written(first, ++revision, 0);
  EXPECT_EQ(sent(), (std::vector<TaskId>{{s.id, 0}}));
  store();
  EXPECT_EQ(sent(), (std::vector<TaskId>{{s.id, 1}}));
}

// Heartbeats that come as relayed messages show that commands sent directly would fail at a network
// partition: launches then go in heartbeat answers.
TEST_F(WriteAhead, LaunchesForAnUnreachableMachineGoInHeartbeatAnswers) {
  join("n-1");
  auto s = spec(1);
  scheduler->schedule(0);
  scheduler->set_unreachable("n-1", 0);
  store();
  EXPECT_TRUE(sent().empty());
  auto answer = heartbeat("n-1", last["n-1"].fencing_token, 0.5);
  ASSERT_EQ(answer.commands.size(), 1u);
  EXPECT_EQ(answer.commands[0].op, TaskCommand::Op::Start);
  EXPECT_EQ(answer.commands[0].job, s.id);
}

TEST_F(WriteAhead, AReplicaThatEndsIsRestartedAndTheServiceIsNeverDone) {
  join("n-1");
  auto s = spec(1, JobKind::Service);
  std::set<std::uint64_t> attempts;
  for (int run = 0; run < 3; ++run) {
    scheduler->schedule(0);
    store();
    ASSERT_EQ(sent().size(), 1u) << run;
    auto attempt = scheduler->job(s.id)->active.at(0).attempt;
    attempts.insert(attempt);
    heartbeat("n-1", last["n-1"].fencing_token, 0,
              {{s.id, 0, attempt, TaskState::Exited, ExitReason::Done, false}});
    EXPECT_EQ(scheduler->job(s.id)->done, 0);
    EXPECT_TRUE(scheduler->finished_jobs().empty());
  }
  EXPECT_EQ(attempts.size(), 3u);
}

// Guards against `quota`: when one task of a gang is done, all its tasks count as completed, but they have
// not necessarily left their machines; a machine may hang or be partitioned. A new leader treats the gang
// alike.
TEST_F(WriteAhead, ASlotOfACompletedGangIsFreedOnlyByProofOfAbsence) {
  join("n-1"), join("n-2");
  auto s = spec(2, JobKind::Gang);
  scheduler->schedule(0);
  store();
  ASSERT_EQ(sent().size(), 2u);
  const auto active = scheduler->job(s.id)->active;
  auto status = [&](int i, TaskState state, ExitReason why) {
    return TaskStatus{s.id, i, active.at(i).attempt, state, why, false};
  };
  for (int i : {0, 1})
    heartbeat(active.at(i).machine, last[active.at(i).machine].fencing_token, 1,
              {status(i, TaskState::Running, ExitReason::None)});
  heartbeat(active.at(0).machine, last[active.at(0).machine].fencing_token, 2,
            {status(0, TaskState::Exited, ExitReason::Done)});
  EXPECT_EQ(scheduler->team_use("x").cpus, 16);
  EXPECT_TRUE(scheduler->finished_jobs().empty());
  // A new leader recovers the same state from the stored record.
  auto batch = scheduler->next_writes(12, true, 100);
  ASSERT_EQ(batch.size(), 1u);
  scheduler->records_written(batch, ++revision, 2);
  Scheduler next(config, 3, 2, 12);
  next.upsert_job(s, 1, false, 2);
  ASSERT_EQ(next.load_record(batch[0].key, batch[0].value, 5), Scheduler::Loaded::Loaded);
  next.records_loaded();
  EXPECT_EQ(next.team_use("x").cpus, 16);
  EXPECT_EQ(next.job(s.id)->active.count(1), 1u);
  // A new worker epoch has no task of the former one: then all tasks are done, however the task there ended.
  // To the new leader only a heartbeat with its own token shows that: any other may be of a former
  // incarnation of the machine, with higher epochs than that in which the task was started.
  Heartbeat r = last[active.at(1).machine];
  r.worker_epoch = 2, r.seq = 1, r.tasks.clear();
  Heartbeat to_next = r;
  to_next.fencing_token = next.on_heartbeat(r, Scheduler::Channel::Heartbeat, 3).fencing_token;
  EXPECT_EQ(next.team_use("x").cpus, 16);
  EXPECT_EQ(next.job(s.id)->active.count(1), 1u);
  ++to_next.seq;
  const std::pair<Scheduler*, Heartbeat> proofs[] = {{scheduler.get(), r}, {&next, to_next}};
  for (const auto& [scheduler, proof] : proofs) {
    scheduler->on_heartbeat(proof, Scheduler::Channel::Heartbeat, 3);
    EXPECT_EQ(scheduler->team_use("x").cpus, 0);
    EXPECT_EQ(scheduler->job(s.id)->done, 2);
    EXPECT_EQ(scheduler->finished_jobs().size(), 1u);
  }
}

TEST_F(WriteAhead, ASpreadJobWaitsRatherThanExceedItsShareOfOneZone) {
  for (int i = 0; i < 5; ++i) join("n-" + std::to_string(i), "a");
  JobSpec s;
  s.id = "run-100", s.team = "x", s.tasks = 5, s.need = {16, 0, 1}, s.image = "i", s.spread = true;
  scheduler->upsert_job(s, 100, false, 0);
  scheduler->schedule(0);
  EXPECT_EQ(scheduler->job(s.id)->active.size(), 3u);  // half of five, rounded up
  for (int i = 5; i < 7; ++i) join("n-" + std::to_string(i), "b");
  scheduler->schedule(0);
  EXPECT_EQ(scheduler->job(s.id)->active.size(), 5u);
}

// Beyond a network partition a lease proxy may renew a machine whose heartbeats do not reach the leader:
// returning that machine would end tasks that keep running.
TEST_F(WriteAhead, ASilentMachineIsNotReturnedWhileALeaseProxyRenewsIt) {
  for (const char* name : {"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"}) join(name);
  double dead_after_s = 3.6 * config.report_s + 0.1;
  for (const char* name : {"n-3", "n-4", "n-5", "n-6"})
    for (double now : {dead_after_s, 2 * dead_after_s, 3 * dead_after_s})
      heartbeat(name, scheduler->machine(name)->worker.fencing_token, now);
  scheduler->renewed_by_proxy("n-1", 3 * dead_after_s);
  scheduler->tick(2 * dead_after_s);
  EXPECT_TRUE(scheduler->any_silent());
  EXPECT_EQ(scheduler->decommissioning(), std::vector<std::string>{"n-2"});
  scheduler->tick(3 * dead_after_s);
  EXPECT_EQ(scheduler->decommissioning().size(), 2u);
}

}  // namespace
}  // namespace corkmux

// A late copy of a launch that was executed and answered reaches the machine once more. The worker has
// forgotten the attempt by then: it has cleared it, begun a new epoch, or restarted (its name and address as
// before, its epoch, sequence and token from the beginning). Whatever has become of the task, the copy must
// start nothing that the leader has not assigned there.
#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <tuple>

#include "scheduler_fixture.h"

namespace corkmux {
namespace {

using Outcome = Scheduler::DispatchOutcome;

/// A worker as the protocol defines it.
struct ModelWorker {
  Heartbeat heartbeat;
  std::set<std::tuple<std::string, int, std::uint64_t>> attempts;  // known until cleared
  bool answered = false;  // since it started; before, it has no token and obeys any command of its epoch

  explicit ModelWorker(const std::string& name) : heartbeat(first_heartbeat(name)) { heartbeat.seq = 0; }

  /// Returns whether a task was started.
  bool execute(const CommandBatch& batch) {
    if (batch.fencing_token < heartbeat.fencing_token || batch.worker_epoch != heartbeat.worker_epoch)
      return false;
    return obey(batch.fencing_token, batch.commands);
  }
  bool obey(std::uint64_t token, const std::vector<TaskCommand>& commands) {
    if (token < heartbeat.fencing_token) return false;
    heartbeat.fencing_token = token;
    answered = true;
    bool started = false;
    for (const TaskCommand& command : commands) started |= obey(command);
    return started;
  }
  bool obey(const TaskCommand& command) {
    if (command.op == TaskCommand::Op::Start) {
      if (!attempts.insert({command.job, command.index, command.attempt}).second) return false;
      heartbeat.tasks.push_back(
          {command.job, command.index, command.attempt, TaskState::Running, ExitReason::None, false});
      return true;
    }
    const auto is_meant = [&](const TaskStatus& task) {
      return task.job == command.job && task.index == command.index && task.attempt == command.attempt;
    };
    if (command.op == TaskCommand::Op::Forget) {
      std::erase_if(heartbeat.tasks, is_meant);
      attempts.erase({command.job, command.index, command.attempt});
      return false;
    }
    for (TaskStatus& task : heartbeat.tasks)
      if (is_meant(task) && task.state != TaskState::Exited) end(task, ExitReason::Stopped);
    return false;
  }
  static void end(TaskStatus& task, ExitReason why) {
    task.state = TaskState::Exited;
    task.why = why;
  }
  void end_all(ExitReason why) {
    for (TaskStatus& task : heartbeat.tasks) end(task, why);
  }
  void forget_all() {
    heartbeat.tasks.clear();
    attempts.clear();
  }
  void begin_epoch() {
    forget_all();
    ++heartbeat.worker_epoch;
  }
  void restart() { *this = ModelWorker(heartbeat.machine); }
};

enum class Forgets { ByClear, InNewEpoch, ByRestart };
enum class Fate { Done, Moved, Cancelled };
enum class Leader { Same, NextWithinASecond };

struct LateLaunchCase {
  Forgets forgets;
  Fate fate;
  Leader leader;
};

struct LateLaunch : ::testing::TestWithParam<LateLaunchCase> {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  ModelWorker first{"n-1"};
  ModelWorker second{"n-2"};
  bool second_is_up = false;
  JobSpec spec = array_spec("run-1", "x", 1, 16);
  std::map<std::string, nlohmann::json> records;
  bool cancelled = false;
  bool job_ended = false;  // its end is stored
  std::optional<CommandBatch> copy;
  std::uint64_t revision = 10;
  double now = 0;

  void SetUp() override {
    config.zones = {"a"};
    config.report_s = 1;
    config.teams = {{"x", 0, 0, 0, 0}};
    begin_term(1);
  }
  void begin_term(std::uint64_t term) {
    scheduler = std::make_unique<Scheduler>(config, term, now, 7);
    scheduler->set_catalog({plain_type({"a"})});
    scheduler->use_v2_records();
    if (job_ended) return;
    scheduler->upsert_job(spec, 1, cancelled, now);
    for (const auto& [key, value] : records) scheduler->load_record(key, value, revision);
    scheduler->records_loaded();
  }
  const ActiveTask* assigned_to(const std::string& machine) {
    Job* job = scheduler->job(spec.id);
    const ActiveTask* task = job ? job->find_active(0) : nullptr;
    return task && task->machine == machine ? task : nullptr;
  }

  /// Checks that the copy would start nothing now but what the leader has assigned.
  void expect_copy_starts_nothing() {
    ModelWorker probe = first;
    if (!copy || !probe.answered || !probe.execute(*copy)) return;
    const ActiveTask* task = assigned_to("n-1");
    EXPECT_TRUE(task && task->attempt == copy->attempts.front() && !cancelled) << "at " << now;
  }
  void send_heartbeat(ModelWorker& worker) {
    ++worker.heartbeat.seq;
    const auto result = scheduler->on_heartbeat(worker.heartbeat, Scheduler::Channel::Heartbeat, now);
    scheduler->heartbeat_answered(worker.heartbeat.machine, now);
    expect_copy_starts_nothing();
    worker.obey(result.fencing_token, result.commands);
    expect_copy_starts_nothing();
  }
  void store() {
    const auto batch = scheduler->next_writes(12, true, now);
    for (const auto& write : batch) records[write.key] = write.value;
    scheduler->records_written(batch, ++revision, now);
  }
  void dispatch() {
    for (const std::string& name : scheduler->machines_with_commands()) {
      ModelWorker& worker = name == "n-1" ? first : second;
      const CommandBatch batch = scheduler->take_commands(name, now);
      const bool started = worker.execute(batch);
      if (started && name == "n-1" && !copy) copy = batch;
      ++worker.heartbeat.seq;
      scheduler->dispatch_done(name, batch, Outcome::Executed, now);
      scheduler->on_heartbeat(worker.heartbeat, Scheduler::Channel::CommandBatch, now);
      expect_copy_starts_nothing();
    }
  }
  void step() {
    now += 0.5;
    send_heartbeat(first);
    if (second_is_up) send_heartbeat(second);
    scheduler->tick(now);
    scheduler->schedule(now);
    store();
    dispatch();
    expect_copy_starts_nothing();
    for (const std::string& id : scheduler->finished_jobs()) {
      job_ended = true;
      scheduler->forget_job(id);
    }
  }
  void steps(int count) {
    for (int i = 0; i < count; ++i) step();
  }
  void cancel() {
    cancelled = true;
    scheduler->upsert_job(spec, ++revision, true, now);
  }
  /// What happens to the task before its worker forgets it.
  void end_task() {
    if (GetParam().fate == Fate::Cancelled) return cancel();
    first.end_all(GetParam().fate == Fate::Done ? ExitReason::Done : ExitReason::Error);
  }
  void forget() {
    if (GetParam().forgets == Forgets::ByRestart)
      first.restart();
    else if (GetParam().forgets == Forgets::InNewEpoch)
      first.begin_epoch();
  }
};

TEST_P(LateLaunch, StartsNothingThatIsNotAssignedThere) {
  // The machine has been up for a while before the launch, so that its first heartbeats after a restart look
  // old.
  for (int i = 0; i < 5; ++i) send_heartbeat(first);
  steps(4);
  ASSERT_TRUE(copy) << "the task was launched";
  ASSERT_TRUE(assigned_to("n-1"));
  second_is_up = true;
  if (GetParam().fate != Fate::Moved || GetParam().forgets == Forgets::ByClear) {
    end_task();
    steps(4);
  }
  forget();
  if (GetParam().leader == Leader::NextWithinASecond) begin_term(2);
  steps(30);
  EXPECT_FALSE(assigned_to("n-1") && first.heartbeat.tasks.empty()) << "the leader has seen that it is gone";
  if (GetParam().fate == Fate::Moved)
    EXPECT_TRUE(assigned_to("n-2") || assigned_to("n-1")) << "the task runs again";
  else
    EXPECT_TRUE(job_ended);
}

std::vector<LateLaunchCase> all_cases() {
  std::vector<LateLaunchCase> cases;
  for (Forgets forgets : {Forgets::ByClear, Forgets::InNewEpoch, Forgets::ByRestart})
    for (Fate fate : {Fate::Done, Fate::Moved, Fate::Cancelled})
      for (Leader leader : {Leader::Same, Leader::NextWithinASecond})
        cases.push_back({forgets, fate, leader});
  return cases;
}
std::string name_of(const ::testing::TestParamInfo<LateLaunchCase>& info) {
  const char* const forgets[] = {"Cleared", "NewEpoch", "Restarted"};
  const char* const fate[] = {"Done", "Moved", "Cancelled"};
  const char* const leader[] = {"SameLeader", "NextLeader"};
  return std::string(forgets[static_cast<int>(info.param.forgets)]) +
         fate[static_cast<int>(info.param.fate)] + leader[static_cast<int>(info.param.leader)];
}
INSTANTIATE_TEST_SUITE_P(Workers, LateLaunch, ::testing::ValuesIn(all_cases()), name_of);

// ---------------------------------------------------------------- restarts

struct RestartedMachine : ::testing::Test {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  ModelWorker worker{"n-1"};
  double now = 0;

  void SetUp() override {
    config.zones = {"a"};
    config.report_s = 1;
    config.teams = {{"x", 0, 0, 0, 0}};
    scheduler = std::make_unique<Scheduler>(config, 2, now, 7);
    scheduler->set_catalog({plain_type({"a"})});
    for (int i = 0; i < 9; ++i) send_heartbeat();
  }
  Scheduler::HeartbeatResult send_heartbeat() {
    ++worker.heartbeat.seq;
    auto result = scheduler->on_heartbeat(worker.heartbeat, Scheduler::Channel::Heartbeat, now);
    worker.obey(result.fencing_token, result.commands);
    return result;
  }
};

// Nothing keeps a restarted worker without an answer from obeying a copy. What that has started is stopped
// as soon as the worker has shown that it is a new incarnation.
TEST_F(RestartedMachine, TheSecondAnswerStopsWhatACopyHasStarted) {
  worker.restart();
  worker.obey({TaskCommand::Op::Start, "run-old", 0, 3, 0});
  now += 0.2;
  for (int i = 0; i < 2; ++i) send_heartbeat();
  ASSERT_EQ(worker.heartbeat.tasks.size(), 1u);
  EXPECT_EQ(worker.heartbeat.tasks[0].why, ExitReason::Stopped);
}

// Guards against a machine that is lost for the leader: its heartbeats looked old until their number had
// passed that of its former incarnation, while their answers kept its lease.
TEST_F(RestartedMachine, IsUsedAgainAfterTwoHeartbeats) {
  worker.restart();
  now += 0.2;
  send_heartbeat();
  send_heartbeat();
  scheduler->upsert_job(array_spec("run-1", "x", 1, 16), 1, false, now);
  scheduler->schedule(now);
  EXPECT_EQ(scheduler->job("run-1")->active.size(), 1u);
}

TEST_F(RestartedMachine, ALateHeartbeatOfTheFormerIncarnationProvesNothing) {
  Heartbeat late = worker.heartbeat;
  late.seq += 100;
  worker.restart();
  now += 0.2;
  for (int i = 0; i < 3; ++i) send_heartbeat();
  scheduler->upsert_job(array_spec("run-1", "x", 1, 16), 1, false, now);
  scheduler->schedule(now);
  scheduler->records_written(scheduler->next_writes(12, true, now), 2, now);
  const CommandBatch batch = scheduler->take_commands("n-1", now);
  worker.execute(batch);
  scheduler->dispatch_done("n-1", batch, Outcome::Executed, now);
  scheduler->on_heartbeat(late, Scheduler::Channel::Heartbeat, now);
  EXPECT_EQ(scheduler->job("run-1")->active.size(), 1u) << "the task is not taken for lost";
}

TEST_F(RestartedMachine, ALateHeartbeatOfARunningMachineChangesNothing) {
  Heartbeat late = worker.heartbeat;
  late.seq = 1;
  late.fencing_token = 0;
  for (int i = 0; i < 3; ++i) scheduler->on_heartbeat(late, Scheduler::Channel::Heartbeat, now);
  EXPECT_EQ(scheduler->machine("n-1")->worker.seq, worker.heartbeat.seq);
  EXPECT_TRUE(scheduler->usable(*scheduler->machine("n-1"), now));
  send_heartbeat();
  EXPECT_EQ(worker.heartbeat.fencing_token, scheduler->machine("n-1")->worker.fencing_token);
}

// ---------------------------------------------------------------- another machine has the address now

struct ReusedAddress : RestartedMachine {
  ModelWorker other{"n-2"};

  Scheduler::HeartbeatResult send_heartbeat_of_other() {
    ++other.heartbeat.seq;
    auto result = scheduler->on_heartbeat(other.heartbeat, Scheduler::Channel::Heartbeat, now);
    other.obey(result.fencing_token, result.commands);
    return result;
  }
};

// Guards against a worker that drops every answer: it has obeyed a command with a higher token that was meant
// for the machine which had its address before.
TEST_F(ReusedAddress, TheTokenOfAMachineFollowsWhatItsWorkerShows) {
  send_heartbeat_of_other();
  send_heartbeat_of_other();
  scheduler->dispatch_done("n-1", CommandBatch{}, Outcome::Unanswered, now);
  const std::uint64_t token_of_first = scheduler->machine("n-1")->worker.fencing_token;
  ASSERT_GT(token_of_first, other.heartbeat.fencing_token);
  other.heartbeat.fencing_token = token_of_first;
  EXPECT_GE(send_heartbeat_of_other().fencing_token, token_of_first);
  send_heartbeat_of_other();
  EXPECT_TRUE(scheduler->usable(*scheduler->machine("n-2"), now));
}

// The machine was requested, and so got its token, before the launch whose copy arrives at its address.
TEST_F(ReusedAddress, ANewMachinesFirstAnswerFencesLaunchesToAllBeforeIt) {
  scheduler->machine_provisioned("n-2", "plain", "a", false, now);
  scheduler->dispatch_done("n-1", CommandBatch{}, Outcome::Unanswered, now);
  const std::uint64_t token_of_launch = scheduler->machine("n-1")->worker.fencing_token;
  scheduler->machines_deleted({"n-1"}, now);
  other.heartbeat.address = worker.heartbeat.address;
  EXPECT_GT(send_heartbeat_of_other().fencing_token, token_of_launch);
}

TEST_F(ReusedAddress, ALateHeartbeatOfTheFormerMachineTakesNoAddress) {
  Heartbeat late = worker.heartbeat;
  other.heartbeat.address = worker.heartbeat.address;
  send_heartbeat_of_other();
  scheduler->on_heartbeat(late, Scheduler::Channel::Heartbeat, now);
  EXPECT_EQ(scheduler->machine("n-2")->address, other.heartbeat.address);
  EXPECT_TRUE(scheduler->machine("n-1")->address.empty());
}

TEST_F(ReusedAddress, TheMachineThatHadTheAddressGetsNoMoreCommands) {
  scheduler->dispatch_done("n-1", CommandBatch{}, Outcome::Executed, now);
  other.heartbeat.address = worker.heartbeat.address;
  const std::uint64_t token_of_first = scheduler->machine("n-1")->worker.fencing_token;
  EXPECT_GT(send_heartbeat_of_other().fencing_token, token_of_first);
  EXPECT_TRUE(scheduler->machine("n-1")->address.empty());
  EXPECT_FALSE(scheduler->has_commands(*scheduler->machine("n-1")));
  // The cloud's list lags and still has both.
  ListedMachine listed;
  listed.name = "n-1";
  listed.type = "plain";
  listed.zone = "a";
  listed.address = other.heartbeat.address;
  scheduler->machines_listed({listed}, now);
  EXPECT_TRUE(scheduler->machine("n-1")->address.empty());
}

}  // namespace
}  // namespace corkmux

// Jobs at the limits of the protocol: 100,000 tasks, messages of 64 KiB. The tests count steps and bytes,
// never time, so the result is the same on every computer.
#include <gtest/gtest.h>

#include <functional>
#include <iterator>
#include <limits>
#include <vector>

#include "codec.h"
#include "command_queue.h"
#include "scheduler_modules.h"
#include "wire_constants.h"

namespace corkmux {
namespace {

namespace c = constants;

constexpr int kTasks = c::kMaxTasks;
/// Of a task of which a machine of plain_type() holds all.
constexpr double kTinyCpus = 1e-5;

JobSpec gang_spec(int tasks, double cpus) {
  JobSpec spec = array_spec("run-gang", "x", tasks, cpus);
  spec.kind = JobKind::Gang;
  spec.need.memory_gb = cpus;
  return spec;
}

/// An array of tasks so small that free CPUs and memory never hold them back.
JobSpec tiny_array(int tasks) {
  JobSpec spec = array_spec("run-array", "x", tasks, kTinyCpus);
  spec.need.memory_gb = kTinyCpus;
  return spec;
}

struct JobLimits : ::testing::Test {
  SchedulerModules modules;

  /// Launches that wait for their machines.
  std::size_t machine_launches() const {
    std::size_t launches = 0;
    for (const auto& [name, machine] : modules.state.machines()) launches += machine.commands.outbox.size();
    return launches;
  }

  /// Assigns all tasks to the machine, as former versions did, and sets them to running.
  Job& run_all(const JobSpec& spec, Machine& machine) {
    Job& job = modules.add_job(spec);
    for (int i = 0; i < spec.tasks; ++i) modules.lifecycle.assign(job, i, machine, 7, 0);
    for (auto& [index, task] : job.active) task.stage = ActiveTask::Stage::Running;
    return job;
  }
};

// Guards against a gang that stops all controllers: each member that is lost aborted the whole gang once
// more, so that the steps grew with the square of its tasks.
TEST_F(JobLimits, LosingAllMembersOfAGangTakesStepsThatGrowWithTheirNumber) {
  Machine& machine = modules.add_up_machine("n-1");
  Job& job = run_all(gang_spec(kTasks, kTinyCpus), machine);
  modules.lifecycle.mark_all_lost(machine, "lost its lease", 1);
  EXPECT_TRUE(job.active.empty());
  EXPECT_EQ(job.queued, kTasks);
  EXPECT_LE(modules.lifecycle.tasks_examined(), 4u * kTasks);
}

// The same where members end one by one: the first end stops the others.
TEST_F(JobLimits, TheEndsOfAGangsMembersTakeStepsThatGrowWithTheirNumber) {
  Machine& machine = modules.add_up_machine("n-1");
  Job& job = run_all(gang_spec(kTasks, kTinyCpus), machine);
  TaskStatus status{"run-gang", 0, 7, TaskState::Exited, ExitReason::PeersGone, false};
  for (; status.index < kTasks; ++status.index) modules.lifecycle.task_exited(job, status, machine, 1);
  EXPECT_TRUE(job.active.empty());
  EXPECT_LE(modules.lifecycle.tasks_examined(), 4u * kTasks);
}

TEST_F(JobLimits, TheCompletionOfAGangTakesStepsThatGrowWithItsTasks) {
  Machine& machine = modules.add_up_machine("n-1");
  Job& job = run_all(gang_spec(kTasks, kTinyCpus), machine);
  TaskStatus status{"run-gang", 0, 7, TaskState::Exited, ExitReason::Done, false};
  for (; status.index < kTasks; ++status.index) modules.lifecycle.task_exited(job, status, machine, 1);
  EXPECT_EQ(job.done, kTasks);
  EXPECT_LE(modules.lifecycle.tasks_examined(), 4u * kTasks);
}

// After a gang was aborted, a member that is placed later is stopped by the next abort.
TEST_F(JobLimits, AnAbortedGangThatIsPlacedAgainIsAbortedAgain) {
  Machine& machine = modules.add_up_machine("n-1");
  Job& job = run_all(gang_spec(2, 1), machine);
  modules.lifecycle.withdraw(job, 0, 1);
  EXPECT_TRUE(job.active.at(1).stop);
  modules.lifecycle.withdraw(job, 1, 2);
  modules.lifecycle.assign(job, 0, machine, 8, 3);
  modules.lifecycle.assign(job, 1, machine, 8, 3);
  job.active.at(1).stage = ActiveTask::Stage::Running;
  modules.lifecycle.withdraw(job, 0, 4);
  EXPECT_TRUE(job.active.at(1).stop);
}

/// What a leader has stored of a job, to be loaded by the next leader.
struct StoredRecords {
  JobSpec spec;
  std::vector<TaskRecordWrite> writes;
  void load(Scheduler& scheduler) const {
    scheduler.upsert_job(spec, 1, false, 0);
    std::uint64_t revision = 1;
    for (const TaskRecordWrite& write : writes) scheduler.load_record(write.key, write.value, ++revision);
    scheduler.records_loaded();
  }
};

// Guards against successors that stop one after the other: the records name the gang's tasks on a machine
// whose first heartbeat shows none of them.
TEST_F(JobLimits, AFirstHeartbeatWithoutTheGangCostsANewLeaderStepsThatGrowWithItsTasks) {
  Machine& machine = modules.add_up_machine("n-1");
  modules.records.use_format(RecordFormat::V2);
  const Job& job = run_all(gang_spec(kTasks, kTinyCpus), machine);
  StoredRecords stored{job.spec, {}};
  for (auto batch = modules.records.next_writes(kTasks, true, 0); !batch.empty();
       batch = modules.records.next_writes(kTasks, true, 0))
    std::move(batch.begin(), batch.end(), std::back_inserter(stored.writes));
  Scheduler next(SchedulerModules::config(), 2, 0, 1);
  next.set_catalog({plain_type({"a"})});
  stored.load(next);
  ASSERT_EQ(next.job("run-gang")->active.size(), static_cast<std::size_t>(kTasks));
  join(next, first_heartbeat("n-1"));
  EXPECT_TRUE(next.job("run-gang")->active.empty());
  EXPECT_LE(next.tasks_examined(), 4u * kTasks);
}

// Guards against a search through all buckets of free capacity for each member: every placement gives a
// machine a free capacity of its own, so the steps grew with tasks times machines.
TEST(JobLimitsInPlacement, PlacingAGangTakesStepsThatGrowWithItsTasks) {
  constexpr int kMachines = 600;
  Scheduler scheduler(SchedulerModules::config(), 1, 0, 1);
  scheduler.set_catalog({plain_type({"a"})});
  for (int i = 0; i < kMachines; ++i) join(scheduler, first_heartbeat("n-" + std::to_string(i)));
  scheduler.upsert_job(gang_spec(kTasks, 0.05), 1, false, 0);
  const std::uint64_t before = scheduler.items_examined();
  scheduler.schedule(1);
  EXPECT_EQ(scheduler.job("run-gang")->active.size(), static_cast<std::size_t>(kTasks));
  EXPECT_LE(scheduler.items_examined() - before, 4u * kTasks);
  // Each machine is given no more than it holds.
  for (const auto& [name, machine] : scheduler.machines()) EXPECT_GE(machine.free.cpus, -1e-6) << name;
}

/// The longest job id that is accepted, as one of the largest job.
std::string longest_job_id() { return "run-" + std::string(c::kMaxJobId - 4, 'x'); }

/// The longest text that PROTOCOL allows for a task in a report, as JSON.
std::size_t longest_task_report() {
  const std::string number = std::to_string(std::numeric_limits<std::uint64_t>::max());
  const std::string task = longest_job_id() + "/" + std::to_string(kTasks - 1);
  return (R"({"part":")" + task + R"(","try":)" + number +
          R"(,"phase":"ended","cause":"mates_gone","kept":false},)")
      .size();
}

constexpr std::size_t kMessageLimit = 64 * 1024;  // bytes; PROTOCOL's limit, counted as JSON
constexpr std::size_t kHeartbeatFields = 1024;    // bytes; all but the tasks, with names of 200 bytes

// Guards against a machine whose heartbeats no controller takes: its lease ends, and with it all of its
// tasks.
TEST_F(JobLimits, NoMachineIsGivenMoreTasksThanItsHeartbeatHolds) {
  EXPECT_LE(c::kMaxTasksOnMachine * longest_task_report() + kHeartbeatFields, kMessageLimit);
  Scheduler scheduler(SchedulerModules::config(), 1, 0, 1);
  scheduler.set_catalog({plain_type({"a"})});
  for (const char* name : {"n-1", "n-2"}) join(scheduler, first_heartbeat(name));
  scheduler.upsert_job(tiny_array(kTasks), 1, false, 0);
  for (int i = 0; i < 100; ++i) scheduler.schedule(0.1 * i);
  for (const auto& [name, machine] : scheduler.machines())
    EXPECT_EQ(machine.tasks.size(), static_cast<std::size_t>(c::kMaxTasksOnMachine)) << name;
}

// Tasks that have ended stay in the heartbeats until the worker has forgotten them.
TEST_F(JobLimits, EndedTasksThatTheWorkerStillReportsTakeSlots) {
  Scheduler scheduler(SchedulerModules::config(), 1, 0, 1);
  scheduler.set_catalog({plain_type({"a"})});
  join(scheduler, first_heartbeat("n-1"));
  Heartbeat heartbeat = first_heartbeat("n-1");
  heartbeat.seq = 9;
  heartbeat.fencing_token = scheduler.machine("n-1")->worker.fencing_token;
  for (int i = 0; i < 300; ++i)
    heartbeat.tasks.push_back({"run-old", i, 3, TaskState::Exited, ExitReason::Error, false});
  scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0);
  scheduler.upsert_job(tiny_array(kTasks), 1, false, 0);
  for (int i = 0; i < 100; ++i) scheduler.schedule(0.1 * i);
  EXPECT_EQ(scheduler.machine("n-1")->tasks.size(), static_cast<std::size_t>(c::kMaxTasksOnMachine - 300));
}

// A gang that no machine can report as a whole waits for as many machines as it needs, and is not refused.
TEST_F(JobLimits, AGangIsSpreadOverMachinesThatCanReportItsTasks) {
  Scheduler scheduler(SchedulerModules::config(), 1, 0, 1);
  scheduler.set_catalog({plain_type({"a"})});
  join(scheduler, first_heartbeat("n-1"));
  scheduler.upsert_job(gang_spec(1000, kTinyCpus), 1, false, 0);
  scheduler.schedule(1);
  EXPECT_TRUE(scheduler.job("run-gang")->active.empty());
  for (const char* name : {"n-2", "n-3", "n-4"}) join(scheduler, first_heartbeat(name), 1);
  scheduler.schedule(2);
  EXPECT_EQ(scheduler.job("run-gang")->active.size(), 1000u);
  for (const auto& [name, machine] : scheduler.machines())
    EXPECT_LE(machine.tasks.size(), static_cast<std::size_t>(c::kMaxTasksOnMachine)) << name;
}

// Where all slots of a machine are taken by less urgent tasks, some are stopped although it has free CPUs.
TEST_F(JobLimits, AnUrgentJobGetsASlotOfAMachineFullOfTinyTasks) {
  Scheduler scheduler(SchedulerModules::config(), 1, 0, 1);
  scheduler.set_catalog({plain_type({"a"})});
  join(scheduler, first_heartbeat("n-1"));
  JobSpec tiny = tiny_array(1000);
  tiny.priority = Priority::Low;
  scheduler.upsert_job(tiny, 1, false, 0);
  for (int i = 0; i < 10; ++i) scheduler.schedule(0.1 * i);
  scheduler.records_written(scheduler.next_writes(100, true, 1), 2, 1);
  scheduler.dispatch_done("n-1", scheduler.take_commands("n-1", 1), DispatchOutcome::Executed, 1);
  JobSpec urgent = array_spec("run-urgent", "y", 1, 1);
  urgent.priority = Priority::High;
  scheduler.upsert_job(urgent, 3, false, 2);
  scheduler.schedule(2);
  EXPECT_EQ(scheduler.machine("n-1")->stopping, 1);
}

/// The transaction by which StoreWriter stores a batch, as JSON.
std::size_t transaction_size(const std::vector<TaskRecordWrite>& batch) {
  const std::uint64_t revision = std::numeric_limits<std::uint64_t>::max();
  std::vector<codec::Condition> conditions{{"leader", revision}};
  std::vector<codec::Write> writes;
  for (const TaskRecordWrite& write : batch) {
    conditions.push_back({write.key, revision});
    conditions.push_back({"f/" + write.job, 0});
    writes.push_back({write.key, write.value, 0});
  }
  return codec::txn_to_wire(conditions, writes).dump().size();
}

// Guards against transactions that the state store refuses: twelve records of 13 KiB each are beyond 64 KiB.
TEST_F(JobLimits, RecordsAreWrittenInTransactionsOfAtMost64KiB) {
  constexpr int kMaxWrites = 12;
  modules.records.use_format(RecordFormat::V2);
  JobSpec spec = tiny_array(256 * kMaxWrites);
  spec.id = longest_job_id();
  Job& job = modules.add_job(spec);
  for (int i = 0; i < spec.tasks; ++i)
    modules.lifecycle.assign(job, i, modules.add_up_machine("n-" + std::to_string(i)), 7, 0);
  int batches = 0;
  for (auto batch = modules.records.next_writes(kMaxWrites, true, 0); !batch.empty();
       batch = modules.records.next_writes(kMaxWrites, true, 0), ++batches) {
    EXPECT_LE(transaction_size(batch), kMessageLimit);
    modules.lifecycle.records_written(batch, 5, 0);
  }
  EXPECT_GT(batches, 1);
  EXPECT_EQ(machine_launches(), static_cast<std::size_t>(spec.tasks)) << "nothing is left out";
}

struct CommandsOfFormerVersion : JobLimits {
  CommandQueue queue{modules.state, modules.lifecycle};
  Machine& machine = modules.add_up_machine("n-1");

  /// Sends command batches until none is left; returns their sizes.
  std::vector<std::size_t> send_all(const std::function<void(const CommandBatch&)>& executed) {
    std::vector<std::size_t> sizes;
    while (!queue.machines_with_commands().empty()) {
      const CommandBatch batch = queue.take("n-1", 1);
      sizes.push_back(batch.commands.size());
      queue.done("n-1", batch, DispatchOutcome::Executed, 1);
      executed(batch);
    }
    return sizes;
  }
};

const std::vector<std::size_t> kBatchesForThousandCommands{
    c::kMaxCommandsPerMessage, c::kMaxCommandsPerMessage, 1000 - 2 * c::kMaxCommandsPerMessage};

// Guards against requests that no worker takes: a former leader may have given a machine any number of tasks.
TEST_F(CommandsOfFormerVersion, LaunchesAreSentInRequestsOfAtMost64KiB) {
  JobSpec spec = tiny_array(1000);
  Job& job = modules.add_job(spec);
  for (int i = 0; i < spec.tasks; ++i) modules.lifecycle.assign(job, i, machine, 7, 0);
  modules.lifecycle.records_written(modules.records.next_writes(100, true, 0), 5, 0);
  EXPECT_EQ(send_all([](const CommandBatch&) {}), kBatchesForThousandCommands);
  for (const auto& [index, task] : job.active) EXPECT_EQ(task.stage, ActiveTask::Stage::Sent) << index;
}

TEST_F(CommandsOfFormerVersion, StopsAreSentInRequestsOfAtMost64KiB) {
  Job& job = run_all(tiny_array(1000), machine);
  modules.lifecycle.cancel(job, 1);
  auto exit_all = [&](const CommandBatch& batch) {
    for (const TaskCommand& stop : batch.commands)
      modules.lifecycle.task_exited(
          job, {stop.job, stop.index, stop.attempt, TaskState::Exited, ExitReason::Stopped, false}, machine,
          1);
  };
  EXPECT_EQ(send_all(exit_all), kBatchesForThousandCommands);
  EXPECT_TRUE(job.active.empty());
}

TEST_F(CommandsOfFormerVersion, ARepliesCommandsFitInto64KiB) {
  Scheduler scheduler(SchedulerModules::config(), 2, 0, 1);
  scheduler.set_catalog({plain_type({"a"})});
  join(scheduler, first_heartbeat("n-1"));
  Heartbeat heartbeat = first_heartbeat("n-1");
  heartbeat.seq = 9;
  heartbeat.fencing_token = scheduler.machine("n-1")->worker.fencing_token;
  for (int i = 0; i < 1000; ++i)
    heartbeat.tasks.push_back(
        {"run-old", i, 3, i % 2 ? TaskState::Exited : TaskState::Running, ExitReason::Error});
  const auto result = scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0);
  EXPECT_EQ(result.commands.size(), c::kMaxCommandsPerMessage);
}

TEST(CommandsInAMessage, TheLongestFitInto64KiB) {
  const std::uint64_t number = std::numeric_limits<std::uint64_t>::max();
  const TaskCommand stop{TaskCommand::Op::Stop, longest_job_id(), kTasks - 1, number, 123456.78901234567};
  const std::vector<TaskCommand> commands(c::kMaxCommandsPerMessage, stop);
  EXPECT_LE(codec::commands_to_wire(number, commands, number).dump().size(), kMessageLimit);
}

}  // namespace
}  // namespace corkmux

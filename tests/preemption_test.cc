// Guards against preemption cycles: work stopped for higher-priority work must not be placed again in the
// next cycle only to be stopped again.
#include <gtest/gtest.h>

#include <algorithm>

#include "scheduler_fixture.h"

namespace corkmux {
namespace {

struct PreemptionTestCluster {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  std::map<std::string, Heartbeat> machines;
  std::uint64_t revision = 100;
  std::uint64_t submitted = 0;
  int stops = 0;
  int launches = 0;
  double now = 0;

  explicit PreemptionTestCluster(std::vector<Team> teams, int count) {
    config.teams = std::move(teams);
    config.report_s = 1;
    scheduler = std::make_unique<Scheduler>(config, 1, 0, 5);
    scheduler->set_catalog({plain_type({"a"})});
    for (int i = 0; i < count; ++i) {
      Heartbeat& heartbeat = machines["n-" + std::to_string(i)];
      heartbeat = first_heartbeat("n-" + std::to_string(i));
      heartbeat.seq = 0;
    }
    settle(0);
    settle(0.1);
    now = 1;
  }
  void submit(const std::string& id, const std::string& team, Priority priority, int tasks, double cpus,
              JobKind kind = JobKind::Array) {
    JobSpec spec = array_spec(id, team, tasks, cpus);
    spec.priority = priority;
    spec.kind = kind;
    spec.checkpoint_s = 10;
    spec.save_s = 4;
    scheduler->upsert_job(spec, ++submitted, false, now);
  }
  /// Runs rounds for so long, 0.05 s apart.
  void run(double seconds) {
    for (double end = now + seconds; now < end; now += 0.05) settle(now);
  }
  std::size_t active(const std::string& id) { return scheduler->job(id)->active.size(); }
  /// Runs one round: store writes succeed, commands are executed, and tasks start and stop immediately.
  void settle(double moment) {
    scheduler->tick(moment);
    scheduler->schedule(moment);
    auto batch = scheduler->next_writes(50, true, 0);
    if (!batch.empty()) scheduler->records_written(batch, ++revision, moment);
    for (auto& [name, heartbeat] : machines) {
      if (Machine* machine = scheduler->machine(name); machine && scheduler->has_commands(*machine)) {
        auto command_batch = scheduler->take_commands(name, moment);
        heartbeat.fencing_token = std::max(heartbeat.fencing_token, command_batch.fencing_token);
        for (const auto& command : command_batch.commands) execute(heartbeat, command);
        scheduler->dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, moment);
      }
      ++heartbeat.seq;
      auto result = scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, moment);
      heartbeat.fencing_token = std::max(heartbeat.fencing_token, result.fencing_token);
      for (const auto& command : result.commands) execute(heartbeat, command);
      scheduler->heartbeat_answered(name, moment);
    }
  }
  void execute(Heartbeat& heartbeat, const TaskCommand& command) {
    auto it = std::find_if(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const TaskStatus& task) {
      return task.job == command.job && task.index == command.index;
    });
    if (command.op == TaskCommand::Op::Start) {
      heartbeat.tasks.push_back(
          {command.job, command.index, command.attempt, TaskState::Running, ExitReason::None, false});
      ++launches;
    } else if (it != heartbeat.tasks.end() && command.op == TaskCommand::Op::Stop &&
               it->state != TaskState::Exited) {
      it->state = TaskState::Exited;
      it->why = ExitReason::Stopped;
      ++stops;
    } else if (it != heartbeat.tasks.end() && command.op == TaskCommand::Op::Forget) {
      heartbeat.tasks.erase(it);
    }
  }
};

TEST(Preemption, AtTheTeamsLimitWorkIsPreemptedForItsUrgentGangOnce) {
  PreemptionTestCluster cluster({{"x", 64, 64, 0, 0}}, 8);
  cluster.submit("run-array", "x", Priority::Normal, 40, 4);
  cluster.run(2);
  EXPECT_EQ(cluster.active("run-array"), 16u);
  cluster.submit("run-gang", "x", Priority::High, 2, 15, JobKind::Gang);
  cluster.run(10);
  EXPECT_EQ(cluster.active("run-gang"), 2u);
  EXPECT_EQ(cluster.stops, 8) << "32 of 64 CPUs are freed, no more, and only once";
}

TEST(Preemption, WorkWithinAGuaranteeIsNotStoppedForWorkBeyondAnother) {
  PreemptionTestCluster cluster({{"x", 32, 0, 0, 0}, {"y", 0, 0, 0, 0}}, 2);
  cluster.submit("run-array", "x", Priority::Normal, 8, 4);
  cluster.run(2);
  cluster.submit("run-gang", "y", Priority::High, 1, 15, JobKind::Gang);
  cluster.run(5);
  EXPECT_EQ(cluster.stops, 0);
  EXPECT_EQ(cluster.active("run-array"), 8u);
}

TEST(Preemption, LowerPriorityIsPreemptedOnMachines) {
  PreemptionTestCluster cluster({{"x", 0, 0, 0, 0}, {"y", 0, 0, 0, 0}}, 2);
  cluster.submit("run-array", "x", Priority::Low, 20, 4);
  cluster.run(2);
  cluster.submit("run-gang", "y", Priority::High, 1, 15, JobKind::Gang);
  cluster.run(5);
  EXPECT_EQ(cluster.active("run-gang"), 1u);
  EXPECT_EQ(cluster.stops, 4);
  EXPECT_EQ(cluster.active("run-array"), 4u);
}

}  // namespace
}  // namespace corkmux

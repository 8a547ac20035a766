// Work that is stopped for more urgent work must not come back in the next cycle only to be stopped again.
#include <gtest/gtest.h>

#include <algorithm>

#include "scheduler.h"

namespace corkmux {
namespace {

struct PreemptionTestCluster {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  std::map<std::string, Heartbeat> machines;
  std::uint64_t revision = 100;
  int stops = 0, launches = 0;

  explicit PreemptionTestCluster(std::vector<Team> teams, int count) {
    config.teams = std::move(teams);
    config.report_s = 1;
    scheduler = std::make_unique<Scheduler>(config, 1, 0, 5);
    scheduler->set_catalog({{"plain", {16, 0, 64}, 50, 1, 1, 1, 10, {"a"}}});
    for (int i = 0; i < count; ++i) {
      Heartbeat heartbeat;
      heartbeat.machine = "n-" + std::to_string(i);
      heartbeat.address = "x";
      heartbeat.type = "plain";
      heartbeat.zone = "a";
      heartbeat.worker_epoch = 1;
      machines[heartbeat.machine] = heartbeat;
    }
    settle(0);
    settle(0.1);
  }
  JobSpec job(const std::string& id, const std::string& team, Priority priority, int tasks, double cpus,
              JobKind kind = JobKind::Array) {
    JobSpec spec;
    spec.id = id;
    spec.team = team;
    spec.priority = priority;
    spec.tasks = tasks;
    spec.kind = kind;
    spec.need = {cpus, 0, 1};
    spec.image = "i";
    spec.checkpoint_s = 10;
    spec.save_s = 4;
    return spec;
  }
  /// One round: store writes succeed, commands are executed, every task runs at once, stopped tasks exit at
  /// once.
  void settle(double now) {
    scheduler->tick(now);
    scheduler->schedule(now);
    auto batch = scheduler->next_writes(50, true, 0);
    if (!batch.empty()) scheduler->records_written(batch, ++revision, now);
    for (auto& [name, heartbeat] : machines) {
      if (Machine* machine = scheduler->machine(name); machine && scheduler->has_commands(*machine)) {
        auto command_batch = scheduler->take_commands(name, now);
        heartbeat.fencing_token = std::max(heartbeat.fencing_token, command_batch.fencing_token);
        for (const auto& command : command_batch.commands) obey(heartbeat, command);
        scheduler->dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, now);
      }
      ++heartbeat.seq;
      auto result = scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
      heartbeat.fencing_token = std::max(heartbeat.fencing_token, result.fencing_token);
      for (const auto& command : result.commands) obey(heartbeat, command);
      scheduler->heartbeat_answered(name, now);
    }
  }
  void obey(Heartbeat& heartbeat, const TaskCommand& command) {
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

TEST(Preemption, TheTeamsLimitMakesWayForItsUrgentGangOnce) {
  PreemptionTestCluster cluster({{"x", 64, 64, 0, 0}}, 8);
  cluster.scheduler->upsert_job(cluster.job("run-array", "x", Priority::Normal, 40, 4), 1, false, 1);
  double now = 1;
  for (; now < 3; now += 0.05) cluster.settle(now);
  EXPECT_EQ(cluster.scheduler->job("run-array")->active.size(), 16u);
  cluster.scheduler->upsert_job(cluster.job("run-gang", "x", Priority::High, 2, 15, JobKind::Gang), 2, false,
                                now);
  for (double end = now + 10; now < end; now += 0.05) cluster.settle(now);
  EXPECT_EQ(cluster.scheduler->job("run-gang")->active.size(), 2u);
  EXPECT_EQ(cluster.stops, 8) << "32 of 64 CPUs are needed, no more, and once only";
}

TEST(Preemption, WorkWithinAGuaranteeIsNotStoppedForWorkBeyondAnother) {
  PreemptionTestCluster cluster({{"x", 32, 0, 0, 0}, {"y", 0, 0, 0, 0}}, 2);
  cluster.scheduler->upsert_job(cluster.job("run-array", "x", Priority::Normal, 8, 4), 1, false, 1);
  double now = 1;
  for (; now < 3; now += 0.05) cluster.settle(now);
  cluster.scheduler->upsert_job(cluster.job("run-gang", "y", Priority::High, 1, 15, JobKind::Gang), 2, false,
                                now);
  for (double end = now + 5; now < end; now += 0.05) cluster.settle(now);
  EXPECT_EQ(cluster.stops, 0);
  EXPECT_EQ(cluster.scheduler->job("run-array")->active.size(), 8u);
}

TEST(Preemption, LowerPriorityMakesRoomOnMachines) {
  PreemptionTestCluster cluster({{"x", 0, 0, 0, 0}, {"y", 0, 0, 0, 0}}, 2);
  cluster.scheduler->upsert_job(cluster.job("run-array", "x", Priority::Low, 20, 4), 1, false, 1);
  double now = 1;
  for (; now < 3; now += 0.05) cluster.settle(now);
  cluster.scheduler->upsert_job(cluster.job("run-gang", "y", Priority::High, 1, 15, JobKind::Gang), 2, false,
                                now);
  for (double end = now + 5; now < end; now += 0.05) cluster.settle(now);
  EXPECT_EQ(cluster.scheduler->job("run-gang")->active.size(), 1u);
  EXPECT_EQ(cluster.stops, 4);
  EXPECT_EQ(cluster.scheduler->job("run-array")->active.size(), 4u);
}

}  // namespace
}  // namespace corkmux

// Work that is stopped for more urgent work must not come back in the next pass only to be stopped again.
#include <gtest/gtest.h>

#include <algorithm>

#include "scheduler.h"

namespace corkmux {
namespace {

struct Fleet {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  std::map<std::string, Heartbeat> machines;
  std::uint64_t revision = 100;
  int stops = 0, launches = 0;

  explicit Fleet(std::vector<Team> teams, int count) {
    config.teams = std::move(teams);
    config.report_s = 1;
    scheduler = std::make_unique<Scheduler>(config, 1, 0, 5);
    scheduler->set_catalog({{"plain", {16, 0, 64}, 50, 1, 1, 1, 10, {"a"}}});
    for (int i = 0; i < count; ++i) {
      Heartbeat r;
      r.machine = "n-" + std::to_string(i);
      r.address = "x", r.type = "plain", r.zone = "a", r.worker_epoch = 1;
      machines[r.machine] = r;
    }
    settle(0);
    settle(0.1);
  }
  JobSpec job(const std::string& id, const std::string& team, Priority priority, int tasks, double cpus,
              JobKind kind = JobKind::Array) {
    JobSpec s;
    s.id = id, s.team = team, s.priority = priority, s.tasks = tasks, s.kind = kind;
    s.need = {cpus, 0, 1}, s.image = "i", s.checkpoint_s = 10, s.save_s = 4;
    return s;
  }
  /// One round: store writes succeed, orders are executed, every task runs at once, stopped tasks exit at
  /// once.
  void settle(double now) {
    scheduler->tick(now);
    scheduler->schedule(now);
    auto batch = scheduler->next_writes(50, true, 0);
    if (!batch.empty()) scheduler->written(batch, ++revision, now);
    for (auto& [name, r] : machines) {
      if (Machine* m = scheduler->machine(name); m && scheduler->has_commands(*m)) {
        auto command_batch = scheduler->take_commands(name, now);
        r.fencing_token = std::max(r.fencing_token, command_batch.fencing_token);
        for (const auto& c : command_batch.commands) obey(r, c);
        scheduler->dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, now);
      }
      ++r.seq;
      auto result = scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, now);
      r.fencing_token = std::max(r.fencing_token, result.fencing_token);
      for (const auto& c : result.commands) obey(r, c);
      scheduler->answered(name, now);
    }
  }
  void obey(Heartbeat& r, const TaskCommand& c) {
    auto it = std::find_if(r.tasks.begin(), r.tasks.end(),
                           [&](const TaskStatus& t) { return t.job == c.job && t.index == c.index; });
    if (c.op == TaskCommand::Op::Start) {
      r.tasks.push_back({c.job, c.index, c.attempt, TaskState::Running, ExitReason::None, false});
      ++launches;
    } else if (it != r.tasks.end() && c.op == TaskCommand::Op::Stop && it->state != TaskState::Exited) {
      it->state = TaskState::Exited, it->why = ExitReason::Stopped;
      ++stops;
    } else if (it != r.tasks.end() && c.op == TaskCommand::Op::Forget) {
      r.tasks.erase(it);
    }
  }
};

TEST(Preemption, TheTeamsLimitMakesWayForItsUrgentGangOnce) {
  Fleet f({{"x", 64, 64, 0, 0}}, 8);
  f.scheduler->put_job(f.job("run-array", "x", Priority::Normal, 40, 4), 1, false, 1);
  double now = 1;
  for (; now < 3; now += 0.05) f.settle(now);
  EXPECT_EQ(f.scheduler->job("run-array")->active.size(), 16u);
  f.scheduler->put_job(f.job("run-gang", "x", Priority::High, 2, 15, JobKind::Gang), 2, false, now);
  for (double end = now + 10; now < end; now += 0.05) f.settle(now);
  EXPECT_EQ(f.scheduler->job("run-gang")->active.size(), 2u);
  EXPECT_EQ(f.stops, 8) << "32 of 64 CPUs are needed, no more, and once only";
}

TEST(Preemption, WorkWithinAGuaranteeIsNotStoppedForWorkBeyondAnother) {
  Fleet f({{"x", 32, 0, 0, 0}, {"y", 0, 0, 0, 0}}, 2);
  f.scheduler->put_job(f.job("run-array", "x", Priority::Normal, 8, 4), 1, false, 1);
  double now = 1;
  for (; now < 3; now += 0.05) f.settle(now);
  f.scheduler->put_job(f.job("run-gang", "y", Priority::High, 1, 15, JobKind::Gang), 2, false, now);
  for (double end = now + 5; now < end; now += 0.05) f.settle(now);
  EXPECT_EQ(f.stops, 0);
  EXPECT_EQ(f.scheduler->job("run-array")->active.size(), 8u);
}

TEST(Preemption, LowerPriorityMakesRoomOnMachines) {
  Fleet f({{"x", 0, 0, 0, 0}, {"y", 0, 0, 0, 0}}, 2);
  f.scheduler->put_job(f.job("run-array", "x", Priority::Low, 20, 4), 1, false, 1);
  double now = 1;
  for (; now < 3; now += 0.05) f.settle(now);
  f.scheduler->put_job(f.job("run-gang", "y", Priority::High, 1, 15, JobKind::Gang), 2, false, now);
  for (double end = now + 5; now < end; now += 0.05) f.settle(now);
  EXPECT_EQ(f.scheduler->job("run-gang")->active.size(), 1u);
  EXPECT_EQ(f.stops, 4);
  EXPECT_EQ(f.scheduler->job("run-array")->active.size(), 4u);
}

}  // namespace
}  // namespace corkmux

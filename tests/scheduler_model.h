// A simple model of the cluster around the scheduler, for tests that run it for minutes of simulated time.
// Machines may be faulty and jobs broken; a task runs for a fixed time and fails if either is. Heartbeats and
// commands are exchanged once a second.
#pragma once
#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "scheduler_fixture.h"

namespace corkmux {

struct Model {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  struct Host {
    Heartbeat heartbeat;
    bool faulty = false;
    std::map<std::pair<std::string, int>, double> ends;
  };
  std::map<std::string, Host> hosts;
  std::map<std::string, double> broken;  // by job: when its user cancels it
  std::set<std::string> misjudged_jobs;  // good jobs that counted as failing
  std::mt19937 rng;
  std::uint64_t revision = 100;
  int starts = 0;
  int broken_job_starts = 0;
  int good_jobs = 0;
  double run_s = 10;
  std::map<std::string, int> submitted;  // jobs, by class
  std::map<std::string, int> ended;      // jobs that were done, by class

  Model(unsigned seed, double faulty) : rng(seed) {
    config.teams = {{"x", 0, 0, 0, 0}};
    config.zones = {"a"};
    config.report_s = 1;
    scheduler = std::make_unique<Scheduler>(config, 1, 0, seed);
    scheduler->set_catalog({{"plain", {32, 0, 128}, 60, 1, 1, 1, 10, {"a"}}});
    for (int i = 0; i < 100; ++i) {
      Heartbeat heartbeat = first_heartbeat("n-" + std::to_string(100 + i));
      heartbeat.seq = 0;
      hosts[heartbeat.machine] = {heartbeat, std::uniform_real_distribution<double>(0, 1)(rng) < faulty, {}};
    }
  }
  /// Submits a random job; `broken_share` of the jobs fail on every machine.
  void submit_random(double now, double broken_share) {
    JobSpec spec;
    spec.id = "run-" + std::to_string(++revision);
    spec.team = "x";
    spec.job_class = "k";
    spec.image = "i";
    spec.kind = rng() % 3 ? JobKind::Array : JobKind::Gang;
    spec.tasks =
        spec.kind == JobKind::Gang ? 1 + static_cast<int>(rng() % 16) : 1 + static_cast<int>(rng() % 40);
    spec.need = {4, 0, 8};
    spec.estimate_s = 10;
    if (std::uniform_real_distribution<double>(0, 1)(rng) < broken_share)
      broken[spec.id] = now + 100;
    else
      ++good_jobs;
    submit(spec, now);
  }
  void submit(const JobSpec& spec, double now) {
    scheduler->upsert_job(spec, revision, false, now);
    ++submitted[spec.job_class];
  }
  void execute(Host& host, const TaskCommand& command, double now) {
    auto it = std::find_if(
        host.heartbeat.tasks.begin(), host.heartbeat.tasks.end(),
        [&](const TaskStatus& task) { return task.job == command.job && task.index == command.index; });
    if (command.op == TaskCommand::Op::Start) {
      ++starts;
      broken_job_starts += broken.contains(command.job);
      host.heartbeat.tasks.push_back(
          {command.job, command.index, command.attempt, TaskState::Running, ExitReason::None, false});
      bool fails = host.faulty || broken.contains(command.job);
      host.ends[{command.job, command.index}] = now + (fails ? 2 : run_s);
    } else if (it != host.heartbeat.tasks.end() && command.op == TaskCommand::Op::Stop) {
      if (it->state == TaskState::Exited) return;
      it->state = TaskState::Exited;
      it->why = ExitReason::Stopped;
    } else if (it != host.heartbeat.tasks.end() && command.op == TaskCommand::Op::Forget) {
      host.ends.erase({command.job, command.index});
      host.heartbeat.tasks.erase(it);
    }
  }
  void step(double now) {
    for (auto& [id, at] : broken)
      if (Job* job = scheduler->job(id); job && now >= at && !job->cancelled)
        scheduler->upsert_job(JobSpec(job->spec), ++revision, true, now);
    scheduler->tick(now);
    scheduler->schedule(now);
    for (auto batch = scheduler->next_writes(50, true, now); !batch.empty();
         batch = scheduler->next_writes(50, true, now))
      scheduler->records_written(batch, ++revision, now);
    for (const auto& id : scheduler->finished_jobs()) {
      const Job& job = *scheduler->job(id);
      ended[job.spec.job_class] += !job.cancelled;
      scheduler->forget_job(id);
    }
    std::vector<std::string> returned;
    for (const auto& name : scheduler->decommissioning()) returned.push_back(name);
    scheduler->machines_deleted(returned, now);
    for (auto& [name, host] : hosts) {
      Machine* machine = scheduler->machine(name);
      if (now > 1 && !machine) continue;
      for (auto& task : host.heartbeat.tasks) {
        auto end = host.ends.find({task.job, task.index});
        if (task.state != TaskState::Running || end == host.ends.end() || now < end->second) continue;
        task.state = TaskState::Exited;
        task.why = host.faulty || broken.contains(task.job) ? ExitReason::Error : ExitReason::Done;
      }
      if (machine && scheduler->has_commands(*machine)) {
        auto command_batch = scheduler->take_commands(name, now);
        host.heartbeat.fencing_token = std::max(host.heartbeat.fencing_token, command_batch.fencing_token);
        for (const auto& command : command_batch.commands) execute(host, command, now);
        scheduler->dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, now);
      }
      ++host.heartbeat.seq;
      auto result = scheduler->on_heartbeat(host.heartbeat, Scheduler::Channel::Heartbeat, now);
      host.heartbeat.fencing_token = std::max(host.heartbeat.fencing_token, result.fencing_token);
      for (const auto& command : result.commands) execute(host, command, now);
      scheduler->heartbeat_answered(name, now);
    }
    for (const auto& [id, job] : scheduler->jobs())
      if (job.fails_by_itself && !broken.contains(id)) misjudged_jobs.insert(id);
  }
  int returned_machines(bool faulty) const {
    int count = 0;
    for (const auto& [name, host] : hosts)
      count += host.faulty == faulty && !const_cast<Scheduler&>(*scheduler).machine(name);
    return count;
  }
  /// For 500 s, submits three times as many urgent tasks as the machines can run, and some low-priority ones.
  void run_overload() {
    run_s = 40;
    auto job = [&](const char* job_class, Priority priority, int tasks) {
      JobSpec spec;
      spec.id = "run-" + std::to_string(++revision);
      spec.team = "x";
      spec.job_class = job_class;
      spec.image = "i";
      spec.priority = priority;
      spec.tasks = tasks;
      spec.need = {15, 0, 8};
      spec.estimate_s = 40;
      return spec;
    };
    for (double now = 0; now < 700; ++now) {
      if (now > 2 && now < 500) {
        for (int i = 0; i < 3; ++i) submit(job("hot", Priority::High, 5), now);
        if (static_cast<int>(now) % 10 == 0) submit(job("slow", Priority::Low, 4), now);
      }
      step(now);
    }
  }
  /// Submits random jobs, one every two seconds on average.
  void run(double broken_share) {
    for (double now = 0; now < 400; ++now) {
      if (now > 2 && now < 300 && rng() % 2) submit_random(now, broken_share);
      step(now);
    }
  }
};

}  // namespace corkmux

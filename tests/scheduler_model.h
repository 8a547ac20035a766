// A plain model of what is around the book, for tests that play it for minutes: machines are faulty or not,
// jobs are broken or not, and a task runs for a while and ends as these say. Reports and orders once a
// second.
#pragma once
#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "scheduler.h"

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
  std::map<std::string, double> broken;  // job -> when its user cancels it
  std::set<std::string> held_bad;        // good jobs that were
  std::mt19937 rng;
  std::uint64_t revision = 100;
  int starts = 0, of_broken = 0, good = 0;
  double run_s = 10;
  std::map<std::string, int> came, ended;  // jobs of a class

  Model(unsigned seed, double faulty) : rng(seed) {
    config.teams = {{"x", 0, 0, 0, 0}};
    config.zones = {"a"};
    config.report_s = 1;
    scheduler = std::make_unique<Scheduler>(config, 1, 0, seed);
    scheduler->set_catalog({{"plain", {32, 0, 128}, 60, 1, 1, 1, 10, {"a"}}});
    for (int i = 0; i < 100; ++i) {
      Heartbeat r;
      r.machine = "n-" + std::to_string(100 + i), r.address = "x", r.type = "plain", r.zone = "a";
      r.worker_epoch = 1;
      hosts[r.machine] = {r, std::uniform_real_distribution<double>(0, 1)(rng) < faulty, {}};
    }
  }
  /// A drawn job; `broken_share` of them fail wherever they start.
  void submit_any(double now, double broken_share) {
    JobSpec s;
    s.id = "run-" + std::to_string(++revision), s.team = "x", s.job_class = "k", s.image = "i";
    s.kind = rng() % 3 ? JobKind::Array : JobKind::Gang;
    s.tasks = s.kind == JobKind::Gang ? 1 + static_cast<int>(rng() % 16) : 1 + static_cast<int>(rng() % 40);
    s.need = {4, 0, 8}, s.estimate_s = 10;
    if (std::uniform_real_distribution<double>(0, 1)(rng) < broken_share)
      broken[s.id] = now + 100;
    else
      ++good;
    put(s, now);
  }
  void put(const JobSpec& s, double now) {
    scheduler->put_job(s, revision, false, now);
    ++came[s.job_class];
  }
  void obey(Host& h, const TaskCommand& c, double now) {
    auto it = std::find_if(h.heartbeat.tasks.begin(), h.heartbeat.tasks.end(),
                           [&](const TaskStatus& t) { return t.job == c.job && t.index == c.index; });
    if (c.op == TaskCommand::Op::Start) {
      ++starts;
      of_broken += broken.count(c.job) > 0;
      h.heartbeat.tasks.push_back({c.job, c.index, c.attempt, TaskState::Running, ExitReason::None, false});
      bool fails = h.faulty || broken.count(c.job);
      h.ends[{c.job, c.index}] = now + (fails ? 2 : run_s);
    } else if (it != h.heartbeat.tasks.end() && c.op == TaskCommand::Op::Stop) {
      if (it->state != TaskState::Exited) it->state = TaskState::Exited, it->why = ExitReason::Stopped;
    } else if (it != h.heartbeat.tasks.end() && c.op == TaskCommand::Op::Forget) {
      h.ends.erase({c.job, c.index});
      h.heartbeat.tasks.erase(it);
    }
  }
  void round(double now) {
    for (auto& [id, at] : broken)
      if (Job* job = scheduler->job(id); job && now >= at && !job->cancelled)
        scheduler->put_job(JobSpec(job->spec), ++revision, true, now);
    scheduler->tick(now);
    scheduler->schedule(now);
    for (auto batch = scheduler->next_writes(50, true, now); !batch.empty();
         batch = scheduler->next_writes(50, true, now))
      scheduler->written(batch, ++revision, now);
    for (const auto& id : scheduler->finished_jobs()) {
      const Job& job = *scheduler->job(id);
      ended[job.spec.job_class] += !job.cancelled;
      scheduler->forget_job(id);
    }
    std::vector<std::string> returned;
    for (const auto& name : scheduler->decommissioning()) returned.push_back(name);
    scheduler->deleted(returned, now);
    for (auto& [name, h] : hosts) {
      Machine* m = scheduler->machine(name);
      if (now > 1 && !m) continue;
      for (auto& t : h.heartbeat.tasks)
        if (auto e = h.ends.find({t.job, t.index});
            t.state == TaskState::Running && e != h.ends.end() && now >= e->second)
          t.state = TaskState::Exited,
          t.why = h.faulty || broken.count(t.job) ? ExitReason::Error : ExitReason::Done;
      if (m && scheduler->has_commands(*m)) {
        auto command_batch = scheduler->take_commands(name, now);
        h.heartbeat.fencing_token = std::max(h.heartbeat.fencing_token, command_batch.fencing_token);
        for (const auto& c : command_batch.commands) obey(h, c, now);
        scheduler->dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, now);
      }
      ++h.heartbeat.seq;
      auto result = scheduler->on_heartbeat(h.heartbeat, Scheduler::Channel::Heartbeat, now);
      h.heartbeat.fencing_token = std::max(h.heartbeat.fencing_token, result.fencing_token);
      for (const auto& c : result.commands) obey(h, c, now);
      scheduler->answered(name, now);
    }
    for (const auto& [id, job] : scheduler->jobs())
      if (job.bad && !broken.count(id)) held_bad.insert(id);
  }
  int lost(bool faulty) const {
    int n = 0;
    for (const auto& [name, h] : hosts)
      n += h.faulty == faulty && !const_cast<Scheduler&>(*scheduler).machine(name);
    return n;
  }
  /// Three times as much urgent work as the machines hold for 500 s, and beside it some that is not urgent.
  void flood() {
    run_s = 40;
    auto job = [&](const char* job_class, Priority priority, int tasks) {
      JobSpec s;
      s.id = "run-" + std::to_string(++revision), s.team = "x", s.job_class = job_class, s.image = "i";
      s.priority = priority, s.tasks = tasks, s.need = {15, 0, 8}, s.estimate_s = 40;
      return s;
    };
    for (double now = 0; now < 700; ++now) {
      if (now > 2 && now < 500) {
        for (int i = 0; i < 3; ++i) put(job("hot", Priority::High, 5), now);
        if (static_cast<int>(now) % 10 == 0) put(job("slow", Priority::Low, 4), now);
      }
      round(now);
    }
  }
  /// Drawn jobs, one in two seconds.
  void play(double share) {
    for (double now = 0; now < 400; ++now) {
      if (now > 2 && now < 300 && rng() % 2) submit_any(now, share);
      round(now);
    }
  }
};

}  // namespace corkmux

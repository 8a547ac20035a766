// A plain model of what is around the book, for tests that play it for minutes: machines are faulty or not,
// jobs are broken or not, and a task runs for a while and ends as these say. Reports and orders once a
// second.
#pragma once
#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "cluster.h"

namespace corkmux {

struct Model {
  ClusterConfig config;
  std::unique_ptr<Cluster> cluster;
  struct Host {
    Report report;
    bool faulty = false;
    std::map<std::pair<std::string, int>, double> ends;
  };
  std::map<std::string, Host> hosts;
  std::map<std::string, double> broken;  // job -> when its user cancels it
  std::set<std::string> held_bad;        // good jobs that were
  std::mt19937 rng;
  std::uint64_t stamp = 100;
  int starts = 0, of_broken = 0, good = 0;
  double run_s = 10;
  std::map<std::string, int> came, ended;  // jobs of a class

  Model(unsigned seed, double faulty) : rng(seed) {
    config.teams = {{"x", 0, 0, 0, 0}};
    config.zones = {"a"};
    config.report_s = 1;
    cluster = std::make_unique<Cluster>(config, 1, 0, seed);
    cluster->set_catalog({{"plain", {32, 0, 128}, 60, 1, 1, 1, 10, {"a"}}});
    for (int i = 0; i < 100; ++i) {
      Report r;
      r.machine = "n-" + std::to_string(100 + i), r.address = "x", r.type = "plain", r.zone = "a";
      r.session = 1;
      hosts[r.machine] = {r, std::uniform_real_distribution<double>(0, 1)(rng) < faulty, {}};
    }
  }
  /// A drawn job; `broken_share` of them fail wherever they start.
  void submit_any(double now, double broken_share) {
    JobSpec s;
    s.id = "run-" + std::to_string(++stamp), s.team = "x", s.job_class = "k", s.image = "i";
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
    cluster->put_job(s, stamp, false, now);
    ++came[s.job_class];
  }
  void obey(Host& h, const Command& c, double now) {
    auto it = std::find_if(h.report.tasks.begin(), h.report.tasks.end(),
                           [&](const TaskReport& t) { return t.job == c.job && t.index == c.index; });
    if (c.op == Command::Op::Start) {
      ++starts;
      of_broken += broken.count(c.job) > 0;
      h.report.tasks.push_back(
          {c.job, c.index, c.attempt, TaskReportState::Running, ExitReason::None, false});
      bool fails = h.faulty || broken.count(c.job);
      h.ends[{c.job, c.index}] = now + (fails ? 2 : run_s);
    } else if (it != h.report.tasks.end() && c.op == Command::Op::Stop) {
      if (it->state != TaskReportState::Exited)
        it->state = TaskReportState::Exited, it->why = ExitReason::Stopped;
    } else if (it != h.report.tasks.end() && c.op == Command::Op::Forget) {
      h.ends.erase({c.job, c.index});
      h.report.tasks.erase(it);
    }
  }
  void round(double now) {
    for (auto& [id, at] : broken)
      if (Job* job = cluster->job(id); job && now >= at && !job->cancelled)
        cluster->put_job(JobSpec(job->spec), ++stamp, true, now);
    cluster->tick(now);
    cluster->plan(now);
    for (auto batch = cluster->next_writes(50, true, now); !batch.empty();
         batch = cluster->next_writes(50, true, now))
      cluster->written(batch, ++stamp, now);
    for (const auto& id : cluster->finished_jobs()) {
      const Job& job = *cluster->job(id);
      ended[job.spec.job_class] += !job.cancelled;
      cluster->forget_job(id);
    }
    std::vector<std::string> returned;
    for (const auto& name : cluster->doomed()) returned.push_back(name);
    cluster->deleted(returned, now);
    for (auto& [name, h] : hosts) {
      Machine* m = cluster->machine(name);
      if (now > 1 && !m) continue;
      for (auto& t : h.report.tasks)
        if (auto e = h.ends.find({t.job, t.index});
            t.state == TaskReportState::Running && e != h.ends.end() && now >= e->second)
          t.state = TaskReportState::Exited,
          t.why = h.faulty || broken.count(t.job) ? ExitReason::Error : ExitReason::Done;
      if (m && cluster->has_orders(*m)) {
        auto orders = cluster->take_orders(name, now);
        h.report.token = std::max(h.report.token, orders.token);
        for (const auto& c : orders.commands) obey(h, c, now);
        cluster->orders_done(name, orders, Cluster::OrdersOutcome::Executed, now);
      }
      ++h.report.seq;
      auto result = cluster->on_report(h.report, Cluster::Channel::Report, now);
      h.report.token = std::max(h.report.token, result.token);
      for (const auto& c : result.commands) obey(h, c, now);
      cluster->answered(name, now);
    }
    for (const auto& [id, job] : cluster->jobs())
      if (job.bad && !broken.count(id)) held_bad.insert(id);
  }
  int lost(bool faulty) const {
    int n = 0;
    for (const auto& [name, h] : hosts)
      n += h.faulty == faulty && !const_cast<Cluster&>(*cluster).machine(name);
    return n;
  }
  /// Three times as much urgent work as the machines hold for 500 s, and beside it some that is not urgent.
  void flood() {
    run_s = 40;
    auto job = [&](const char* job_class, Priority priority, int tasks) {
      JobSpec s;
      s.id = "run-" + std::to_string(++stamp), s.team = "x", s.job_class = job_class, s.image = "i";
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

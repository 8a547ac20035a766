// The scheduler on fleets of three sizes, full of work: what one cycle, heartbeat, load and batch of writes
// takes.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "scheduler.h"

namespace corkmux {
namespace {

using Writes = std::vector<TaskRecordWrite>;

std::unique_ptr<Scheduler> empty_scheduler() {
  SchedulerConfig config;
  config.zones = {"a", "b", "c"};
  config.teams = {{"x", 1000, 0, 0, 0}, {"y", 0, 0, 0, 0}};
  auto scheduler = std::make_unique<Scheduler>(config, 1, 0, 5);
  scheduler->set_catalog({{"plain", {32, 0, 128}, 60, 0.5, 2, 1, 15, {"a", "b", "c"}},
                          {"gpu", {32, 4, 128}, 150, 1, 14, 4, 60, {"a", "b", "c"}}});
  scheduler->use_v2_records();
  return scheduler;
}

struct Site {
  std::unique_ptr<Scheduler> scheduler = empty_scheduler();
  std::vector<Heartbeat> workers;
  std::vector<JobSpec> jobs;
  Writes stored;
  std::uint64_t revision = 0;
  double now = 0;

  explicit Site(int machines) {
    for (int i = 0; i < machines; ++i) {
      Heartbeat r;
      r.machine = "n-" + std::to_string(i), r.address = "x", r.type = i % 5 < 3 ? "plain" : "gpu";
      r.zone = std::string(1, static_cast<char>('a' + i % 3)), r.worker_epoch = 1, r.seq = 1;
      r.fencing_token = scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, 0).fencing_token, r.seq = 2;
      scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, 0);
      workers.push_back(r);
    }
    // Jobs of 200 tasks, two tasks on each machine and a rest of room on some.
    for (int left = 2 * machines; left > 0; left -= 200)
      add(JobKind::Array, Priority::Normal, std::min(left, 200), {15, 0, 51});
    for (std::size_t before = 1, after = 0; before != after; after = started()) {
      before = after;
      scheduler->schedule(now);
      store(true);
    }
    for (const auto& [id, job] : scheduler->jobs()) jobs.push_back(job.spec);
    for (const auto& name : scheduler->machines_with_commands()) {
      auto command_batch = scheduler->take_commands(name, now);
      scheduler->dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, now);
    }
  }
  std::string add(JobKind kind, Priority priority, int tasks, Resources need) {
    JobSpec s;
    s.id = "run-" + std::to_string(++revision), s.team = "x", s.kind = kind, s.priority = priority;
    s.tasks = tasks, s.need = need, s.one_zone = kind == JobKind::Gang;
    s.image = "i" + std::to_string(revision % 20), s.image_gb = 3;
    scheduler->upsert_job(s, revision, false, now);
    return s.id;
  }
  void store(bool keep) {
    for (;;) {
      auto batch = scheduler->next_writes(12, true, 0.0);
      if (batch.empty()) return;
      scheduler->records_written(batch, ++revision, now);
      if (keep) stored.insert(stored.end(), batch.begin(), batch.end());
    }
  }
  std::size_t started() const {
    std::size_t n = 0;
    for (const auto& [id, job] : scheduler->jobs()) n += job.active.size();
    return n;
  }
};

Site& site(int machines) {
  static std::map<int, std::unique_ptr<Site>> sites;
  auto& s = sites[machines];
  if (!s) s = std::make_unique<Site>(machines);
  return *s;
}

/// Forty gangs wait and nothing has room for any of them.
void PassOverAWaitingQueue(benchmark::State& state) {
  Site& s = site(static_cast<int>(state.range(0)));
  std::vector<std::string> queue;
  for (int i = 0; i < 40; ++i)
    queue.push_back(s.add(JobKind::Gang, Priority::Normal, 1 + i % 16, {15, 0, 51}));
  for (auto _ : state) s.scheduler->schedule(s.now);
  for (const auto& id : queue) s.scheduler->forget_job(id);
}

/// One job of eight tasks comes, finds the little room that there is, and goes again.
void PassThatPlacesEight(benchmark::State& state) {
  Site& s = site(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    auto id = s.add(JobKind::Array, Priority::Normal, 8, {1, 0, 1});
    s.scheduler->schedule(s.now);
    if (s.scheduler->job(id)->active.size() != 8) state.SkipWithError("not placed");
    s.scheduler->forget_job(id);
  }
}

void OneReport(benchmark::State& state) {
  Site& s = site(static_cast<int>(state.range(0)));
  std::size_t i = 0;
  for (auto _ : state) {
    Heartbeat& r = s.workers[i++ % s.workers.size()];
    ++r.seq;
    benchmark::DoNotOptimize(s.scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, s.now));
  }
}

/// All jobs and records of a full fleet, as a new leader reads them.
void Load(benchmark::State& state) {
  Site& s = site(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    auto fresh = empty_scheduler();
    std::uint64_t revision = 0;
    for (const auto& spec : s.jobs) fresh->upsert_job(spec, ++revision, false, 0, 100);
    for (const auto& w : s.stored) fresh->load_record(w.key, w.value, 1);
    fresh->records_loaded();
    benchmark::DoNotOptimize(fresh->jobs().size());
  }
}

/// The records of a job that was just placed on eight machines.
void WriteBatch(benchmark::State& state) {
  Site& s = site(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    state.PauseTiming();
    auto id = s.add(JobKind::Array, Priority::Normal, 8, {1, 0, 1});
    s.scheduler->schedule(s.now);
    state.ResumeTiming();
    s.store(false);
    state.PauseTiming();
    s.scheduler->forget_job(id);
    state.ResumeTiming();
  }
}

#define AT_ALL_SIZES(name) BENCHMARK(name)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMicrosecond)
AT_ALL_SIZES(PassOverAWaitingQueue);
AT_ALL_SIZES(PassThatPlacesEight);
AT_ALL_SIZES(OneReport);
AT_ALL_SIZES(Load);
AT_ALL_SIZES(WriteBatch);

}  // namespace
}  // namespace corkmux

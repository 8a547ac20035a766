// Benchmarks of the scheduler on fully loaded fleets of three sizes: the time of one scheduling cycle,
// heartbeat, load and batch of writes.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <map>
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

/// A fully loaded fleet.
struct Fleet {
  std::unique_ptr<Scheduler> scheduler = empty_scheduler();
  std::vector<Heartbeat> workers;
  std::vector<JobSpec> jobs;
  Writes stored;
  std::uint64_t revision = 0;
  double now = 0;

  explicit Fleet(int machines) {
    for (int i = 0; i < machines; ++i) boot(i);
    // Jobs of 200 tasks, two tasks on each machine, with a remainder of free capacity on some machines.
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
    JobSpec spec;
    ++revision;
    spec.id = "run-" + std::to_string(revision);
    spec.team = "x";
    spec.kind = kind;
    spec.priority = priority;
    spec.tasks = tasks;
    spec.need = need;
    spec.one_zone = kind == JobKind::Gang;
    spec.image = "i" + std::to_string(revision % 20);
    spec.image_gb = 3;
    scheduler->upsert_job(spec, revision, false, now);
    return spec.id;
  }
  void store(bool keep) {
    for (;;) {
      auto batch = scheduler->next_writes(12, true, 0.0);
      if (batch.empty()) return;
      scheduler->records_written(batch, ++revision, now);
      if (keep) stored.insert(stored.end(), batch.begin(), batch.end());
    }
  }

 private:
  void boot(int number) {
    Heartbeat heartbeat;
    heartbeat.machine = "n-" + std::to_string(number);
    heartbeat.address = "x";
    heartbeat.type = number % 5 < 3 ? "plain" : "gpu";
    heartbeat.zone = std::string(1, static_cast<char>('a' + number % 3));
    heartbeat.worker_epoch = 1;
    heartbeat.seq = 1;
    auto reply = scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0);
    heartbeat.fencing_token = reply.fencing_token;
    heartbeat.seq = 2;
    scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0);
    workers.push_back(heartbeat);
  }
  std::size_t started() const {
    std::size_t tasks = 0;
    for (const auto& [id, job] : scheduler->jobs()) tasks += job.active.size();
    return tasks;
  }
};

/// The fleet of the size that the benchmark requests. Each is made once, because that takes longer than most
/// benchmarks.
Fleet& fleet_of(const benchmark::State& state) {
  static std::map<int, std::unique_ptr<Fleet>> fleets;
  int machines = static_cast<int>(state.range(0));
  auto& fleet = fleets[machines];
  if (!fleet) fleet = std::make_unique<Fleet>(machines);
  return *fleet;
}

/// Forty gangs wait, and no machine has free capacity for any of them.
void schedule_blocked_queue(benchmark::State& state) {
  Fleet& fleet = fleet_of(state);
  std::vector<std::string> queue;
  for (int i = 0; i < 40; ++i)
    queue.push_back(fleet.add(JobKind::Gang, Priority::Normal, 1 + i % 16, {15, 0, 51}));
  for (auto _ : state) fleet.scheduler->schedule(fleet.now);
  for (const auto& id : queue) fleet.scheduler->forget_job(id);
}

/// One job of eight tasks arrives, is placed in the little free capacity, and is removed again.
void schedule_eight_tasks(benchmark::State& state) {
  Fleet& fleet = fleet_of(state);
  for (auto _ : state) {
    auto id = fleet.add(JobKind::Array, Priority::Normal, 8, {1, 0, 1});
    fleet.scheduler->schedule(fleet.now);
    if (fleet.scheduler->job(id)->active.size() != 8) state.SkipWithError("not placed");
    fleet.scheduler->forget_job(id);
  }
}

void one_heartbeat(benchmark::State& state) {
  Fleet& fleet = fleet_of(state);
  std::size_t next = 0;
  for (auto _ : state) {
    Heartbeat& heartbeat = fleet.workers[next++ % fleet.workers.size()];
    ++heartbeat.seq;
    benchmark::DoNotOptimize(
        fleet.scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, fleet.now));
  }
}

/// Loads all jobs and records of a full fleet, as a new leader does.
void load(benchmark::State& state) {
  Fleet& fleet = fleet_of(state);
  for (auto _ : state) {
    auto fresh = empty_scheduler();
    std::uint64_t revision = 0;
    for (const auto& spec : fleet.jobs) fresh->upsert_job(spec, ++revision, false, 0, 100);
    for (const auto& write : fleet.stored) fresh->load_record(write.key, write.value, 1);
    fresh->records_loaded();
    benchmark::DoNotOptimize(fresh->jobs().size());
  }
}

/// Writes the records of a job that was just placed on eight machines.
void write_batch(benchmark::State& state) {
  Fleet& fleet = fleet_of(state);
  for (auto _ : state) {
    state.PauseTiming();
    auto id = fleet.add(JobKind::Array, Priority::Normal, 8, {1, 0, 1});
    fleet.scheduler->schedule(fleet.now);
    state.ResumeTiming();
    fleet.store(false);
    state.PauseTiming();
    fleet.scheduler->forget_job(id);
    state.ResumeTiming();
  }
}

/// The printed names are the same as in earlier versions, so that the output of benchmarks/against can be
/// compared.
void at_all_sizes(benchmark::internal::Benchmark* benchmark, const char* name) {
  benchmark->Name(name)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMicrosecond);
}
BENCHMARK(schedule_blocked_queue)->Apply([](auto* one) { at_all_sizes(one, "PassOverAWaitingQueue"); });
BENCHMARK(schedule_eight_tasks)->Apply([](auto* one) { at_all_sizes(one, "PassThatPlacesEight"); });
BENCHMARK(one_heartbeat)->Apply([](auto* one) { at_all_sizes(one, "OneReport"); });
BENCHMARK(load)->Apply([](auto* one) { at_all_sizes(one, "Load"); });
BENCHMARK(write_batch)->Apply([](auto* one) { at_all_sizes(one, "WriteBatch"); });

}  // namespace
}  // namespace corkmux

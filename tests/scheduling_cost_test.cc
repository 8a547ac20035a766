// Scheduling cost on a large cluster: 600 machines and more, thousands of tasks. The tests count work
// (machines and tasks examined), never time, so the result is the same on every computer.
#include <gtest/gtest.h>

#include <iostream>

#include "scheduler.h"

namespace corkmux {
namespace {

struct LargeCluster {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  int machines;
  std::uint64_t revision = 0;
  explicit LargeCluster(int n) : machines(n) {
    config.zones = {"a", "b"};
    config.teams = {{"x", 1000, 0, 0, 0}, {"y", 0, 0, 0, 0}};
    scheduler = std::make_unique<Scheduler>(config, 1, 0, 5);
    scheduler->set_catalog({{"plain", {32, 0, 128}, 60, 0.5, 2, 1, 15, {"a", "b"}},
                            {"gpu", {32, 4, 128}, 150, 1, 14, 4, 60, {"a", "b"}}});
    for (int i = 0; i < n; ++i) {
      Heartbeat heartbeat;
      heartbeat.machine = "n-" + std::to_string(i);
      heartbeat.address = "address-of-" + heartbeat.machine;
      heartbeat.type = i % 5 < 3 ? "plain" : "gpu";
      heartbeat.zone = i % 2 ? "a" : "b";
      heartbeat.worker_epoch = 1;
      heartbeat.seq = 1;
      heartbeat.fencing_token =
          scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0).fencing_token;
      heartbeat.seq = 2;
      scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0);
    }
  }
  void add(JobKind kind, Priority priority, int tasks, double gpus, Resources need = {15, 0, 51}) {
    JobSpec spec;
    spec.id = "run-" + std::to_string(++revision);
    spec.team = gpus > 0 ? "y" : "x";
    spec.kind = kind;
    spec.priority = priority;
    spec.tasks = tasks;
    spec.need = gpus > 0 ? Resources{6, gpus, 24} : need;
    spec.one_zone = kind == JobKind::Gang;
    spec.image = "i" + std::to_string(revision % 20);
    spec.image_gb = 3;
    scheduler->upsert_job(spec, revision, false, 0);
  }
  /// Runs one scheduling cycle and returns how many items it examined.
  std::uint64_t run_cycle(double now) {
    auto before = scheduler->items_examined();
    scheduler->schedule(now);
    for (;;) {
      auto batch = scheduler->next_writes(12, true, 0);
      if (batch.empty()) break;
      scheduler->records_written(batch, ++revision, now);
    }
    return scheduler->items_examined() - before;
  }
  std::size_t started() const {
    std::size_t n = 0;
    for (const auto& [id, job] : scheduler->jobs()) n += job.active.size();
    return n;
  }
};

// Guards against scheduling cycles that examine every machine for every waiting job: on a full cluster with a
// long queue that kept the leader busy for 400 ms at a time.
TEST(Scale, ACycleOnAFullClusterWithALongQueueExaminesEachMachineAboutOnce) {
  LargeCluster cluster(600);
  for (int i = 0; i < 400; ++i) cluster.add(JobKind::Gang, Priority::High, 1 + i % 16, 0);
  for (int i = 0; i < 60; ++i) cluster.run_cycle(0.1 * i);
  EXPECT_GT(cluster.started(), 1000u);
  std::size_t waiting = 0;
  for (const auto& [id, job] : cluster.scheduler->jobs()) waiting += job.queued > 0;
  ASSERT_GT(waiting, 100u);
  // All machines are examined once for each gang size that does not fit, suspect machines included.
  EXPECT_LE(cluster.run_cycle(7), 600u * 2 * 16);
}

// Guards against decisions that examine the whole fleet: the same queue is scheduled on clusters of three
// sizes, half in use by work of four shapes, a third of which has lower priority than some of the queue. The
// number of items that a cycle examines must not grow with the cluster, whether it places work, finds no
// capacity or stops work.
TEST(Scale, ACycleOverTheSameQueueExaminesNoMoreOnALargerCluster) {
  std::map<int, std::uint64_t> placing, stopping, waiting;
  for (int n : {1000, 5000, 20000}) {
    LargeCluster cluster(n);
    double now = 0;
    auto run = [&] {
      for (const auto& name : cluster.scheduler->machines_with_commands()) {
        auto command_batch = cluster.scheduler->take_commands(name, now);
        cluster.scheduler->dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, now);
      }
    };
    cluster.add(JobKind::Array, Priority::Low, n / 3, 0);
    cluster.add(JobKind::Array, Priority::Normal, n / 6, 0, {4, 0, 10});
    cluster.add(JobKind::Array, Priority::Normal, n / 6, 0, {7, 0, 90});
    cluster.add(JobKind::Array, Priority::Low, n / 4, 2);
    for (std::size_t before = 1; cluster.started() != before; run())
      before = cluster.started(), cluster.run_cycle(now);
    for (int i = 0; i < 5; ++i) {
      cluster.add(JobKind::Gang, Priority::Normal, 4 + i, 0);
      cluster.add(JobKind::Array, Priority::Normal, 12, i % 2);
    }
    auto started = cluster.started();
    placing[n] = cluster.run_cycle(now);
    EXPECT_EQ(cluster.started() - started, 30u + 60u) << n;
    run();
    // Fills the cluster with a queue that waits; then adds a gang that may stop some of the work.
    cluster.add(JobKind::Array, Priority::Low, 4 * n, 0);
    for (std::size_t before = 0; cluster.started() != before; run())
      before = cluster.started(), cluster.run_cycle(now);
    for (int i = 0; i < 40; ++i) cluster.add(JobKind::Gang, Priority::Low, 1 + i % 16, 0);
    cluster.run_cycle(now);
    waiting[n] = cluster.run_cycle(now);
    cluster.add(JobKind::Gang, Priority::High, 16, 0);
    stopping[n] = cluster.run_cycle(now);
    std::size_t stopped = 0;
    for (const auto& [id, job] : cluster.scheduler->jobs())
      for (const auto& [i, a] : job.active) stopped += a.stop;
    // On some of the chosen machines a task may fit without a stop.
    EXPECT_LE(stopped, 16u) << n;
    EXPECT_GE(stopped, 8u) << n;
  }
  for (const auto* steps : {&placing, &stopping, &waiting})
    for (int n : {1000, 5000, 20000}) {
      EXPECT_LE(steps->at(n), steps->at(1000) * 3 / 2) << n;
      std::cout << n << " machines: " << steps->at(n) << " steps\n";
    }
  // Placing a task examines some pools and buckets, and twelve machines.
  EXPECT_LE(placing[1000], 90u * 60);
}

// Guards against preemption whose cost grows with the size of the gang: it examines machines and tasks once.
TEST(Scale, PreemptionExaminesMachinesAndTasksOnce) {
  LargeCluster cluster(600);
  for (int i = 0; i < 30; ++i) cluster.add(JobKind::Array, Priority::Normal, 100, 0);
  for (int i = 0; i < 60; ++i) cluster.run_cycle(0.1 * i);
  auto tasks = cluster.started();
  ASSERT_GT(tasks, 700u);
  // Tasks that have only been assigned are not stopped, so the start commands are sent first.
  for (const auto& name : cluster.scheduler->machines_with_commands()) {
    auto command_batch = cluster.scheduler->take_commands(name, 6);
    cluster.scheduler->dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, 6);
  }
  cluster.add(JobKind::Gang, Priority::High, 16, 0);
  auto steps = cluster.run_cycle(7);
  std::size_t stopped = 0;
  for (const auto& [id, job] : cluster.scheduler->jobs())
    for (const auto& [i, a] : job.active) stopped += a.stop;
  EXPECT_EQ(stopped, 16u);
  // The machines are examined three times (for the gang, suspect ones, waiting arrays) and each task twice.
  EXPECT_LE(steps, 600u * 4 + 2 * tasks);
}

// Guards against a search over all machines: only machines with changes are checked for commands.
TEST(Scale, CommandsAreCollectedOnlyFromMachinesWithChanges) {
  LargeCluster cluster(600);
  cluster.scheduler->machines_with_commands();
  EXPECT_TRUE(cluster.scheduler->machines_with_commands().empty());
  cluster.add(JobKind::Array, Priority::Normal, 1, 0);
  cluster.run_cycle(0);
  EXPECT_EQ(cluster.scheduler->machines_with_commands().size(), 1u);
}

// The largest job of the protocol, 100,000 tasks: it is split into records that fit the size limit, and
// within a few cycles as many tasks start as fit.
TEST(Scale, AJobOfAHundredThousandTasksIsShardedAndStarts) {
  LargeCluster cluster(600);
  cluster.add(JobKind::Array, Priority::Normal, 100000, 0);
  for (int i = 0; i < 60; ++i) {
    cluster.scheduler->schedule(0.1 * i);
    auto batch = cluster.scheduler->next_writes(1000, true, 0);
    for (const auto& write : batch) EXPECT_LE(write.value.dump().size(), 16u * 1024);
    cluster.scheduler->records_written(batch, ++cluster.revision, 0.1 * i);
  }
  EXPECT_GT(cluster.started(), 700u);
}

}  // namespace
}  // namespace corkmux

// A large cluster: 600 machines and more, thousands of tasks. What is counted is work (machines and
// tasks looked at), never time, so the verdict is the same on every machine.
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
      heartbeat.address = "x";
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
  /// Work of one scheduling cycle.
  std::uint64_t pass(double now) {
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

// Guards against passes that look at every machine for every waiting job: on a full site with a long queue
// that kept the leader busy for 400 ms at a time.
TEST(Scale, AFullSiteWithALongQueueCostsAPassAboutOneLookAtEachMachine) {
  LargeCluster site(600);
  for (int i = 0; i < 400; ++i) site.add(JobKind::Gang, Priority::High, 1 + i % 16, 0);
  for (int i = 0; i < 60; ++i) site.pass(0.1 * i);
  EXPECT_GT(site.started(), 1000u);
  std::size_t waiting = 0;
  for (const auto& [id, job] : site.scheduler->jobs()) waiting += job.queued > 0;
  ASSERT_GT(waiting, 100u);
  // One look at all machines for each gang size that does not fit, suspect machines included.
  EXPECT_LE(site.pass(7), 600u * 2 * 16);
}

// Guards against decisions that walk the fleet: the same queue on a site of three sizes, half of it taken by
// work of four shapes, a third of that of lower priority than some of what waits. What a pass looks at must
// not grow with the site, whether it places, finds no room or stops work.
TEST(Scale, APassOverTheSameQueueLooksAtNoMoreOnALargerFleet) {
  std::map<int, std::uint64_t> placing, stopping, waiting;
  for (int n : {1000, 5000, 20000}) {
    LargeCluster site(n);
    double now = 0;
    auto run = [&] {
      for (const auto& name : site.scheduler->machines_with_commands()) {
        auto command_batch = site.scheduler->take_commands(name, now);
        site.scheduler->dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, now);
      }
    };
    site.add(JobKind::Array, Priority::Low, n / 3, 0);
    site.add(JobKind::Array, Priority::Normal, n / 6, 0, {4, 0, 10});
    site.add(JobKind::Array, Priority::Normal, n / 6, 0, {7, 0, 90});
    site.add(JobKind::Array, Priority::Low, n / 4, 2);
    for (std::size_t before = 1; site.started() != before; run()) before = site.started(), site.pass(now);
    for (int i = 0; i < 5; ++i) {
      site.add(JobKind::Gang, Priority::Normal, 4 + i, 0);
      site.add(JobKind::Array, Priority::Normal, 12, i % 2);
    }
    auto started = site.started();
    placing[n] = site.pass(now);
    EXPECT_EQ(site.started() - started, 30u + 60u) << n;
    run();
    // Filled up, with a queue that waits; and then a gang that may stop some of it.
    site.add(JobKind::Array, Priority::Low, 4 * n, 0);
    for (std::size_t before = 0; site.started() != before; run()) before = site.started(), site.pass(now);
    for (int i = 0; i < 40; ++i) site.add(JobKind::Gang, Priority::Low, 1 + i % 16, 0);
    site.pass(now);
    waiting[n] = site.pass(now);
    site.add(JobKind::Gang, Priority::High, 16, 0);
    stopping[n] = site.pass(now);
    std::size_t stopped = 0;
    for (const auto& [id, job] : site.scheduler->jobs())
      for (const auto& [i, a] : job.active) stopped += a.stop;
    // At some of its places there may be room as it is.
    EXPECT_LE(stopped, 16u) << n;
    EXPECT_GE(stopped, 8u) << n;
  }
  for (const auto* steps : {&placing, &stopping, &waiting})
    for (int n : {1000, 5000, 20000}) {
      EXPECT_LE(steps->at(n), steps->at(1000) * 3 / 2) << n;
      std::cout << n << " machines: " << steps->at(n) << " steps\n";
    }
  // A task placed looks at some pools, buckets and twelve machines.
  EXPECT_LE(placing[1000], 90u * 60);
}

// Room for an urgent gang is found with one walk over machines and tasks, whatever its size.
TEST(Scale, PreemptionCostsOneWalkOverMachinesAndTasks) {
  LargeCluster site(600);
  for (int i = 0; i < 30; ++i) site.add(JobKind::Array, Priority::Normal, 100, 0);
  for (int i = 0; i < 60; ++i) site.pass(0.1 * i);
  auto tasks = site.started();
  ASSERT_GT(tasks, 700u);
  // What has only been assigned is not stopped: the launches go out first.
  for (const auto& name : site.scheduler->machines_with_commands()) {
    auto command_batch = site.scheduler->take_commands(name, 6);
    site.scheduler->dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, 6);
  }
  site.add(JobKind::Gang, Priority::High, 16, 0);
  auto steps = site.pass(7);
  std::size_t stopped = 0;
  for (const auto& [id, job] : site.scheduler->jobs())
    for (const auto& [i, a] : job.active) stopped += a.stop;
  EXPECT_EQ(stopped, 16u);
  // Three looks at the machines (gang, suspect ones, the arrays that wait) and two at each task.
  EXPECT_LE(steps, 600u * 4 + 2 * tasks);
}

// What a heartbeat changes is looked at, not all machines.
TEST(Scale, CommandsAreLookedForOnlyWhereSomethingChanged) {
  LargeCluster site(600);
  site.scheduler->machines_with_commands();
  EXPECT_TRUE(site.scheduler->machines_with_commands().empty());
  site.add(JobKind::Array, Priority::Normal, 1, 0);
  site.pass(0);
  EXPECT_EQ(site.scheduler->machines_with_commands().size(), 1u);
}

// PROTOCOL's largest job: 100,000 tasks, in records that fit, started within a few passes as far as room
// goes.
TEST(Scale, AJobOfAHundredThousandTasksIsShardedAndStarts) {
  LargeCluster site(600);
  site.add(JobKind::Array, Priority::Normal, 100000, 0);
  for (int i = 0; i < 60; ++i) {
    site.scheduler->schedule(0.1 * i);
    auto batch = site.scheduler->next_writes(1000, true, 0);
    for (const auto& write : batch) EXPECT_LE(write.value.dump().size(), 16u * 1024);
    site.scheduler->records_written(batch, ++site.revision, 0.1 * i);
  }
  EXPECT_GT(site.started(), 700u);
}

}  // namespace
}  // namespace corkmux

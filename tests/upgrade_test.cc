// Tests that two versions can read each other's records. Record format 1 is described here as version 0.1
// writes and reads it: s/<job>/<n> contains the tasks from n * cut on, where cut = value_kb * 1024 * 0.8 /
// 96, rounded down (1 to 256); "d" contains the ranges of done tasks, and "t" the other tasks by their
// offset: [attempt, machine, worker epoch, zone].
#include <gtest/gtest.h>

#include <random>

#include "scheduler.h"

namespace corkmux {
namespace {

using nlohmann::json;

constexpr int kV1TasksPerRecord = 68;  // in a value of 8 KiB

struct TaskPlacement {
  std::uint64_t attempt = 0;
  std::string machine;
  bool operator==(const TaskPlacement&) const = default;
};
/// The tasks of a job: the done ones, and the placements of the others.
struct StoredTasks {
  std::set<int> done;
  std::map<int, TaskPlacement> placed;
  bool operator==(const StoredTasks&) const = default;
};

/// Reads the records by the rules of version 0.1 only.
StoredTasks read_as_version_0_1(const std::map<std::string, json>& store, const std::string& job) {
  StoredTasks out;
  for (const auto& [key, value] : store) {
    if (key.rfind("s/" + job + "/", 0) != 0) continue;
    int base = kV1TasksPerRecord * std::stoi(key.substr(key.rfind('/') + 1));
    for (const auto& range : value.at("d"))
      for (int i = range.at(0); i <= range.at(1).get<int>(); ++i) out.done.insert(base + i);
    for (const auto& [i, task] : value.at("t").items())
      out.placed[base + std::stoi(i)] = {task.at(0), task.at(1)};
  }
  return out;
}

struct Upgrade : ::testing::Test {
  std::map<std::string, json> store;
  std::map<std::string, std::uint64_t> revisions;
  std::uint64_t revision = 100;
  double now = 0;
  JobSpec spec;
  void SetUp() override {
    spec.id = "run-1", spec.team = "x", spec.image = "i", spec.tasks = 150, spec.need = {1, 0, 1};
  }
  std::unique_ptr<Scheduler> leader(bool uses_v2_records, double record_kb = 2, std::uint64_t term = 3) {
    SchedulerConfig config;
    config.value_kb = 8, config.record_kb = record_kb;
    config.zones = {"rabat-agdal"};
    config.teams = {{"x", 0, 0, 0, 0}};
    auto out = std::make_unique<Scheduler>(config, term, now, 5);
    out->set_catalog({{"plain", {32, 0, 64}, 50, 1, 1, 1, 10, {"rabat-agdal"}}});
    out->upsert_job(spec, 1, false, now);
    for (const char* prefix : {"t/", "s/"})
      for (const auto& [key, value] : store)
        if (key.rfind(prefix, 0) == 0) out->load_record(key, value, revisions[key]);
    if (uses_v2_records) out->use_v2_records();
    out->records_loaded();
    return out;
  }
  static StoredTasks tasks_of(Scheduler& scheduler) {
    StoredTasks out;
    const Job& job = *scheduler.job("run-1");
    for (int i = 0; i < job.spec.tasks; ++i)
      if (job.phase[static_cast<std::size_t>(i)] == TaskPhase::Done) out.done.insert(i);
    for (const auto& [i, a] : job.active) out.placed[i] = {a.attempt, a.machine};
    return out;
  }
  /// Stores one batch, if there is one; checks it against the size limit that applies after the upgrade.
  bool store_some(Scheduler& scheduler, int most, std::size_t max_bytes = 2048) {
    auto batch = scheduler.next_writes(most, true, now);
    for (const auto& w : batch) {
      EXPECT_LE(w.value.dump().size(), max_bytes) << w.key;
      EXPECT_EQ(w.revision, revisions[w.key]) << w.key;
      store[w.key] = w.value;
      revisions[w.key] = revision + 1;
    }
    scheduler.records_written(batch, ++revision, now);
    for (const auto& key : scheduler.take_replaced()) store.erase(key);
    return !batch.empty();
  }
  void store_all(Scheduler& scheduler, std::size_t max_bytes = 2048) {
    while (store_some(scheduler, 4, max_bytes)) {
    }
  }
  struct Worker {
    std::uint64_t seq = 0;
    std::map<int, TaskStatus> tasks;
  };
  std::map<std::string, Worker> workers;
  /// A worker that the leader has not heard yet sends a heartbeat without the leader's token first.
  void send_heartbeat(Scheduler& scheduler, const std::string& name) {
    if (!scheduler.machine(name) || !scheduler.machine(name)->is_up()) send_heartbeat(scheduler, name, 0);
    send_heartbeat(scheduler, name, scheduler.machine(name)->worker.fencing_token);
  }
  void send_heartbeat(Scheduler& scheduler, const std::string& name, std::uint64_t fencing_token) {
    Worker& w = workers[name];
    Heartbeat r;
    r.machine = name, r.address = "address-of-" + name, r.type = "plain", r.zone = "rabat-agdal",
    r.worker_epoch = 1;
    r.seq = ++w.seq;
    r.fencing_token = fencing_token;
    for (const auto& [i, t] : w.tasks) r.tasks.push_back(t);
    auto answer = scheduler.on_heartbeat(r, Scheduler::Channel::Heartbeat, now);
    for (const auto& c : answer.commands)
      if (c.op == TaskCommand::Op::Forget) w.tasks.erase(c.index);
  }
  void send_commands(Scheduler& scheduler) {
    for (const auto& name : scheduler.machines_with_commands()) {
      auto command_batch = scheduler.take_commands(name, now);
      for (std::size_t i = 0; i < command_batch.launches.size(); ++i)
        workers[name].tasks[command_batch.launches[i].index] = {"run-1",
                                                                command_batch.launches[i].index,
                                                                command_batch.attempts[i],
                                                                TaskState::Running,
                                                                ExitReason::None,
                                                                false};
      scheduler.dispatch_done(name, command_batch, Scheduler::DispatchOutcome::Executed, now);
    }
  }
};

// Guards against reading other tasks from a record than were written to it.
TEST_F(Upgrade, RecordsOfFormat1AreReadWithTheirOriginalTaskRanges) {
  store["s/run-1/0"] = {{"d", {{0, 2}, {67, 67}}}, {"t", {{"3", {2097153, "n-000231", 1, "rabat-agdal"}}}}};
  store["s/run-1/2"] = {{"d", json::array()}, {"t", {{"13", {2097154, "n-000232", 4, "rabat-agdal"}}}}};
  revisions["s/run-1/0"] = 7, revisions["s/run-1/2"] = 8;
  for (bool uses_v2 : {false, true}) {
    auto scheduler = leader(uses_v2);
    EXPECT_EQ(tasks_of(*scheduler), read_as_version_0_1(store, "run-1"));
    EXPECT_EQ(scheduler->job("run-1")->active.at(149).worker_epoch, 4u);
  }
}

// Guards against records that a controller of the earlier version cannot read while it may still become
// leader.
TEST_F(Upgrade, DuringTheUpgradeTheEarlierVersionReadsAllRecords) {
  auto scheduler = leader(false);
  for (const char* name : {"n-000001", "n-000002", "n-000003", "n-000004"})
    send_heartbeat(*scheduler, name), send_heartbeat(*scheduler, name);
  scheduler->schedule(now);
  store_all(*scheduler, 8192);
  send_commands(*scheduler);
  for (int i = 20; i < 90; ++i)
    for (auto& [name, w] : workers)
      if (auto t = w.tasks.find(i); t != w.tasks.end())
        t->second.state = TaskState::Exited, t->second.why = ExitReason::Done;
  for (auto& [name, w] : workers) send_heartbeat(*scheduler, name);
  store_all(*scheduler, 8192);
  auto by_version_0_1 = read_as_version_0_1(store, "run-1");
  EXPECT_EQ(by_version_0_1, tasks_of(*scheduler));
  EXPECT_GT(by_version_0_1.done.size(), 40u);
  EXPECT_GT(by_version_0_1.placed.size(), 20u);
  for (const auto& [key, value] : store) EXPECT_EQ(key.rfind("s/", 0), 0u) << key;
}

// Guards against lost tasks in a failover at any step of the upgrade: the next leader has every running task
// on its machine, and counts no task as done that is not.
TEST_F(Upgrade, AFailoverAtAnyStepLosesNoTaskAndNoEnd) {
  std::mt19937 rng(3);
  int converted = 0, split = 0;
  for (int round = 0; round < 60; ++round) {
    store.clear(), revisions.clear(), workers.clear();
    double record_kb = round % 3 == 0 ? 0.5 : 2;  // the smaller limit causes repeated splits of records
    std::uint64_t term = 3;
    auto scheduler = leader(false, record_kb, term);
    bool uses_v2 = false;
    int switch_at = static_cast<int>(rng() % 20);
    for (int step = 0; step < 60; ++step) {
      now += 0.5;
      if (step >= switch_at) scheduler->use_v2_records(), uses_v2 = true;
      for (int m = 0; m < 8; ++m) send_heartbeat(*scheduler, "n-00000" + std::to_string(m));
      for (auto& [name, w] : workers)
        for (auto& [i, t] : w.tasks)
          if (rng() % 12 == 0)
            t.state = TaskState::Exited, t.why = rng() % 4 ? ExitReason::Done : ExitReason::Error;
      scheduler->schedule(now);
      store_some(*scheduler, 1 + static_cast<int>(rng() % 4),
                 uses_v2 ? static_cast<std::size_t>(record_kb * 1024) : 8192);
      send_commands(*scheduler);
      auto next = leader(uses_v2, record_kb, term + 1);
      auto by_successor = tasks_of(*next), by_leader = tasks_of(*scheduler);
      for (const auto& [name, w] : workers)
        for (const auto& [i, t] : w.tasks) {
          if (t.state == TaskState::Exited) continue;
          ASSERT_TRUE(by_successor.placed.count(i))
              << "task " << i << " runs on " << name << " at step " << step;
          ASSERT_EQ(by_successor.placed[i].machine, name);
        }
      for (int i : by_successor.done) ASSERT_TRUE(by_leader.done.count(i)) << i;
      ASSERT_TRUE(uses_v2 || by_successor == read_as_version_0_1(store, "run-1"));
      if (rng() % 10 == 0) scheduler = std::move(next), ++term;
    }
    int v1_records = 0, v2_records = 0;
    for (const auto& [key, value] : store) key[0] == 's' ? ++v1_records : ++v2_records;
    converted += v2_records > 0 && v1_records == 0;
    split += v2_records > 3;
  }
  EXPECT_GT(converted, 20);
  EXPECT_GT(split, 10);
}

// Guards against needless splits of records, which format 2 avoids: 240 tasks are stored in as few records of
// 2 KiB as their contents need, and in a single one if they are placed together.
TEST_F(Upgrade, RecordsAreSplitOnlyAsFarAsTheirContentsRequire) {
  spec.tasks = 240;
  auto scheduler = leader(true);
  for (int m = 0; m < 8; ++m)
    send_heartbeat(*scheduler, "n-00000" + std::to_string(m)),
        send_heartbeat(*scheduler, "n-00000" + std::to_string(m));
  for (int i = 0; i < 10; ++i) scheduler->schedule(now);
  ASSERT_EQ(scheduler->job("run-1")->queued, 0);
  store_all(*scheduler);
  EXPECT_EQ(store.size(), 1u);
}

// Guards against a leader that ignores records it cannot read: their tasks would be started a second time.
TEST_F(Upgrade, ANewerFormatIsNotTakenForAnEmptyRecord) {
  auto scheduler = leader(true);
  EXPECT_EQ(scheduler->load_record("t/run-1/000000", {{"f", 3}, {"n", 150}}, 9), Scheduler::Loaded::TooNew);
}

}  // namespace
}  // namespace corkmux

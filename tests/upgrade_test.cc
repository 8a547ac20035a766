// Two versions on one another's records. Record format 1 is described here as version 0.1 writes and reads
// it: s/<job>/<n> holds the tasks from n * cut on, cut = value_kb * 1024 * 0.8 / 96 rounded down (1 to 256),
// "d" the ranges of those done and "t" the others by their offset: [attempt, machine, worker epoch, zone].
#include <gtest/gtest.h>

#include <random>

#include "scheduler.h"

namespace corkmux {
namespace {

using nlohmann::json;

constexpr int kFirstCut = 68;  // of 8 KiB

struct Place {
  std::uint64_t attempt = 0;
  std::string machine;
  bool operator==(const Place&) const = default;
};
/// What records say of a job: tasks done, and where the others are.
struct Said {
  std::set<int> done;
  std::map<int, Place> placed;
  bool operator==(const Said&) const = default;
};

/// A reader that follows the first version's rules and knows no other.
Said read_as_first_version(const std::map<std::string, json>& store, const std::string& job) {
  Said out;
  for (const auto& [key, value] : store) {
    if (key.rfind("s/" + job + "/", 0) != 0) continue;
    int base = kFirstCut * std::stoi(key.substr(key.rfind('/') + 1));
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
  static Said said(Scheduler& scheduler) {
    Said out;
    const Job& job = *scheduler.job("run-1");
    for (int i = 0; i < job.spec.tasks; ++i)
      if (job.phase[static_cast<std::size_t>(i)] == TaskPhase::Done) out.done.insert(i);
    for (const auto& [i, a] : job.active) out.placed[i] = {a.attempt, a.machine};
    return out;
  }
  /// Stores one batch, if there is any; checks it against the limits that are to come.
  bool store_some(Scheduler& scheduler, int most, std::size_t room = 2048) {
    auto batch = scheduler.next_writes(most, true, now);
    for (const auto& w : batch) {
      EXPECT_LE(w.value.dump().size(), room) << w.key;
      EXPECT_EQ(w.revision, revisions[w.key]) << w.key;
      store[w.key] = w.value;
      revisions[w.key] = revision + 1;
    }
    scheduler.records_written(batch, ++revision, now);
    for (const auto& key : scheduler.take_replaced()) store.erase(key);
    return !batch.empty();
  }
  void store_all(Scheduler& scheduler, std::size_t room = 2048) {
    while (store_some(scheduler, 4, room)) {
    }
  }
  struct Worker {
    std::uint64_t seq = 0;
    std::map<int, TaskStatus> tasks;
  };
  std::map<std::string, Worker> workers;
  void report(Scheduler& scheduler, const std::string& name) {
    Worker& w = workers[name];
    Heartbeat r;
    r.machine = name, r.address = "x", r.type = "plain", r.zone = "rabat-agdal", r.worker_epoch = 1;
    r.seq = ++w.seq;
    r.fencing_token = scheduler.machine(name) ? scheduler.machine(name)->worker.fencing_token : 0;
    for (const auto& [i, t] : w.tasks) r.tasks.push_back(t);
    auto answer = scheduler.on_heartbeat(r, Scheduler::Channel::Heartbeat, now);
    for (const auto& c : answer.commands)
      if (c.op == TaskCommand::Op::Forget) w.tasks.erase(c.index);
  }
  void send(Scheduler& scheduler) {
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

// Guards against reading other tasks out of a record than were written into it.
TEST_F(Upgrade, RecordsOfFormat1AreReadAsTheyWereCut) {
  store["s/run-1/0"] = {{"d", {{0, 2}, {67, 67}}}, {"t", {{"3", {2097153, "n-000231", 1, "rabat-agdal"}}}}};
  store["s/run-1/2"] = {{"d", json::array()}, {"t", {{"13", {2097154, "n-000232", 4, "rabat-agdal"}}}}};
  revisions["s/run-1/0"] = 7, revisions["s/run-1/2"] = 8;
  for (bool second : {false, true}) {
    auto scheduler = leader(second);
    EXPECT_EQ(said(*scheduler), read_as_first_version(store, "run-1"));
    EXPECT_EQ(scheduler->job("run-1")->active.at(149).worker_epoch, 4u);
  }
}

// While an old controller may still lead, it can read everything that a new one has written.
TEST_F(Upgrade, DuringTheUpgradeTheFormerVersionReadsWhatIsWritten) {
  auto scheduler = leader(false);
  for (const char* name : {"n-000001", "n-000002", "n-000003", "n-000004"})
    report(*scheduler, name), report(*scheduler, name);
  scheduler->schedule(now);
  store_all(*scheduler, 8192);
  send(*scheduler);
  for (int i = 20; i < 90; ++i)
    for (auto& [name, w] : workers)
      if (auto t = w.tasks.find(i); t != w.tasks.end())
        t->second.state = TaskState::Exited, t->second.why = ExitReason::Done;
  for (auto& [name, w] : workers) report(*scheduler, name);
  store_all(*scheduler, 8192);
  auto old = read_as_first_version(store, "run-1");
  EXPECT_EQ(old, said(*scheduler));
  EXPECT_GT(old.done.size(), 40u);
  EXPECT_GT(old.placed.size(), 20u);
  for (const auto& [key, value] : store) EXPECT_EQ(key.rfind("s/", 0), 0u) << key;
}

// A failover at every step of the upgrade: whatever runs is known to the next leader at its place, and
// nothing counts as done that is not.
TEST_F(Upgrade, AFailoverAtAnyStepLosesNoTaskAndNoEnd) {
  std::mt19937 rng(3);
  int moved = 0, splits = 0;
  for (int round = 0; round < 60; ++round) {
    store.clear(), revisions.clear(), workers.clear();
    double record_kb = round % 3 == 0 ? 0.5 : 2;  // the smaller one makes records be split again and again
    std::uint64_t term = 3;
    auto scheduler = leader(false, record_kb, term);
    bool second = false;
    int switch_at = static_cast<int>(rng() % 20);
    for (int step = 0; step < 60; ++step) {
      now += 0.5;
      if (step >= switch_at) scheduler->use_v2_records(), second = true;
      for (int m = 0; m < 8; ++m) report(*scheduler, "n-00000" + std::to_string(m));
      for (auto& [name, w] : workers)
        for (auto& [i, t] : w.tasks)
          if (rng() % 12 == 0)
            t.state = TaskState::Exited, t.why = rng() % 4 ? ExitReason::Done : ExitReason::Error;
      scheduler->schedule(now);
      store_some(*scheduler, 1 + static_cast<int>(rng() % 4),
                 second ? static_cast<std::size_t>(record_kb * 1024) : 8192);
      send(*scheduler);
      auto next = leader(second, record_kb, term + 1);
      auto heir = said(*next), mine = said(*scheduler);
      for (const auto& [name, w] : workers)
        for (const auto& [i, t] : w.tasks) {
          if (t.state == TaskState::Exited) continue;
          ASSERT_TRUE(heir.placed.count(i)) << "task " << i << " runs on " << name << " at step " << step;
          ASSERT_EQ(heir.placed[i].machine, name);
        }
      for (int i : heir.done) ASSERT_TRUE(mine.done.count(i)) << i;
      ASSERT_TRUE(second || heir == read_as_first_version(store, "run-1"));
      if (rng() % 10 == 0) scheduler = std::move(next), ++term;
    }
    int first = 0, seconds = 0;
    for (const auto& [key, value] : store) key[0] == 's' ? ++first : ++seconds;
    moved += seconds > 0 && first == 0;
    splits += seconds > 3;
  }
  EXPECT_GT(moved, 20);
  EXPECT_GT(splits, 10);
}

// What format 2 was made for: 240 tasks, each started by itself on a machine of its own, in as
// few records of 2 KiB as that takes, and in one where they stand together.
TEST_F(Upgrade, RecordsAreSplitOnlyAsFarAsTheirContentsAsk) {
  spec.tasks = 240;
  auto scheduler = leader(true);
  for (int m = 0; m < 8; ++m)
    report(*scheduler, "n-00000" + std::to_string(m)), report(*scheduler, "n-00000" + std::to_string(m));
  for (int i = 0; i < 10; ++i) scheduler->schedule(now);
  ASSERT_EQ(scheduler->job("run-1")->queued, 0);
  store_all(*scheduler);
  EXPECT_EQ(store.size(), 1u);
}

// Guards against leading on records that cannot be read: what they hold would start a second time.
TEST_F(Upgrade, ANewerFormatIsNotTakenForAnEmptyRecord) {
  auto scheduler = leader(true);
  EXPECT_EQ(scheduler->load_record("t/run-1/000000", {{"f", 3}, {"n", 150}}, 9), Scheduler::Loaded::TooNew);
}

}  // namespace
}  // namespace corkmux

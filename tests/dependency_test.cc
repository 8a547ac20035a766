// Jobs that await jobs, in the book: what they inherit, what they hold, and what a cancellation costs.
#include <gtest/gtest.h>

#include <random>

#include "dependency_barrier.h"
#include "scaling.h"
#include "scheduler.h"

namespace corkmux {
namespace {

struct Awaits : ::testing::Test {
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  std::uint64_t revision = 0;
  void SetUp() override {
    config.zones = {"a"};
    config.teams = {{"x", 16, 32, 0, 0}};
    scheduler = std::make_unique<Scheduler>(config, 2, 0, 11);
    scheduler->set_catalog({{"plain", {16, 0, 64}, 50, 1, 1, 1, 10, {"a"}}});
  }
  JobSpec spec(const std::string& id, std::vector<std::string> dependencies,
               Priority priority = Priority::Low) {
    JobSpec s;
    s.id = id, s.team = "x", s.image = "i", s.need = {4, 0, 1}, s.dependencies = std::move(dependencies);
    s.priority = priority, s.estimate_s = 10;
    return s;
  }
  Job& add(const std::string& id, std::vector<std::string> dependencies, Priority priority = Priority::Low,
           std::optional<double> due = std::nullopt) {
    auto s = spec(id, std::move(dependencies), priority);
    s.deadline_s = due;
    scheduler->upsert_job(s, ++revision, false, 0);
    return *scheduler->job(id);
  }
  void join() {
    Heartbeat r;
    r.machine = "n-1", r.address = "x", r.type = "plain", r.zone = "a", r.worker_epoch = 1, r.seq = 1;
    r.fencing_token = scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, 0).fencing_token;
    ++r.seq;
    scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, 0);
  }
};

TEST_F(Awaits, PriorityAndDeadlineReachBackThroughAllStepsAndGoWithTheJobThatGaveThem) {
  add("run-a", {});
  add("run-b", {"run-a"});
  add("run-c", {"run-b"}, Priority::High, 100);
  EXPECT_EQ(scheduler->job("run-a")->priority, Priority::High);
  EXPECT_DOUBLE_EQ(scheduler->job("run-b")->due_at, 90);
  EXPECT_DOUBLE_EQ(scheduler->job("run-a")->due_at, 80);
  add("run-d", {"run-a"}, Priority::Normal, 50);  // a later, tighter one
  EXPECT_EQ(scheduler->job("run-a")->priority, Priority::High);
  EXPECT_DOUBLE_EQ(scheduler->job("run-a")->due_at, 40);
  scheduler->record_outcome("run-d", Scheduler::Outcome::Cancelled, 0);
  scheduler->forget_job("run-d");
  EXPECT_DOUBLE_EQ(scheduler->job("run-a")->due_at, 80);
  scheduler->record_outcome("run-c", Scheduler::Outcome::Cancelled, 0);
  scheduler->forget_job("run-c");
  EXPECT_EQ(scheduler->job("run-a")->priority, Priority::Low);
  // Loaded in the order of their names, a dependent may come before what it needs.
  add("run-y", {"run-z"}, Priority::Production, 30);
  EXPECT_EQ(add("run-z", {}).priority, Priority::Production);
}

TEST_F(Awaits, AWaitingJobTakesNoRoomNoGuaranteeAndRentsNothing) {
  join();
  add("run-a", {});
  Job& b = add("run-b", {"run-a", "run-old"}, Priority::Production);
  scheduler->schedule(0);
  EXPECT_EQ(b.queued, 1);
  EXPECT_NE(scheduler->reason(b).find("waiting for run-"), std::string::npos);
  EXPECT_EQ(scheduler->team_use("x").cpus, 4);  // run-a alone
  OperatorChoices choices;
  choices.headroom_share = 0, choices.idle_return_s = 600;
  scheduler->forget_job("run-a");
  EXPECT_TRUE(plan_scaling(*scheduler, choices, {}, 0).scale_out.empty());
  // How both ended is found in the store; only then it starts, and its times count from the later moment.
  EXPECT_EQ(scheduler->unknown_dependencies(), (std::set<std::string>{"run-a", "run-old"}));
  scheduler->record_outcome("run-a", Scheduler::Outcome::Done, 3);
  scheduler->schedule(5);
  EXPECT_EQ(b.queued, 1);
  scheduler->record_outcome("run-old", Scheduler::Outcome::Done, -1e9);
  scheduler->schedule(5);
  EXPECT_EQ(b.queued, 0);
  EXPECT_EQ(b.ready_at, 3);
}

// Guards against recursion over a graph's depth and against work that grows with more than its size.
TEST_F(Awaits, ADeepAndAWidePipelineEndWithTheJobTheyNeed) {
  add("run-0", {});
  constexpr int kJobs = 3000;
  for (int i = 1; i <= kJobs; ++i) add("run-" + std::to_string(i), {"run-" + std::to_string(i - 1)});
  for (int i = 1; i <= kJobs; ++i) add("run-w" + std::to_string(i), {"run-0"});
  auto s = spec("run-0", {});
  scheduler->upsert_job(s, ++revision, true, 1);
  EXPECT_EQ(scheduler->finished_jobs().size(), 2u * kJobs + 1);
  // One that names a cancelled job later goes the same way.
  scheduler->record_outcome("run-0", Scheduler::Outcome::Cancelled, 1);
  scheduler->forget_job("run-0");
  EXPECT_TRUE(add("run-late", {"run-0"}).dependency_cancelled);
}

TEST_F(Awaits, ATaskThatWasEverStoredProvesThatAllAwaitedIsDone) {
  scheduler->upsert_job(spec("run-b", {"run-a"}), 1, false, 0);
  scheduler->load_record("t/run-b/000000",
                         {{"f", 2}, {"c", 256}, {"n", 1}, {"z", {"a"}}, {"t", {{"n-1", 1, 0, 7, "0"}}}}, 5);
  scheduler->records_loaded();
  EXPECT_TRUE(scheduler->job("run-b")->ready());
  EXPECT_TRUE(scheduler->unknown_dependencies().empty());
  EXPECT_EQ(scheduler->job("run-b")->active.count(0), 1u);
}

// What the leader says is settled, against every cancel and every end as they were: each job that a cancel
// before that moment ended, and that was accepted before it, has its end stored.
TEST(Settling, ClaimsNothingThatIsNotSo) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 rng(seed);
    auto chance = [&](double p) { return std::uniform_real_distribution<double>(0, 1)(rng) < p; };
    struct Orphan {
      double cancelled_at, known_from;
      bool looked_up, ended = false;
    };
    std::map<std::string, Orphan> all;
    double claimed = -1e9, now = 0, seen = -1e9;
    auto settlement = std::make_unique<DependencyBarrier>(claimed);
    bool outage = false, advanced = false;
    for (int step = 0; step < 400; ++step) {
      now += 0.5;
      if (chance(0.02)) outage = !outage;
      // A cancel is told while the state service answers; the leader hears of it at once from a peer, or by
      // its watch.
      if (!outage && chance(0.3))
        all[std::to_string(step)] = {now, chance(0.5) ? now : now + 0.1, chance(0.2)};
      if (!outage && chance(0.8)) seen = now;
      if (chance(0.02)) {  // another term: it reads all that is there
        settlement = std::make_unique<DependencyBarrier>(claimed);
        seen = now - 0.25;
      }
      std::vector<std::string> pending;
      bool unclear = false;
      for (auto& [id, o] : all) {
        if (o.ended || std::min(o.cancelled_at, o.known_from) > now ||
            (o.known_from > now && seen < o.cancelled_at))
          continue;
        if (o.looked_up) {
          unclear = true;
          o.looked_up = chance(0.5);
        } else if (!outage && chance(0.4)) {
          o.ended = true;
        } else {
          pending.push_back(id);
        }
      }
      double before = claimed;
      claimed = settlement->advance(seen, pending, unclear);
      ASSERT_GE(claimed, before);
      advanced |= claimed > 1;
      for (const auto& [id, o] : all)
        ASSERT_TRUE(o.ended || o.cancelled_at >= claimed) << "seed " << seed << " at " << now << ": " << id;
    }
    EXPECT_TRUE(advanced) << seed;
  }
}

TEST_F(Awaits, EndsAreStoredInTheOrderInWhichTheyCame) {
  for (const char* id : {"run-9", "run-5", "run-7"}) {
    add(id, {});
    scheduler->upsert_job(scheduler->job(id)->spec, ++revision, true, 0);
  }
  EXPECT_EQ(scheduler->finished_jobs(), (std::vector<std::string>{"run-9", "run-5", "run-7"}));
  scheduler->upsert_job(scheduler->job("run-9")->spec, ++revision, true,
                        0);  // known already: keeps its place
  EXPECT_EQ(scheduler->finished_jobs().front(), "run-9");
}

}  // namespace
}  // namespace corkmux

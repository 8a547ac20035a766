// Job dependencies in the scheduler: inherited urgency, use of capacity, and the effect of a cancellation.
#include <gtest/gtest.h>

#include <random>

#include "dependency_barrier.h"
#include "scaling.h"
#include "scheduler.h"

namespace corkmux {
namespace {

struct SchedulerDependencies : ::testing::Test {
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

TEST_F(SchedulerDependencies, PriorityAndDeadlineAreInheritedTransitivelyAndDroppedWithTheDependent) {
  add("run-a", {});
  add("run-b", {"run-a"});
  add("run-c", {"run-b"}, Priority::High, 100);
  EXPECT_EQ(scheduler->job("run-a")->priority, Priority::High);
  EXPECT_DOUBLE_EQ(scheduler->job("run-b")->due_at, 90);
  EXPECT_DOUBLE_EQ(scheduler->job("run-a")->due_at, 80);
  add("run-d", {"run-a"}, Priority::Normal, 50);  // added later, with a tighter deadline
  EXPECT_EQ(scheduler->job("run-a")->priority, Priority::High);
  EXPECT_DOUBLE_EQ(scheduler->job("run-a")->due_at, 40);
  scheduler->record_outcome("run-d", Scheduler::Outcome::Cancelled, 0);
  scheduler->forget_job("run-d");
  EXPECT_DOUBLE_EQ(scheduler->job("run-a")->due_at, 80);
  scheduler->record_outcome("run-c", Scheduler::Outcome::Cancelled, 0);
  scheduler->forget_job("run-c");
  EXPECT_EQ(scheduler->job("run-a")->priority, Priority::Low);
  // Jobs are loaded in the order of their ids, so a dependent may be added before its dependency.
  add("run-y", {"run-z"}, Priority::Production, 30);
  EXPECT_EQ(add("run-z", {}).priority, Priority::Production);
}

TEST_F(SchedulerDependencies, AWaitingJobUsesNoCapacityNoGuaranteeAndProvisionsNothing) {
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
  // The outcomes of both have to be read from the state store. Only then may run-b start, and its times count
  // from the later end.
  EXPECT_EQ(scheduler->unknown_dependencies(), (std::set<std::string>{"run-a", "run-old"}));
  scheduler->record_outcome("run-a", Scheduler::Outcome::Done, 3);
  scheduler->schedule(5);
  EXPECT_EQ(b.queued, 1);
  scheduler->record_outcome("run-old", Scheduler::Outcome::Done, -1e9);
  scheduler->schedule(5);
  EXPECT_EQ(b.queued, 0);
  EXPECT_EQ(b.ready_at, 3);
}

// Guards against recursion over the depth of a graph, and against work that grows faster than the graph's
// size.
TEST_F(SchedulerDependencies, ACancellationEndsADeepAndAWidePipeline) {
  add("run-0", {});
  constexpr int kJobs = 3000;
  for (int i = 1; i <= kJobs; ++i) add("run-" + std::to_string(i), {"run-" + std::to_string(i - 1)});
  for (int i = 1; i <= kJobs; ++i) add("run-w" + std::to_string(i), {"run-0"});
  auto s = spec("run-0", {});
  scheduler->upsert_job(s, ++revision, true, 1);
  EXPECT_EQ(scheduler->finished_jobs().size(), 2u * kJobs + 1);
  // A job submitted later that depends on a cancelled one is cancelled as well.
  scheduler->record_outcome("run-0", Scheduler::Outcome::Cancelled, 1);
  scheduler->forget_job("run-0");
  EXPECT_TRUE(add("run-late", {"run-0"}).dependency_cancelled);
}

TEST_F(SchedulerDependencies, AStoredTaskRecordProvesThatAllDependenciesAreDone) {
  scheduler->upsert_job(spec("run-b", {"run-a"}), 1, false, 0);
  scheduler->load_record("t/run-b/000000",
                         {{"f", 2}, {"c", 256}, {"n", 1}, {"z", {"a"}}, {"t", {{"n-1", 1, 0, 7, "0"}}}}, 5);
  scheduler->records_loaded();
  EXPECT_TRUE(scheduler->job("run-b")->ready());
  EXPECT_TRUE(scheduler->unknown_dependencies().empty());
  EXPECT_EQ(scheduler->job("run-b")->active.count(0), 1u);
}

// Compares the barrier with all cancels and ends so far: each job that a cancel before the barrier ends, and
// that was accepted before it, has its end stored.
TEST(DependencyBarrierTest, CoversNoCancelWhoseDependentIsUnfinished) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 rng(seed);
    auto chance = [&](double p) { return std::uniform_real_distribution<double>(0, 1)(rng) < p; };
    struct Dependent {
      double cancelled_at, known_at;
      bool lookup_pending, ended = false;
    };
    std::map<std::string, Dependent> dependents;
    double barrier_at = -1e9, now = 0, observed_until = -1e9;
    auto barrier = std::make_unique<DependencyBarrier>(barrier_at);
    bool outage = false, advanced = false;
    for (int step = 0; step < 400; ++step) {
      now += 0.5;
      if (chance(0.02)) outage = !outage;
      // A cancel is acknowledged while the state store answers. The leader observes it at once from a peer,
      // or later by its watch.
      if (!outage && chance(0.3))
        dependents[std::to_string(step)] = {now, chance(0.5) ? now : now + 0.1, chance(0.2)};
      if (!outage && chance(0.8)) observed_until = now;
      if (chance(0.02)) {  // a new term reads all stored jobs
        barrier = std::make_unique<DependencyBarrier>(barrier_at);
        observed_until = now - 0.25;
      }
      std::vector<std::string> pending;
      bool outcomes_missing = false;
      for (auto& [id, dependent] : dependents) {
        if (dependent.ended || std::min(dependent.cancelled_at, dependent.known_at) > now ||
            (dependent.known_at > now && observed_until < dependent.cancelled_at))
          continue;
        if (dependent.lookup_pending) {
          outcomes_missing = true;
          dependent.lookup_pending = chance(0.5);
        } else if (!outage && chance(0.4)) {
          dependent.ended = true;
        } else {
          pending.push_back(id);
        }
      }
      double before = barrier_at;
      barrier_at = barrier->advance(observed_until, pending, outcomes_missing);
      ASSERT_GE(barrier_at, before);
      advanced |= barrier_at > 1;
      for (const auto& [id, dependent] : dependents)
        ASSERT_TRUE(dependent.ended || dependent.cancelled_at >= barrier_at)
            << "seed " << seed << " at " << now << ": " << id;
    }
    EXPECT_TRUE(advanced) << seed;
  }
}

TEST_F(SchedulerDependencies, JobEndsAreStoredInTheOrderInWhichTheyOccurred) {
  for (const char* id : {"run-9", "run-5", "run-7"}) {
    add(id, {});
    scheduler->upsert_job(scheduler->job(id)->spec, ++revision, true, 0);
  }
  EXPECT_EQ(scheduler->finished_jobs(), (std::vector<std::string>{"run-9", "run-5", "run-7"}));
  scheduler->upsert_job(scheduler->job("run-9")->spec, ++revision, true,
                        0);  // cancelled before: keeps its position
  EXPECT_EQ(scheduler->finished_jobs().front(), "run-9");
}

}  // namespace
}  // namespace corkmux

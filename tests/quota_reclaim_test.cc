// Compares the work stopped for a team's guarantee with an exhaustive search on small cases; checks that two
// teams do not preempt each other in turns, and that a zone is held for a gang that is due.
#include "quota_reclaim.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <tuple>

#include "scheduler_fixture.h"

namespace corkmux {
namespace {

/// Whether stopping these units meets the claim and leaves every team at or above its guarantee.
bool meets_claim(const QuotaReclaimInput& input, const std::vector<int>& stopped) {
  auto machines = input.machines;
  auto over_guarantee = input.over_guarantee;
  for (int position : stopped) {
    const auto& unit = input.units[static_cast<std::size_t>(position)];
    for (int machine : unit.members) {
      machines[static_cast<std::size_t>(machine)].free += unit.need;
      over_guarantee[static_cast<std::size_t>(unit.team)] -= unit.need;
    }
  }
  for (const auto& left : over_guarantee)
    if (left.cpus < -1e-6 || left.gpus < -1e-6) return false;
  std::map<int, int> fitting_tasks;
  for (const auto& machine : machines)
    if (machine.usable) fitting_tasks[input.one_zone ? machine.zone : 0] += input.need.times_in(machine.free);
  return std::any_of(fitting_tasks.begin(), fitting_tasks.end(),
                     [&](const auto& in_zone) { return in_zone.second >= input.tasks; });
}

double total_lost(const QuotaReclaimInput& input, const std::vector<int>& stopped) {
  double sum = 0;
  for (int position : stopped) sum += input.units[static_cast<std::size_t>(position)].lost;
  return sum;
}

QuotaReclaimInput random_case(std::mt19937& rng, bool tight_budget) {
  auto below = [&](int limit) { return static_cast<int>(rng() % static_cast<unsigned>(limit)); };
  QuotaReclaimInput input;
  input.need = {2.0 + 2 * below(3), below(3) == 0 ? 1.0 : 0.0, 1};
  input.tasks = 1 + below(4);
  input.one_zone = below(2) == 0;
  for (int machine = 0; machine < 5; ++machine)
    input.machines.push_back({{1.0 * below(3), 1.0 * below(2), 4}, below(2), below(6) > 0});
  const int units = 1 + below(9);
  for (int i = 0; i < units; ++i) {
    QuotaReclaimInput::PreemptionUnit unit{
        below(2), 1.0 + below(100), {1.0 + below(4), 1.0 * below(2), 1}, {}};
    for (int members = below(4) == 0 ? 3 : 1; members > 0; --members) unit.members.push_back(below(5));
    input.units.push_back(unit);
  }
  for (int team = 0; team < 2; ++team)
    input.over_guarantee.push_back(tight_budget ? Resources{2.0 * below(10), 1.0 * below(4), 0}
                                                : Resources{1e6, 1e6, 0});
  return input;
}

/// The work lost by the cheapest set of units that meets the claim; nullopt if no set does.
std::optional<double> least_lost(const QuotaReclaimInput& input) {
  std::optional<double> least;
  for (unsigned set = 0; set < 1u << input.units.size(); ++set) {
    std::vector<int> stopped;
    for (std::size_t i = 0; i < input.units.size(); ++i)
      if (set >> i & 1) stopped.push_back(static_cast<int>(i));
    if (!meets_claim(input, stopped)) continue;
    const double lost = total_lost(input, stopped);
    if (!least || lost < *least) least = lost;
  }
  return least;
}

// Largest allowed ratio of the lost work to that of the cheapest set; the greedy choice takes the cheapest
// units first, not the cheapest set.
constexpr double kMargin = 4.0;

TEST(QuotaReclaim, IsAllowedStopsNoUnneededUnitAndIsCloseToTheCheapest) {
  std::mt19937 rng(7);
  int met = 0, missed = 0;
  double chosen_total = 0, best_total = 0, worst = 1;
  for (int round = 0; round < 4000; ++round) {
    SCOPED_TRACE(round);
    const bool tight = round % 2;
    const auto input = random_case(rng, tight);
    const auto best = least_lost(input);
    const auto chosen = choose_reclaim(input);
    if (!chosen) {
      // Without a tight budget every claim that can be met is met; with one, a cheap unit may use up the
      // budget that a better one needs.
      if (best) ++missed;
      EXPECT_TRUE(!best || tight);
      continue;
    }
    ++met;
    ASSERT_TRUE(meets_claim(input, *chosen));
    ASSERT_TRUE(best);
    const double lost = total_lost(input, *chosen);
    if (!tight) {
      EXPECT_LE(lost, kMargin * *best + 1e-9) << "cheapest " << *best;
    }
    worst = std::max(worst, lost / *best);
    chosen_total += lost;
    best_total += *best;
    for (std::size_t position = 0; position < chosen->size(); ++position) {
      auto fewer = *chosen;
      fewer.erase(fewer.begin() + static_cast<long>(position));
      EXPECT_FALSE(meets_claim(input, fewer)) << "unit " << (*chosen)[position] << " was stopped needlessly";
    }
  }
  EXPECT_GT(met, 1000);
  EXPECT_LT(missed, met / 20);
  EXPECT_LT(chosen_total, 1.2 * best_total);
  std::cout << met << " met, " << missed << " missed, lost in all " << chosen_total / best_total
            << " times the cheapest, at the worst " << worst << "\n";
}

struct QuotaReclaimTestCluster {
  std::unique_ptr<Scheduler> scheduler;
  std::map<std::string, Heartbeat> machines;
  std::uint64_t revision = 100;
  int stops = 0;
  double now = 0, run_s = 1e9;
  std::map<std::tuple<std::string, int, std::uint64_t>, double> started;

  explicit QuotaReclaimTestCluster(int count) {
    SchedulerConfig config;
    config.start_within = {{"urgent", {5, 20}}};
    config.teams = {{"a", 32, 1000, 0, 0}, {"b", 32, 1000, 0, 0}};
    config.report_s = 1;
    config.guarantee_within = 4;
    scheduler = std::make_unique<Scheduler>(config, 1, 0, 5);
    scheduler->set_catalog({plain_type({"z"})});
    for (int i = 0; i < count; ++i) {
      Heartbeat& heartbeat = machines["n-" + std::to_string(i)];
      heartbeat = first_heartbeat("n-" + std::to_string(i), "z");
      heartbeat.seq = 0;
    }
    run(1);
  }
  void submit(const std::string& id, const std::string& team, Priority priority, int tasks, JobKind kind) {
    JobSpec spec = array_spec(id, team, tasks, 8);
    spec.priority = priority;
    spec.kind = kind;
    spec.job_class = "urgent";
    spec.one_zone = kind == JobKind::Gang;
    spec.checkpoint_s = 20;
    spec.save_s = 1;
    scheduler->upsert_job(spec, ++revision, false, now);
  }
  void run(double seconds) {
    for (double end = now + seconds; now < end; now += 0.25) {
      scheduler->tick(now);
      scheduler->schedule(now);
      auto batch = scheduler->next_writes(50, true, now);
      if (!batch.empty()) scheduler->records_written(batch, ++revision, now);
      for (auto& [name, heartbeat] : machines) {
        dispatch(name, heartbeat);
        end_tasks(heartbeat);
        send_heartbeat(name, heartbeat);
      }
    }
  }
  void dispatch(const std::string& name, Heartbeat& heartbeat) {
    Machine* machine = scheduler->machine(name);
    if (!machine || !scheduler->has_commands(*machine)) return;
    const auto batch = scheduler->take_commands(name, now);
    heartbeat.fencing_token = std::max(heartbeat.fencing_token, batch.fencing_token);
    for (const auto& command : batch.commands) execute(heartbeat, command);
    scheduler->dispatch_done(name, batch, Scheduler::DispatchOutcome::Executed, now);
  }
  void end_tasks(Heartbeat& heartbeat) {
    for (auto& task : heartbeat.tasks) {
      const double spread = 0.5 + std::hash<std::string>{}(task.job) % 100 / 100.0;
      if (task.state != TaskState::Running ||
          now - started[{task.job, task.index, task.attempt}] <= run_s * spread)
        continue;
      task.state = TaskState::Exited;
      task.why = ExitReason::Done;
    }
  }
  void send_heartbeat(const std::string& name, Heartbeat& heartbeat) {
    ++heartbeat.seq;
    const auto result = scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
    heartbeat.fencing_token = std::max(heartbeat.fencing_token, result.fencing_token);
    for (const auto& command : result.commands) execute(heartbeat, command);
    scheduler->heartbeat_answered(name, now);
  }
  static bool concerns(const TaskCommand& command, const TaskStatus& task) {
    return task.job == command.job && task.index == command.index && task.attempt == command.attempt;
  }
  void execute(Heartbeat& heartbeat, const TaskCommand& command) {
    switch (command.op) {
      case TaskCommand::Op::Start:
        started[{command.job, command.index, command.attempt}] = now;
        heartbeat.tasks.push_back(
            {command.job, command.index, command.attempt, TaskState::Running, ExitReason::None, false});
        return;
      case TaskCommand::Op::Stop:
        for (auto& task : heartbeat.tasks) {
          if (!concerns(command, task) || task.state == TaskState::Exited) continue;
          task.state = TaskState::Exited;
          task.why = ExitReason::Stopped;
          task.saved = command.grace_s > 0;
          ++stops;
        }
        return;
      case TaskCommand::Op::Forget:
        std::erase_if(heartbeat.tasks, [&](const TaskStatus& task) { return concerns(command, task); });
        return;
    }
  }
  int running(const std::string& id) { return scheduler->running(*scheduler->job(id)); }
};

// Four machines have eight slots, of which each team is guaranteed four. `b` uses seven for gangs of higher
// priority than the job that `a` then submits within its guarantee.
TEST(QuotaReclaim, ReclaimsAGuaranteeFromHigherPriorityOnceAndStopsNoMoreThanNeeded) {
  QuotaReclaimTestCluster cluster(4);
  cluster.submit("b-1", "b", Priority::High, 4, JobKind::Gang);
  cluster.submit("b-2", "b", Priority::High, 2, JobKind::Gang);
  cluster.submit("b-3", "b", Priority::High, 1, JobKind::Gang);
  cluster.run(2);
  ASSERT_EQ(cluster.running("b-1") + cluster.running("b-2") + cluster.running("b-3"), 7);
  cluster.submit("a-1", "a", Priority::Normal, 3, JobKind::Array);
  // Tasks that have just started are not stopped.
  cluster.run(20);
  EXPECT_EQ(cluster.stops, 0);
  EXPECT_EQ(cluster.running("a-1"), 1);
  cluster.run(30);
  EXPECT_EQ(cluster.running("a-1"), 3);
  EXPECT_EQ(cluster.running("b-1"), 4) << "within its own guarantee";
  EXPECT_EQ(cluster.running("b-2") + cluster.running("b-3"), 1)
      << "two slots were claimed, and exactly two were taken";
  EXPECT_EQ(cluster.stops, 2);
  // Afterwards nothing changes: the stopped work claims nothing back.
  cluster.run(120);
  EXPECT_EQ(cluster.stops, 2);
  EXPECT_EQ(cluster.running("a-1"), 3);
}

TEST(QuotaReclaim, DoesNotStopAGangIfThatLeavesItsTeamBelowItsGuarantee) {
  QuotaReclaimTestCluster cluster(4);
  cluster.submit("b-1", "b", Priority::High, 3, JobKind::Gang);
  cluster.submit("b-2", "b", Priority::High, 5, JobKind::Gang);
  cluster.run(40);
  ASSERT_EQ(cluster.running("b-2"), 5);
  // Eight slots are in use, four are guaranteed: without the gang of five `b` would have three, below its
  // guarantee.
  cluster.submit("a-1", "a", Priority::Normal, 2, JobKind::Array);
  cluster.run(60);
  EXPECT_EQ(cluster.stops, 0);
  EXPECT_EQ(cluster.running("a-1"), 0);
}

// A job admitted within its team's guarantee starts although its own team has more urgent work beyond the
// guarantee waiting; once it has started and run undisturbed, it is stopped for that work as usual.
TEST(QuotaReclaim, AJobWithinAGuaranteeStartsBeforeItIsStoppedForItsOwnTeamsUrgentWork) {
  QuotaReclaimTestCluster cluster(2);  // four slots, all guaranteed to `a`
  cluster.submit("a-1", "a", Priority::Normal, 4, JobKind::Array);
  cluster.run(2);
  ASSERT_EQ(cluster.running("a-1"), 4);
  cluster.submit("a-2", "a", Priority::High, 2, JobKind::Gang);  // fits the limit, not the guarantee
  cluster.run(20);
  EXPECT_EQ(cluster.running("a-1"), 4);
  EXPECT_EQ(cluster.stops, 0);
  cluster.run(30);
  EXPECT_EQ(cluster.running("a-2"), 2);
  EXPECT_EQ(cluster.running("a-1"), 2);
}

// Guards against a large gang that starves because work that needs one slot takes each slot as it becomes
// free: a zone is held for a gang that is due if slots become free quickly, but not if the zone would be idle
// for long.
TEST(ZoneHold, AGangThatIsDueStartsAlthoughSmallJobsKeepArriving) {
  QuotaReclaimTestCluster cluster(12);  // 24 slots
  cluster.run_s = 3;
  int submitted = 0;
  auto small_work = [&](double seconds) {
    for (double end = cluster.now + seconds; cluster.now < end;) {
      while (cluster.scheduler->jobs().size() < 60)  // always more than fit
        cluster.submit("s-" + std::to_string(submitted++), "b", Priority::High, 1, JobKind::Gang);
      cluster.run(0.25);
      for (const auto& id : cluster.scheduler->finished_jobs()) cluster.scheduler->forget_job(id);
    }
  };
  small_work(8);
  cluster.submit("gang", "b", Priority::High, 12, JobKind::Gang);
  small_work(15);
  EXPECT_EQ(cluster.running("gang"), 0);
  small_work(6);
  EXPECT_TRUE(!cluster.scheduler->job("gang") || cluster.scheduler->job("gang")->active.size() == 12 ||
              cluster.scheduler->job("gang")->done == 12);
}

}  // namespace
}  // namespace corkmux

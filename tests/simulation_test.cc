// Runs whole clusters in simulated time: scenarios at two cluster sizes, combined faults, and random faults.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <ostream>
#include <tuple>

#include "cluster_simulation.h"
#include "random_faults.h"
#include "simulation_plan_parser.h"
#include "toml_reader.h"

namespace corkmux::simulation {
namespace {

std::string plan_file(const std::string& name) { return std::string(SIMULATIONS) + "/" + name + ".toml"; }

/// Events and problems of the simulation, for a failed test's message.
std::string describe(const ClusterSimulation& simulation) {
  std::string text;
  for (const auto& event : simulation.events()) text += event + "\n";
  for (const auto& problem : simulation.problems()) text += "WRONG: " + problem + "\n";
  return text;
}

/// A scenario's name as part of a test's name.
std::string test_name(std::string scenario) {
  std::replace(scenario.begin(), scenario.end(), '-', '_');
  return scenario;
}

constexpr std::uint64_t kSeeds = 10;

/// Parameters: plan and scenario.
class Simulation : public ::testing::TestWithParam<std::tuple<std::string, std::string>> {
 protected:
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
};

TEST_P(Simulation, HoldsAllRulesAndServesEveryClassAndTeam) {
  auto [plan, scenario] = GetParam();
  // Under any fault, nine polls in ten are answered in time; in poll storms, nineteen in twenty.
  double min_answered = scenario == "asked-and-silent" ? 0.95 : 0.9;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClusterSimulation simulation(load_plan(plan_file(plan), scenario), seed);
    simulation.run();
    EXPECT_TRUE(simulation.good()) << plan << "/" << scenario << " seed " << seed << "\n"
                                   << describe(simulation);
    EXPECT_GT(simulation.checker().starts(), 200);
    EXPECT_GE(simulation.checker().polls_answered(), min_answered * simulation.checker().polls())
        << plan << "/" << scenario << " seed " << seed;
  }
}
INSTANTIATE_TEST_SUITE_P(
    Scenarios, Simulation,
    ::testing::Combine(::testing::Values("forty", "three-hundred"),
                       ::testing::Values("calm", "burst", "restarts", "zone-cut", "zones-apart",
                                         "mass-deaths", "asked-and-silent", "back-at-once", "orders-again")),
    [](const auto& info) { return test_name(std::get<0>(info.param) + "_" + std::get<1>(info.param)); });

/// Two simultaneous faults (docs/combined-faults.md) with long tasks and many cancels. Guards against tasks
/// that keep running after their cancel was confirmed.
struct CancelScenario {
  const char* scenario;
  // the time in which both faults are active, s of simulated time
  double from;
  double to;
  int min_cancels;  // confirmed cancels of running tasks in that time, over all seeds
};
void PrintTo(const CancelScenario& parameters, std::ostream* out) { *out << parameters.scenario; }

class CancelDuringFaults : public ::testing::TestWithParam<CancelScenario> {};

TEST_P(CancelDuringFaults, BreaksNoRule) {
  spdlog::set_level(spdlog::level::off);
  const auto& parameters = GetParam();
  int cancels = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClusterSimulation simulation(load_plan(plan_file("long"), parameters.scenario), seed);
    simulation.run();
    EXPECT_TRUE(simulation.good()) << parameters.scenario << " seed " << seed << "\n" << describe(simulation);
    EXPECT_GT(simulation.checker().starts(), 100);
    cancels += simulation.checker().confirmed_cancellations(parameters.from, parameters.to);
  }
  RecordProperty("cancels", cancels);
  EXPECT_GE(cancels, parameters.min_cancels);
}
INSTANTIATE_TEST_SUITE_P(Scenarios, CancelDuringFaults,
                         ::testing::Values(CancelScenario{"refused-then-away", 90, 95, 5},
                                           CancelScenario{"away-before-anybody-follows", 90, 92, 3},
                                           CancelScenario{"refused-and-alone", 90, 96, 4},
                                           CancelScenario{"late-and-deaf", 50, 180, 80},
                                           CancelScenario{"ends-while-machines-are-deaf", 80, 134, 40},
                                           CancelScenario{"slow-then-refused", 60, 104, 40}),
                         [](const auto& info) { return test_name(info.param.scenario); });

// A simulation of this plan takes long, so fewer seeds are run.
constexpr std::uint64_t kLaunchesHeldBackSeeds = 4;

TEST(LaunchesHeldBack, StartNoCancelledTaskAtWorkersOfLeaseProxies) {
  spdlog::set_level(spdlog::level::off);
  for (std::uint64_t seed = 1; seed <= kLaunchesHeldBackSeeds; ++seed) {
    ClusterSimulation simulation(load_plan(plan_file("partitions"), "launches-held-back"), seed);
    simulation.run();
    EXPECT_TRUE(simulation.good()) << "seed " << seed << "\n" << describe(simulation);
    EXPECT_GT(simulation.checker().confirmed_cancellations(60, 89), 0);
    EXPECT_GT(simulation.network().held_back(), 0u);
  }
}

/// One combination of faults on the operators' page (docs/combined-faults.md). Its occurrences are counted
/// over all seeds, since a run in which it did not occur proves nothing.
struct CombinedFaultsScenario {
  const char* scenario;
  int min_occurrences;
  std::function<int(const ClusterSimulation&)> count;
};
void PrintTo(const CombinedFaultsScenario& parameters, std::ostream* out) { *out << parameters.scenario; }

/// Returns a counter of the task seconds that were lost for that reason.
auto seconds_lost_to(const char* why) {
  return [why](const ClusterSimulation& simulation) {
    const auto& lost = simulation.checker().lost_seconds();
    auto found = lost.find(why);
    return found == lost.end() ? 0 : static_cast<int>(found->second);
  };
}
/// Returns a counter of the cancels of running tasks that were confirmed to users between these times, in s.
auto cancels_between(double from, double to) {
  return [from, to](const ClusterSimulation& simulation) {
    return simulation.checker().confirmed_cancellations(from, to);
  };
}
int count_concurrent_reads(const ClusterSimulation& simulation) {
  bool invalid_requests_too = simulation.checker().invalid_refused() >= 50;
  return invalid_requests_too ? simulation.checker().concurrent_reads() : 0;
}
int count_answers_lost(const ClusterSimulation& simulation) {
  return static_cast<int>(simulation.network().answers_lost());
}
int count_cancels_at_quota_limit(const ClusterSimulation& simulation) {
  return simulation.occurrences().cancelled.at_quota_limit;
}
int count_starts_after_boot(const ClusterSimulation& simulation) {
  return simulation.occurrences().starts_after_boot;
}
int count_heartbeat_copies(const ClusterSimulation& simulation) {
  return static_cast<int>(simulation.occurrences().heartbeat_copies);
}
int count_cancelled_sheets(const ClusterSimulation& simulation) {
  return simulation.checker().by_class().at("sheet").cancelled;
}
int count_held_back(const ClusterSimulation& simulation) {
  return static_cast<int>(simulation.network().held_back());
}
int count_terms(const ClusterSimulation& simulation) { return simulation.terms(); }
int count_cancels_during_zone_cuts(const ClusterSimulation& simulation) {
  return simulation.checker().confirmed_cancellations(70, 100) +
         simulation.checker().confirmed_cancellations(130, 155);
}

class CombinedFaults : public ::testing::TestWithParam<CombinedFaultsScenario> {};

TEST_P(CombinedFaults, BreakNoRule) {
  spdlog::set_level(spdlog::level::off);
  const auto& parameters = GetParam();
  int occurrences = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClusterSimulation simulation(load_plan(plan_file("combined-faults"), parameters.scenario), seed);
    simulation.run();
    EXPECT_TRUE(simulation.good()) << parameters.scenario << " seed " << seed << "\n" << describe(simulation);
    EXPECT_GT(simulation.checker().starts(), 500);
    occurrences += parameters.count(simulation);
  }
  RecordProperty("occurrences", occurrences);
  EXPECT_GE(occurrences, parameters.min_occurrences);
}
INSTANTIATE_TEST_SUITE_P(
    Scenarios, CombinedFaults,
    ::testing::Values(CombinedFaultsScenario{"asked-at-once", 60000, count_concurrent_reads},
                      CombinedFaultsScenario{"answers-lost", 6000, count_answers_lost},
                      CombinedFaultsScenario{"at-the-limit", 200, count_cancels_at_quota_limit},
                      CombinedFaultsScenario{"up-at-once", 30, count_starts_after_boot},
                      CombinedFaultsScenario{"old-report-next", 8000, count_heartbeat_copies},
                      CombinedFaultsScenario{"one-task-jobs", 1500, count_cancelled_sheets},
                      CombinedFaultsScenario{"zone-bound-losses", 100, seconds_lost_to("died")},
                      CombinedFaultsScenario{"held-back", 300, count_held_back},
                      CombinedFaultsScenario{"all-away", 100, seconds_lost_to("lease")},
                      CombinedFaultsScenario{"mute", 100, seconds_lost_to("lease")},
                      CombinedFaultsScenario{"ten-leaders", 90, count_terms},
                      CombinedFaultsScenario{"slow-links", 200, cancels_between(55, 135)},
                      CombinedFaultsScenario{"zone-away", 60, count_cancels_during_zone_cuts},
                      CombinedFaultsScenario{"refused-at-the-cancel", 50, cancels_between(80, 81.5)}),
    [](const auto& info) { return test_name(info.param.scenario); });

// Shifts the cancels through the seconds of a failover, in which a cancelled job could be started again by
// the new leader. term_test checks that no task is assigned once a job's end is stored; the checker counts
// starts after a cancel, without a bound.
TEST(CombinedFaults, CancelsAreMovedThroughTheFailover) {
  spdlog::set_level(spdlog::level::off);
  int cancels = 0;
  for (int step = 0; step < 10; ++step) {
    double moved_s = 0.4 * step;
    auto plan = load_plan(plan_file("combined-faults"), "at-the-handover");
    for (auto& fault : plan.faults)
      if (fault.kind == FaultKind::CancelRunningJobs) fault.at_s += moved_s;
    ClusterSimulation simulation(plan, static_cast<std::uint64_t>(step + 1));
    simulation.run();
    EXPECT_TRUE(simulation.good()) << "moved by " << moved_s << " s\n" << describe(simulation);
    for (double at : {80.0, 120.0, 160.0})
      cancels += simulation.checker().confirmed_cancellations(at, at + 4.5);
  }
  RecordProperty("cancels", cancels);
  EXPECT_GE(cancels, 200);
}

TEST(ClusterSimulation, TheSameSeedGivesTheSameHistory) {
  spdlog::set_level(spdlog::level::off);
  auto run_with_seed = [](std::uint64_t seed) {
    ClusterSimulation simulation(load_plan(plan_file("forty"), "restarts"), seed);
    simulation.run();
    return simulation.report().dump();
  };
  auto first = run_with_seed(5);
  EXPECT_EQ(first, run_with_seed(5));
  EXPECT_NE(first, run_with_seed(6));
}

TEST(SimulationPlan, RefusesAnUnknownFaultAndNamesItsPosition) {
  const std::string good = read_file(plan_file("long"));
  auto error = [&](const std::string& faults) -> std::string {
    try {
      parse_plan(good + "\n[[day]]\nname = \"x\"\nfaults = [" + faults + "]\n", "w.toml", "x");
    } catch (const SettingsError& refused) {
      return refused.what();
    }
    return "";
  };
  EXPECT_EQ(error("{ at_s = 1.0, kind = \"late_writes\", share = 0.5, for_s = 3.0 }"), "");
  auto kind = error("{ at_s = 1.0, kind = \"late_night\" }");
  EXPECT_NE(kind.find("faults[0].kind: no such trouble"), std::string::npos) << kind;
  auto field =
      error("{ at_s = 1.0, kind = \"node_crash\" }, { at_s = 1.0, kind = \"node_crash\", shares = 2.0 }");
  EXPECT_NE(field.find("faults[1].shares: no such field"), std::string::npos) << field;
  // A field of another kind is refused: a fault has only the fields of its own kind.
  auto other = error("{ at_s = 1.0, kind = \"close_looks\", for_s = 3.0, share = 0.5 }");
  EXPECT_NE(other.find("faults[0].share: no such field"), std::string::npos) << other;
  EXPECT_EQ(error("{ at_s = 1.0, kind = \"late_reports\", share = 0.5, for_s = 3.0, for_next = true }"), "");
}

// Random faults are drawn by position, so a changed order would change the faults of each seed.
TEST(FaultKinds, AreNumberedInTheOrderOfTheirNames) {
  const auto& kinds = fault_kinds();
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    EXPECT_EQ(static_cast<std::size_t>(kinds[i].kind), i) << kinds[i].name;
    EXPECT_EQ(fault_kind_named(kinds[i].name), kinds[i].kind) << kinds[i].name;
    if (i > 0) {
      EXPECT_LT(kinds[i - 1].name, kinds[i].name);
    }
  }
  EXPECT_EQ(fault_kind_named("late_night"), std::nullopt);
}

/// Removes faults while the simulation still fails; the remaining faults cause the failure.
std::vector<Fault> shrink(const SimulationPlan& plan, std::uint64_t seed, std::vector<Fault> faults) {
  auto fails = [&](const std::vector<Fault>& subset) {
    SimulationPlan changed = plan;
    changed.faults = subset;
    ClusterSimulation simulation(changed, seed);
    simulation.run();
    return !simulation.good();
  };
  for (bool shorter = true; shorter;) {
    shorter = false;
    auto candidates = rc::shrink::removeChunks(faults);
    while (auto fewer = candidates.next())
      if (fails(*fewer)) {
        faults = *fewer;
        shorter = true;
        break;
      }
  }
  return faults;
}

/// Outside CI, CORKMUX_SIMULATIONS=FIRST-LAST runs that range of seeds. The faults of a failed seed are
/// shrunk and written to a file.
TEST(ClusterSimulation, RandomFaultsBreakNoRule) {
  spdlog::set_level(spdlog::level::off);
  unsigned long first = 1;
  unsigned long last = 12;
  const char* range = std::getenv("CORKMUX_SIMULATIONS");
  if (range) {
    ASSERT_EQ(std::sscanf(range, "%lu-%lu", &first, &last), 2) << "CORKMUX_SIMULATIONS=FIRST-LAST";
  }
  SimulationPlan plan = load_plan(plan_file("forty"), "calm");
  for (auto seed = first; seed <= last; ++seed) {
    plan.faults = draw_faults(plan, 1 + static_cast<int>(seed % 7), seed);
    ClusterSimulation simulation(plan, seed);
    simulation.run();
    if (simulation.good()) continue;
    auto remaining_faults = shrink(plan, seed, plan.faults);
    auto file_name = "failed-simulation-" + std::to_string(seed) + ".toml";
    std::ofstream out(file_name);
    out << "# forty, seed " << seed << "; for a [[day]] of tests/simulations/forty.toml\nfaults = [\n";
    for (const auto& fault : remaining_faults) out << "  " << fault_to_toml(fault) << ",\n";
    out << "]\n";
    ADD_FAILURE() << "seed " << seed << ", kept in " << file_name << "\n" << describe(simulation);
  }
}

}  // namespace
}  // namespace corkmux::simulation

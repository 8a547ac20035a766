// One defect each in election, keeper, lease watch, mail, book, peers, proofs and gateway: a world must find
// it, and is good without it. Built from the same sources with CORKMUX_MUTATIONS.
#include "mutation.h"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "cluster_simulation.h"
#include "scheduler_model.h"
#include "simulation_plan_parser.h"

namespace corkmux::simulation {
namespace {

struct Case {
  const char *defect, *file, *day;
  int seeds;  // of which one at least has to find it; keepers and mail stand in for each other in most
};

class Planted : public ::testing::TestWithParam<Case> {
 protected:
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
  void TearDown() override { enabled_mutation.clear(); }
  static std::vector<std::string> play(const SimulationPlan& plan, std::uint64_t seed, const char* defect) {
    enabled_mutation = defect;
    ClusterSimulation simulation(plan, seed);
    simulation.run();
    return simulation.problems();
  }
};

TEST_P(Planted, IsFoundByAWorldThatIsGoodWithoutIt) {
  auto plan = load_plan(std::string(SIMULATIONS) + "/" + GetParam().file + ".toml", GetParam().day);
  bool found = false;
  for (int seed = 1; seed <= GetParam().seeds && !found; ++seed) {
    auto wrong = play(plan, static_cast<std::uint64_t>(seed), "");
    EXPECT_TRUE(wrong.empty()) << "seed " << seed << ": " << wrong.front();
    found = !play(plan, static_cast<std::uint64_t>(seed), GetParam().defect).empty();
  }
  EXPECT_TRUE(found) << GetParam().defect;
}

std::string part(const ::testing::TestParamInfo<Case>& info) {
  static const std::vector<std::string> parts = {"election", "keeper",  "lease_watch",   "mail",  "book",
                                                 "orders",   "peers",   "proofs",        "gangs", "gateway",
                                                 "serving",  "batches", "relayed_orders"};
  return parts[info.index];
}
INSTANTIATE_TEST_SUITE_P(
    Worlds, Planted,
    ::testing::Values(
        Case{"a term is used twice", "forty", "restarts", 10},
        Case{"a keeper answers before its record is stored", "scarce", "apart-and-leaders-end", 60},
        Case{"keepers are not asked", "scarce", "apart-and-leaders-end", 60},
        Case{"mail for the leader is not read", "scarce", "apart", 60},
        Case{"half a lease counts as a whole one", "forty", "zone-cut", 10},
        Case{"what was cleared can be launched again", "forty", "orders-again", 5},
        Case{"cancels of peers are not heard", "long", "away-before-anybody-follows", 5},
        Case{"what was read before is told again", "combined-faults", "asked-at-once", 2},
        Case{"a gang that is done has left all machines", "combined-faults", "at-the-limit", 40},
        Case{"a repeat of what is stored is refused", "combined-faults", "answers-lost", 2},
        Case{"a serving controller answers without the leader", "serving", "leaders-change", 10},
        Case{"answers of a batch are mixed up", "serving", "servers-crash", 10},
        Case{"an unanswered batch of orders counts as unsent", "serving", "late-batches", 10}),
    part);

/// In the book alone, against a plain model: what is not urgent ends up below half without the floor.
TEST(PlantedFloor, LeavesAClassBelowHalf) {
  auto served = [](const char* defect) {
    enabled_mutation = defect;
    Model model(1, 0);
    model.flood();
    enabled_mutation.clear();
    return static_cast<double>(model.ended["slow"]) / model.came["slow"];
  };
  EXPECT_GE(served(""), 0.5);
  EXPECT_LT(served("nothing is kept for who is in arrears"), 0.5);
}

}  // namespace
}  // namespace corkmux::simulation

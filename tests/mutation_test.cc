// Mutation testing: one defect each in election, lease proxy, lease expiry, store relay, scheduler, cancel
// gossip, linearizable reads, user API and heartbeat fan-in. A simulation must detect the defect, and must
// find no problem without it. Built from the same sources with CORKMUX_MUTATIONS.
#include "mutation.h"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "cluster_simulation.h"
#include "scheduler_model.h"
#include "simulation_plan_parser.h"

namespace corkmux::simulation {
namespace {

struct MutationCase {
  const char* module;
  const char* mutation;
  const char* plan;
  const char* scenario;
  // At least one of these seeds must detect the defect. Lease proxy and store relay compensate for each other
  // with most seeds.
  int seeds;
};
void PrintTo(const MutationCase& parameters, std::ostream* out) { *out << parameters.mutation; }

class Mutation : public ::testing::TestWithParam<MutationCase> {
 protected:
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
  void TearDown() override { enabled_mutation.clear(); }
  /// Problems of the simulation with that mutation; an empty name enables no mutation.
  static std::vector<std::string> problems_of_run(const SimulationPlan& plan, std::uint64_t seed,
                                                  const char* mutation) {
    enabled_mutation = mutation;
    ClusterSimulation simulation(plan, seed);
    simulation.run();
    return simulation.problems();
  }
};

TEST_P(Mutation, IsDetectedByASimulationWithoutOtherProblems) {
  const auto& parameters = GetParam();
  auto plan = load_plan(std::string(SIMULATIONS) + "/" + parameters.plan + ".toml", parameters.scenario);
  bool found = false;
  for (int seed = 1; seed <= parameters.seeds && !found; ++seed) {
    auto problems = problems_of_run(plan, static_cast<std::uint64_t>(seed), "");
    EXPECT_TRUE(problems.empty()) << "seed " << seed << ": " << problems.front();
    found = !problems_of_run(plan, static_cast<std::uint64_t>(seed), parameters.mutation).empty();
  }
  EXPECT_TRUE(found) << parameters.mutation;
}

INSTANTIATE_TEST_SUITE_P(
    Simulations, Mutation,
    ::testing::Values(
        // The mutation also keeps the scheduler from recognizing the other leader's tokens, which would end
        // the second use of the term.
        MutationCase{"election", "a term is used twice", "forty", "restarts", 10},
        MutationCase{"lease_proxy", "a lease proxy answers before its record is stored", "scarce",
                     "apart-and-leaders-end", 60},
        MutationCase{"lease_expiry", "lease proxy records are ignored", "scarce", "apart-and-leaders-end",
                     60},
        MutationCase{"store_relay", "relayed heartbeats for the leader are not read", "scarce", "apart", 60},
        MutationCase{"lease_length", "a lease expires after a half of its length", "forty", "zone-cut", 10},
        MutationCase{"acknowledged_commands", "forgotten attempts can be launched again", "forty",
                     "orders-again", 5},
        MutationCase{"cancel_gossip", "cancels of peers are dropped", "long", "away-before-anybody-follows",
                     5},
        MutationCase{"linearizable_reads", "a known revision is answered without a read", "combined-faults",
                     "asked-at-once", 2},
        MutationCase{"gangs", "a gang that is done has left all machines", "combined-faults", "at-the-limit",
                     40},
        MutationCase{"user_api", "a repeated submission is refused", "combined-faults", "answers-lost", 2},
        MutationCase{"heartbeat_fanin", "a fan-in member answers without the leader", "serving",
                     "leaders-change", 10},
        MutationCase{"heartbeat_batches", "answers of a batch are swapped", "serving", "servers-crash", 10},
        MutationCase{"command_batches", "an unanswered batch of commands counts as unsent", "serving",
                     "late-batches", 10}),
    [](const auto& info) { return std::string(info.param.module); });

/// The scheduler alone, against a plain model: without starvation protection less than half of the class that
/// is not urgent is served.
TEST(ReservedCapacityMutation, LeavesAClassBelowHalf) {
  auto served = [](const char* mutation) {
    enabled_mutation = mutation;
    Model model(1, 0);
    model.run_overload();
    enabled_mutation.clear();
    return static_cast<double>(model.ended["slow"]) / model.submitted["slow"];
  };
  EXPECT_GE(served(""), 0.5);
  EXPECT_LT(served("no machines are kept for starving classes and teams"), 0.5);
}

}  // namespace
}  // namespace corkmux::simulation

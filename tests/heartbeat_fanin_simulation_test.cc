// Whole clusters in stepped time whose workers are served by all controllers: what may fail on the way of
// reports and orders, at forty and three hundred machines.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "cluster_simulation.h"
#include "simulation_plan_parser.h"

namespace corkmux::simulation {
namespace {

std::string file(const char* name) { return std::string(SIMULATIONS) + "/" + name + ".toml"; }

/// The plan of that size with the day's troubles, five controllers, and sockets too few for a leader alone.
SimulationPlan plan_of(int machines, const std::string& day) {
  auto plan = load_plan(file("serving"), day);
  if (machines < 300) return plan;
  auto large = load_plan(file("three-hundred"));
  large.faults = plan.faults;
  for (auto& f : large.faults)
    if (!f.zones.empty()) f.zones = {large.zones[0], large.zones[1]};
  large.controllers.clear();
  for (std::size_t i = 0; i < 5; ++i) large.controllers.push_back(large.zones[i % large.zones.size()]);
  large.site.max_connections = 400;
  return large;
}

class Serving : public ::testing::TestWithParam<std::tuple<int, std::string>> {};

TEST_P(Serving, HoldsAllRulesAndServesEveryClassAndTeam) {
  spdlog::set_level(spdlog::level::off);
  auto [machines, day] = GetParam();
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ClusterSimulation simulation(plan_of(machines, day), seed);
    simulation.run();
    std::string told;
    for (const auto& e : simulation.events()) told += e + "\n";
    for (const auto& p : simulation.problems()) told += "WRONG: " + p + "\n";
    EXPECT_TRUE(simulation.good()) << day << " seed " << seed << "\n" << told;
    EXPECT_GT(simulation.checker().starts(), 200);
    // Without batches and orders between controllers nothing was tried.
    const auto& requests = simulation.network().peer_requests();
    ASSERT_TRUE(requests.count("/peer/reports") && requests.count("/peer/orders")) << day << " seed " << seed;
    EXPECT_GT(requests.at("/peer/reports"), 500u);
    EXPECT_GT(requests.at("/peer/orders"), 50u);
  }
}
INSTANTIATE_TEST_SUITE_P(
    Worlds, Serving,
    ::testing::Combine(::testing::Values(40, 300),
                       ::testing::Values("servers-crash", "servers-hang", "servers-lose-the-leader",
                                         "servers-lose-workers", "servers-lose-the-state-service",
                                         "leaders-change", "late-batches", "workers-move")),
    [](const auto& info) {
      auto name = std::get<1>(info.param) + "_" + std::to_string(std::get<0>(info.param));
      std::replace(name.begin(), name.end(), '-', '_');
      return name;
    });

}  // namespace
}  // namespace corkmux::simulation

// Simulations of whole clusters with heartbeat fan-in: faults on the routes of heartbeats and commands, with
// 40 and 300 machines.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "cluster_simulation.h"
#include "simulation_plan_parser.h"

namespace corkmux::simulation {
namespace {

std::string plan_file(const char* name) { return std::string(SIMULATIONS) + "/" + name + ".toml"; }

/// The plan for that many machines with the faults of the scenario. The large one has five controllers, and
/// too few sockets for a leader that takes all heartbeats alone.
SimulationPlan plan_of(int machines, const std::string& scenario) {
  auto plan = load_plan(plan_file("serving"), scenario);
  if (machines < 300) return plan;
  auto large = load_plan(plan_file("three-hundred"));
  large.faults = plan.faults;
  for (auto& fault : large.faults)
    if (!fault.zones.empty()) fault.zones = {large.zones[0], large.zones[1]};
  large.controllers.clear();
  for (std::size_t i = 0; i < 5; ++i) large.controllers.push_back(large.zones[i % large.zones.size()]);
  large.site.max_connections = 400;
  return large;
}

/// Parameters: machines and scenario.
class HeartbeatFanin : public ::testing::TestWithParam<std::tuple<int, std::string>> {};

TEST_P(HeartbeatFanin, KeepsAllInvariantsAndServesEveryClassAndTeam) {
  spdlog::set_level(spdlog::level::off);
  auto [machines, scenario] = GetParam();
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ClusterSimulation simulation(plan_of(machines, scenario), seed);
    simulation.run();
    std::string description;
    for (const auto& event : simulation.events()) description += event + "\n";
    for (const auto& problem : simulation.problems()) description += "WRONG: " + problem + "\n";
    EXPECT_TRUE(simulation.good()) << scenario << " seed " << seed << "\n" << description;
    EXPECT_GT(simulation.checker().starts(), 200);
    // Without batches and commands between controllers the simulation has not exercised the fan-in.
    const auto& requests = simulation.network().peer_requests();
    ASSERT_TRUE(requests.contains("/peer/reports") && requests.contains("/peer/orders"))
        << scenario << " seed " << seed;
    EXPECT_GT(requests.at("/peer/reports"), 500u);
    EXPECT_GT(requests.at("/peer/orders"), 50u);
  }
}
INSTANTIATE_TEST_SUITE_P(
    Scenarios, HeartbeatFanin,
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

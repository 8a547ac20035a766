// Plays a simulated cluster from its file and prints what happened. Exit status: 0 when every rule held and
// every class and team was served, 1 when not, 2 when the file cannot be played.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "cluster_simulation.h"

int main(int argc, char** argv) {
  CLI::App app{"corkmux-simulator: plays a whole cluster, simulated, from one seed"};
  std::string file, scenario, json;
  std::uint64_t seed = 1;
  app.add_option("file", file, "the plan (TOML; docs/simulation.md)")->required();
  app.add_option("--day", scenario, "which of its scenarios; the first if not given");
  app.add_option("--seed", seed, "where chance begins");
  app.add_option("--json", json, "also write the report there as JSON");
  CLI11_PARSE(app, argc, argv);

  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>()));
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
  spdlog::set_formatter(corkmux::simulation::log_formatter());
  try {
    corkmux::simulation::ClusterSimulation simulation(corkmux::simulation::load_plan(file, scenario), seed);
    simulation.run();
    std::cout << simulation.report_text();
    if (!json.empty()) {
      std::ofstream out(json);
      out << simulation.report().dump(2) << "\n";
      if (!out.flush()) throw std::runtime_error(json + ": cannot be written");
    }
    return simulation.good() ? 0 : 1;
  } catch (const std::exception& e) {
    std::cerr << "corkmux-simulator: " << e.what() << "\n";
    return 2;
  }
}

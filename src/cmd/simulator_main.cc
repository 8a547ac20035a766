// Runs a simulation from its plan and prints a report. Exit status: 0 if no protocol rule was violated and
// every class and team was served, 1 if not, 2 if the plan cannot be run.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "cluster_simulation.h"
#include "log_formatter.h"
#include "logging.h"
#include "program.h"
#include "simulation_plan_parser.h"

namespace {

constexpr int kCannotRun = 2;  // exit status

struct Arguments {
  std::string file;
  std::string scenario;
  std::string json_file;
  std::uint64_t seed = 1;
};

int run(const Arguments& arguments) {
  corkmux::simulation::ClusterSimulation simulation(
      corkmux::simulation::load_plan(arguments.file, arguments.scenario), arguments.seed);
  simulation.run();
  std::cout << simulation.report_text();
  if (!arguments.json_file.empty()) {
    std::ofstream out(arguments.json_file);
    out << simulation.report().dump(2) << "\n";
    if (!out.flush()) throw std::runtime_error(arguments.json_file + ": cannot be written");
  }
  return simulation.good() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"corkmux-simulator: simulates a whole cluster from one random seed"};
  Arguments arguments;
  app.add_option("file", arguments.file, "the plan (TOML; docs/simulation.md)")->required();
  app.add_option("--day", arguments.scenario, "the scenario to run; default: the first of the plan");
  app.add_option("--seed", arguments.seed, "the random seed");
  app.add_option("--json", arguments.json_file, "also write the report there as JSON");
  CLI11_PARSE(app, argc, argv);

  corkmux::start_logging(corkmux::simulation::log_formatter(), spdlog::level::off);
  return corkmux::run_program("corkmux-simulator", kCannotRun, [&] { return run(arguments); });
}

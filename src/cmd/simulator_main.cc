// Plays a simulation from its file and prints what happened. Exit status: 0 when every rule held and every
// class and team was served, 1 when not, 2 when the file cannot be played.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "cluster_simulation.h"
#include "log_formatter.h"
#include "logging.h"
#include "program.h"
#include "simulation_plan_parser.h"

namespace {

constexpr int kCannotPlay = 2;  // exit status

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
  CLI::App app{"corkmux-simulator: plays a whole cluster, simulated, from one seed"};
  Arguments arguments;
  app.add_option("file", arguments.file, "the plan (TOML; docs/simulation.md)")->required();
  app.add_option("--day", arguments.scenario, "which of its scenarios; the first if not given");
  app.add_option("--seed", arguments.seed, "where the random draws begin");
  app.add_option("--json", arguments.json_file, "also write the report there as JSON");
  CLI11_PARSE(app, argc, argv);

  corkmux::start_logging(corkmux::simulation::log_formatter(), spdlog::level::off);
  return corkmux::run_program("corkmux-simulator", kCannotPlay, [&] { return run(arguments); });
}

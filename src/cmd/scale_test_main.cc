// Runs deployed controllers against hollow workers and measures what each role uses. Exit status: 0 when
// every rule held and every class and team was served, 1 when not, 2 when the plan cannot be run.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "hollow_worker_host.h"
#include "logging.h"
#include "scale_test_run.h"
#include "state_host.h"

namespace {

using namespace corkmux;

struct Arguments {
  std::string file;
  std::string json;
  // Each replaces what the plan has, unless 0:
  int workers = 0;
  int controllers = 0;
  int teams = 0;
  double starts_per_s = 0;
  double for_s = 0;
  double run_s = 0;
  double tasks_per_job = 0;
  std::string controller;  // program; empty: the one beside this program
  // For the processes that a run starts itself:
  std::string role = "run";
  std::string collector;             // address
  std::string controller_addresses;  // name=address, separated by commas
  int host = 0;
  int network = 10;
};

/// What the command line says goes before what the file says.
scale_test::ScaleTestPlan plan_of(const Arguments& arguments) {
  auto plan = scale_test::load_scale_plan(arguments.file);
  if (arguments.workers > 0) {
    plan.accelerators *= static_cast<double>(arguments.workers) / plan.workers;
    plan.workers = arguments.workers;
  }
  if (arguments.controllers > 0) plan.controllers = arguments.controllers;
  if (arguments.teams > 0) plan.teams = arguments.teams;
  if (arguments.starts_per_s > 0) plan.starts_per_s = arguments.starts_per_s;
  if (arguments.run_s > 0) plan.run_s = arguments.run_s;
  if (arguments.for_s > 0) plan.for_s = arguments.for_s;
  if (arguments.tasks_per_job > 0) plan.resize_arrays(static_cast<int>(arguments.tasks_per_job));
  if (plan.warm_s >= plan.for_s) throw SettingsError(arguments.file + ": warm_s: not shorter than the run");
  if (plan.workers <= plan.single_workers + plan.zones)
    throw SettingsError(arguments.file + ": workers: fewer than zones and single_workers");
  auto left_out = plan.drop_gangs_that_do_not_fit();
  if (arguments.role == "run")
    for (const auto& line : left_out) std::cerr << line << "\n";
  return plan;
}

std::vector<std::string> overrides_of(const Arguments& arguments) {
  std::vector<std::string> out;
  auto add = [&out](const char* name, double value) {
    if (value > 0) out.insert(out.end(), {name, fmt::format("{}", value)});
  };
  add("--workers", arguments.workers);
  add("--controllers", arguments.controllers);
  add("--teams", arguments.teams);
  add("--starts-per-s", arguments.starts_per_s);
  add("--run-s", arguments.run_s);
  add("--for", arguments.for_s);
  add("--tasks-per-job", arguments.tasks_per_job);
  return out;
}

std::map<std::string, std::string> addresses_of(const std::string& text) {
  std::map<std::string, std::string> out;
  std::istringstream entries(text);
  for (std::string entry; std::getline(entries, entry, ',');) {
    auto at = entry.find('=');
    out[entry.substr(0, at)] = entry.substr(at + 1);
  }
  return out;
}

int host_workers(const Arguments& arguments) {
  auto plan = plan_of(arguments);
  Loop loop;
  scale_test::HollowWorkerHost host(loop, plan, arguments.host, arguments.network,
                                    addresses_of(arguments.controller_addresses), arguments.collector);
  loop.run();
  return 0;
}

int host_state(const Arguments& arguments) {
  auto plan = plan_of(arguments);
  Loop loop;
  scale_test::StateHost host(loop, plan, arguments.collector);
  loop.run();
  return 0;
}

int run(const Arguments& arguments) {
  auto plan = plan_of(arguments);
  if (auto why = scale_test::refusal(plan); !why.empty()) throw SettingsError(arguments.file + ": " + why);
  auto own = std::filesystem::read_symlink("/proc/self/exe");
  auto controller =
      arguments.controller.empty() ? (own.parent_path() / "corkmux").string() : arguments.controller;
  if (!std::filesystem::exists(controller)) throw SettingsError(controller + ": no such program");
  Loop loop;
  scale_test::ScaleTestRun run(loop, plan, {own.string(), controller},
                               std::filesystem::absolute(arguments.file).string(), overrides_of(arguments));
  int interrupted = 0;
  auto interrupt = [&](int signal) {
    interrupted = signal;
    loop.stop();
  };
  SignalWatcher on_terminate(loop, SIGTERM, [&] { interrupt(SIGTERM); });
  SignalWatcher on_interrupt(loop, SIGINT, [&] { interrupt(SIGINT); });
  run.start([&] { loop.stop(); });
  loop.run();
  if (interrupted) {
    std::cerr << "interrupted: every process of the run is ended\n";
    return 128 + interrupted;
  }
  std::cout << run.report_text();
  if (!arguments.json.empty()) {
    std::ofstream out(arguments.json);
    out << run.account().dump(2) << "\n";
    if (!out.flush()) throw std::runtime_error(arguments.json + ": cannot be written");
  }
  return run.good() ? 0 : 1;
}

void add_options(CLI::App& app, Arguments& arguments) {
  app.add_option("file", arguments.file, "the plan (TOML)")->required();
  app.add_option("--workers", arguments.workers,
                 "hollow workers, instead of the plan's; accelerators follow");
  app.add_option("--starts-per-s", arguments.starts_per_s, "task starts a second");
  app.add_option("--run-s", arguments.run_s,
                 "s that a task runs; with --starts-per-s the tasks that run at once");
  app.add_option("--tasks-per-job", arguments.tasks_per_job,
                 "tasks of each array, instead of the plan's sizes");
  app.add_option("--teams", arguments.teams, "teams with quotas");
  app.add_option("--for", arguments.for_s, "s of load");
  app.add_option("--controllers", arguments.controllers, "controllers, one process each");
  app.add_option("--json", arguments.json, "also write the account there as JSON");
  app.add_option("--controller-program", arguments.controller,
                 "the controllers' program; beside this one if not given");
  // For the processes that a run starts itself.
  app.add_option("--role", arguments.role)->group("");
  app.add_option("--collector", arguments.collector)->group("");
  app.add_option("--host", arguments.host)->group("");
  app.add_option("--network", arguments.network)->group("");
  app.add_option("--controller-addresses", arguments.controller_addresses)->group("");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "corkmux-scale-test: runs deployed controllers, one process each, against hollow workers (real "
      "sockets,\n"
      "reports, leases, orders and image times; no task is executed), a stand-in state service and cloud, "
      "and\n"
      "users. Prints processor time, memory, sockets, messages and waits, and holds the rules of the "
      "protocol\n"
      "against what was seen. Ends with status 1 when a rule broke or less than half of a class or team was\n"
      "served, with 2 when the plan is wrong or too large for this machine.\n"
      "Plans: benchmarks/scale/small.toml (seconds), benchmarks/scale/target.toml (the operators' fleet)."};
  Arguments arguments;
  add_options(app, arguments);
  CLI11_PARSE(app, argc, argv);
  log_to_stderr();
  try {
    if (arguments.role == "workers") return host_workers(arguments);
    if (arguments.role == "state") return host_state(arguments);
    return run(arguments);
  } catch (const std::exception& error) {
    std::cerr << "corkmux-scale-test: " << error.what() << "\n";
    return 2;
  }
}

// Runs deployed controllers against hollow workers and measures what each role uses. Exit status: 0 if
// no protocol rule was violated and every class and team was served, 1 if not, 2 if the plan cannot be run.
#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "hollow_worker_host.h"
#include "logging.h"
#include "machine_limits.h"
#include "plan_overrides.h"
#include "program.h"
#include "scale_test_plan_parser.h"
#include "scale_test_run.h"
#include "state_host.h"

namespace {

using namespace corkmux;

constexpr int kRulesBroken = 1;         // exit status
constexpr int kCannotRun = 2;           // exit status
constexpr int kSignalExitStatus = 128;  // plus the signal's number, as in shells

struct Arguments {
  std::string file;
  std::string json;
  scale_test::PlanOverrides overrides;
  std::string controller;  // path of the program; empty: in this program's directory
  // For the child processes of a run:
  std::string role = "run";
  std::string collector;             // address
  std::string controller_addresses;  // name=address, separated by commas
  int host = 0;
  int network = 10;
};

/// Throws SettingsError. Only the run itself prints the gangs that were left out, not each of its child
/// processes.
scale_test::ScaleTestPlan load_plan(const Arguments& arguments) {
  auto plan = scale_test::load_scale_plan(arguments.file);
  arguments.overrides.apply(plan, arguments.file);
  auto left_out = plan.drop_gangs_that_do_not_fit();
  if (arguments.role == "run")
    for (const auto& line : left_out) std::cerr << line << "\n";
  return plan;
}

std::map<std::string, std::string> split_addresses(const std::string& text) {
  std::map<std::string, std::string> addresses;
  std::istringstream entries(text);
  for (std::string entry; std::getline(entries, entry, ',');) {
    auto at = entry.find('=');
    addresses[entry.substr(0, at)] = entry.substr(at + 1);
  }
  return addresses;
}

int host_workers(const Arguments& arguments) {
  auto plan = load_plan(arguments);
  Loop loop;
  scale_test::HollowWorkerHost host(loop, plan,
                                    {arguments.host, arguments.network,
                                     split_addresses(arguments.controller_addresses), arguments.collector});
  loop.run();
  return 0;
}

int host_state(const Arguments& arguments) {
  auto plan = load_plan(arguments);
  Loop loop;
  scale_test::StateHost host(loop, plan, arguments.collector);
  loop.run();
  return 0;
}

/// Throws SettingsError if the controllers' program does not exist.
scale_test::Programs find_programs(const Arguments& arguments) {
  scale_test::Programs programs;
  auto own = std::filesystem::read_symlink("/proc/self/exe");
  programs.own = own.string();
  programs.own_arguments = arguments.overrides.to_arguments();
  programs.own_arguments.insert(programs.own_arguments.begin(),
                                std::filesystem::absolute(arguments.file).string());
  programs.controller =
      arguments.controller.empty() ? (own.parent_path() / "corkmux").string() : arguments.controller;
  if (!std::filesystem::exists(programs.controller))
    throw SettingsError(programs.controller + ": no such program");
  return programs;
}

/// Runs until the plan is complete or SIGTERM or SIGINT arrives; returns the signal, if any.
std::optional<int> run_until_signal(Loop& loop, scale_test::ScaleTestRun& run) {
  std::optional<int> interrupted;
  auto interrupt = [&](int signal) {
    interrupted = signal;
    loop.stop();
  };
  SignalWatcher on_terminate(loop, SIGTERM, [&] { interrupt(SIGTERM); });
  SignalWatcher on_interrupt(loop, SIGINT, [&] { interrupt(SIGINT); });
  run.start([&] { loop.stop(); });
  loop.run();
  return interrupted;
}

void write_json(const std::string& file, const scale_test::RunReport& report) {
  std::ofstream out(file);
  out << report.to_json().dump(2) << "\n";
  if (!out.flush()) throw std::runtime_error(file + ": cannot be written");
}

int run(const Arguments& arguments) {
  auto plan = load_plan(arguments);
  scale_test::check_machine_limits(plan, arguments.file);
  auto programs = find_programs(arguments);
  Loop loop;
  scale_test::ScaleTestRun run(loop, plan, programs);
  if (auto signal = run_until_signal(loop, run)) {
    std::cerr << "interrupted: every process of the run was terminated\n";
    return kSignalExitStatus + *signal;
  }
  auto report = run.report();
  std::cout << report.to_text();
  if (!arguments.json.empty()) write_json(arguments.json, report);
  if (auto why = report.not_run()) {
    std::cerr << "not run: " << *why << "\n";
    return kCannotRun;
  }
  return report.good() ? 0 : kRulesBroken;
}

int run_role(const Arguments& arguments) {
  if (arguments.role == "workers") return host_workers(arguments);
  if (arguments.role == "state") return host_state(arguments);
  return run(arguments);
}

void add_options(CLI::App& app, Arguments& arguments) {
  auto& overrides = arguments.overrides;
  app.add_option("file", arguments.file, "the plan (TOML)")->required();
  app.add_option("--workers", overrides.workers,
                 "hollow workers, instead of the plan's; accelerators follow");
  app.add_option("--starts-per-s", overrides.starts_per_s, "task starts a second");
  app.add_option("--run-s", overrides.run_s,
                 "s that a task runs; with --starts-per-s the tasks that run at once");
  app.add_option("--tasks-per-job", overrides.tasks_per_job,
                 "tasks of each array, instead of the plan's sizes");
  app.add_option("--teams", overrides.teams, "teams with quotas");
  app.add_option("--for", overrides.for_s, "s of load");
  app.add_option("--controllers", overrides.controllers, "controllers, one process each");
  app.add_option("--seed", overrides.seed, "the seed, instead of the plan's");
  app.add_option("--random-faults", overrides.random_faults,
                 "draw so many faults from the seed, instead of the plan's");
  app.add_option("--json", arguments.json, "also write the report there as JSON");
  app.add_option("--controller-program", arguments.controller,
                 "the controllers' program; default: corkmux in this program's directory");
  // For the child processes of a run.
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
      "heartbeats, leases, commands and image times; no task is executed), a simulated state service and "
      "cloud, "
      "and\n"
      "users. Prints processor time, memory, sockets, messages and waits, and checks what happened against "
      "the\n"
      "rules of the protocol. Exits with status 1 if a rule was violated or less than half of a class or "
      "team\n"
      "was served, with 2 if the plan or an option is invalid or too large for this machine, or if the run\n"
      "could not do its work.\n"
      "Plans: benchmarks/scale/small.toml (seconds), benchmarks/scale/target.toml (the operators' fleet)."};
  Arguments arguments;
  add_options(app, arguments);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kCannotRun;
  }
  log_to_stderr();
  return run_program("corkmux-scale-test", kCannotRun, [&] { return run_role(arguments); });
}

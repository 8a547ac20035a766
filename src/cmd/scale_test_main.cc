// Runs deployed controllers against hollow workers and measures what each role uses. Exit status: 0 when
// every rule held and every class and team was served, 1 when not, 2 when the plan cannot be run.
#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "hollow_worker_host.h"
#include "scale_test_run.h"
#include "state_host.h"

namespace {

using namespace corkmux;

struct Arguments {
  std::string file, json, controller, role = "run", collector, controller_addresses;
  int workers = 0, controllers = 0, teams = 0, host = 0, network = 10;
  double starts_per_s = 0, for_s = 0, run_s = 0, tasks_per_job = 0;
};

/// What the command line says goes before what the file says.
scale_test::ScaleTestPlan plan_of(const Arguments& a) {
  auto plan = scale_test::load_scale_plan(a.file);
  if (a.workers > 0) {
    plan.accelerators *= static_cast<double>(a.workers) / plan.workers;
    plan.workers = a.workers;
  }
  if (a.controllers > 0) plan.controllers = a.controllers;
  if (a.teams > 0) plan.teams = a.teams;
  if (a.starts_per_s > 0) plan.starts_per_s = a.starts_per_s;
  if (a.run_s > 0) plan.run_s = a.run_s;
  if (a.for_s > 0) plan.for_s = a.for_s;
  if (a.tasks_per_job > 0) plan.resize_arrays(static_cast<int>(a.tasks_per_job));
  if (plan.warm_s >= plan.for_s) throw SettingsError(a.file + ": warm_s: not shorter than the run");
  if (plan.workers <= plan.single_workers + plan.zones)
    throw SettingsError(a.file + ": workers: fewer than zones and single_workers");
  auto left_out = plan.drop_gangs_that_do_not_fit();
  if (a.role == "run")
    for (const auto& line : left_out) std::cerr << line << "\n";
  return plan;
}

std::vector<std::string> overrides_of(const Arguments& a) {
  std::vector<std::string> out;
  auto add = [&out](const char* name, double value) {
    if (value > 0) out.insert(out.end(), {name, fmt::format("{}", value)});
  };
  add("--workers", a.workers);
  add("--controllers", a.controllers);
  add("--teams", a.teams);
  add("--starts-per-s", a.starts_per_s);
  add("--run-s", a.run_s);
  add("--for", a.for_s);
  add("--tasks-per-job", a.tasks_per_job);
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

int host_workers(const Arguments& a) {
  auto plan = plan_of(a);
  Loop loop;
  scale_test::HollowWorkerHost host(loop, plan, a.host, a.network, addresses_of(a.controller_addresses),
                                    a.collector);
  loop.run();
  return 0;
}

int host_state(const Arguments& a) {
  auto plan = plan_of(a);
  Loop loop;
  scale_test::StateHost host(loop, plan, a.collector);
  loop.run();
  return 0;
}

int run(const Arguments& a) {
  auto plan = plan_of(a);
  if (auto why = scale_test::refusal(plan); !why.empty()) throw SettingsError(a.file + ": " + why);
  auto own = std::filesystem::read_symlink("/proc/self/exe");
  auto controller = a.controller.empty() ? (own.parent_path() / "corkmux").string() : a.controller;
  if (!std::filesystem::exists(controller)) throw SettingsError(controller + ": no such program");
  Loop loop;
  scale_test::ScaleTestRun run(loop, plan, {own.string(), controller},
                               std::filesystem::absolute(a.file).string(), overrides_of(a));
  int interrupted = 0;
  SignalWatcher terminate(loop, SIGTERM, [&] { interrupted = SIGTERM, loop.stop(); });
  SignalWatcher interrupt(loop, SIGINT, [&] { interrupted = SIGINT, loop.stop(); });
  run.start([&] { loop.stop(); });
  loop.run();
  if (interrupted) {
    std::cerr << "interrupted: every process of the run is ended\n";
    return 128 + interrupted;
  }
  std::cout << run.report_text();
  if (!a.json.empty()) {
    std::ofstream out(a.json);
    out << run.account().dump(2) << "\n";
    if (!out.flush()) throw std::runtime_error(a.json + ": cannot be written");
  }
  return run.good() ? 0 : 1;
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
  Arguments a;
  app.add_option("file", a.file, "the plan (TOML)")->required();
  app.add_option("--workers", a.workers, "hollow workers, instead of the plan's; accelerators follow");
  app.add_option("--starts-per-s", a.starts_per_s, "task starts a second");
  app.add_option("--run-s", a.run_s, "s that a task runs; with --starts-per-s the tasks that run at once");
  app.add_option("--tasks-per-job", a.tasks_per_job, "tasks of each array, instead of the plan's sizes");
  app.add_option("--teams", a.teams, "teams with quotas");
  app.add_option("--for", a.for_s, "s of load");
  app.add_option("--controllers", a.controllers, "controllers, one process each");
  app.add_option("--json", a.json, "also write the account there as JSON");
  app.add_option("--controller-program", a.controller,
                 "the controllers' program; beside this one if not given");
  // For the processes that a run starts itself.
  app.add_option("--role", a.role)->group("");
  app.add_option("--collector", a.collector)->group("");
  app.add_option("--host", a.host)->group("");
  app.add_option("--network", a.network)->group("");
  app.add_option("--controller-addresses", a.controller_addresses)->group("");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>()));
  try {
    if (a.role == "workers") return host_workers(a);
    if (a.role == "state") return host_state(a);
    return run(a);
  } catch (const std::exception& e) {
    std::cerr << "corkmux-scale-test: " << e.what() << "\n";
    return 2;
  }
}

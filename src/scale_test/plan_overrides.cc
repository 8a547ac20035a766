#include "plan_overrides.h"

#include <fmt/format.h>

#include "random_process_faults.h"

namespace corkmux::scale_test {

void PlanOverrides::apply(ScaleTestPlan& plan, const std::string& file) const {
  if (workers > 0) {
    plan.accelerators *= static_cast<double>(workers) / plan.workers;
    plan.workers = workers;
  }
  if (controllers > 0) plan.controllers = controllers;
  if (teams > 0) plan.teams = teams;
  if (starts_per_s > 0) plan.starts_per_s = starts_per_s;
  if (run_s > 0) plan.run_s = run_s;
  if (for_s > 0) plan.for_s = for_s;
  if (seed) plan.seed = *seed;
  if (tasks_per_job > 0) plan.resize_arrays(static_cast<int>(tasks_per_job));
  if (plan.warm_s >= plan.for_s) throw SettingsError(file + ": warm_s: not shorter than the run");
  if (plan.workers <= plan.single_workers + plan.zones)
    throw SettingsError(file + ": workers: fewer than zones and single_workers");
  if (random_faults > 0) plan.faults = draw_faults(plan, random_faults);
}

std::vector<std::string> PlanOverrides::to_arguments() const {
  std::vector<std::string> arguments;
  auto add = [&arguments](const char* name, double value) {
    if (value > 0) arguments.insert(arguments.end(), {name, fmt::format("{}", value)});
  };
  add("--workers", workers);
  add("--controllers", controllers);
  add("--teams", teams);
  add("--starts-per-s", starts_per_s);
  add("--run-s", run_s);
  add("--for", for_s);
  add("--tasks-per-job", tasks_per_job);
  if (seed) arguments.insert(arguments.end(), {"--seed", std::to_string(*seed)});
  return arguments;
}

}  // namespace corkmux::scale_test

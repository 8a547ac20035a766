#include "progress_sampler.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace corkmux::simulation {
namespace {

/// Number of tasks that must start together.
int tasks_at_once(const JobSpec& spec) { return spec.kind == JobKind::Gang ? spec.tasks : 1; }

/// Jobs with an equal key fit the same machines, so their fit is computed once.
std::string fit_key(const JobSpec& spec) {
  return fmt::format("{}/{}/{}", spec.job_class, spec.team, tasks_at_once(spec));
}

}  // namespace

std::vector<std::string> ProgressSampler::fitting_jobs() const {
  std::optional<std::vector<FreeMachine>> machines;  // computed on first use
  std::map<std::string, bool> fits_by_key;
  std::vector<std::string> fitting;
  for (const auto& waiting_job : sources_.checker.waiting_jobs(sources_.registry)) {
    const JobSpec& spec = waiting_job.job->spec;
    auto [entry, inserted] = fits_by_key.try_emplace(fit_key(spec), false);
    if (inserted && within_quota(spec)) {
      if (!machines) machines = free_machines();
      entry->second = fits(spec, *machines);
    }
    if (entry->second) fitting.push_back(spec.id);
  }
  return fitting;
}

bool ProgressSampler::within_quota(const JobSpec& spec) const {
  auto team = std::find_if(sources_.teams.begin(), sources_.teams.end(),
                           [&](const Team& candidate) { return candidate.name == spec.team; });
  Resources use = sources_.checker.team_usage(spec.team);
  use += spec.resources_to_start();
  return team->allows(use);
}

bool ProgressSampler::reachable(const MachineFleet::Machine& machine) const {
  const auto& processes = sources_.controllers.processes();
  return std::any_of(processes.begin(), processes.end(), [&](const auto& process) {
    return process->responsive() && sources_.simulator.network().connected(*machine.host, process->host());
  });
}

std::vector<ProgressSampler::FreeMachine> ProgressSampler::free_machines() const {
  std::vector<FreeMachine> free;
  for (const auto& [name, machine] : sources_.machines.machines())
    if (machine.usable() && reachable(machine))
      free.push_back({machine.worker.get(), machine.worker->free()});
  return free;
}

bool ProgressSampler::fits(const JobSpec& spec, const std::vector<FreeMachine>& machines) {
  std::map<std::string, int> slots;  // by zone if all tasks must be in one zone
  for (const auto& machine : machines) {
    const auto& facts = machine.worker->facts();
    if (!spec.allows_type(facts.type.name)) continue;
    if (spec.zone && *spec.zone != facts.zone) continue;
    if (facts.spot && !spec.spot) continue;
    int& count = slots[spec.one_zone ? facts.zone : ""];
    count += spec.need.times_in(machine.free);
    if (count >= tasks_at_once(spec)) return true;
  }
  return false;
}

}  // namespace corkmux::simulation

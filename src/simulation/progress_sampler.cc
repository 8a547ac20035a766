#include "progress_sampler.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace corkmux::simulation {
namespace {

/// Tasks that have to start together.
int tasks_at_once(const JobSpec& spec) { return spec.kind == JobKind::Gang ? spec.tasks : 1; }

/// Jobs alike fit alike.
std::string shape_of(const JobSpec& spec) {
  return fmt::format("{}/{}/{}", spec.job_class, spec.team, tasks_at_once(spec));
}

}  // namespace

std::vector<std::string> ProgressSampler::fitting_jobs() const {
  std::optional<std::vector<FreeMachine>> machines;  // looked up once it is needed
  std::map<std::string, bool> fits_by_shape;
  std::vector<std::string> fitting;
  for (const auto& open : sources_.checker.waiting_jobs(sources_.registry)) {
    const JobSpec& spec = open.job->spec;
    auto [known, fresh] = fits_by_shape.try_emplace(shape_of(spec), false);
    if (fresh && within_quota(spec)) {
      if (!machines) machines = free_machines();
      known->second = fits(spec, *machines);
    }
    if (known->second) fitting.push_back(spec.id);
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
  std::map<std::string, int> places;  // by zone if all tasks have to be in one
  for (const auto& machine : machines) {
    const auto& facts = machine.worker->facts();
    if (!spec.allows_type(facts.type.name)) continue;
    if (spec.zone && *spec.zone != facts.zone) continue;
    if (facts.spot && !spec.spot) continue;
    int& count = places[spec.one_zone ? facts.zone : ""];
    count += spec.need.times_in(machine.free);
    if (count >= tasks_at_once(spec)) return true;
  }
  return false;
}

}  // namespace corkmux::simulation

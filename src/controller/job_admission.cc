#include "job_admission.h"

#include <algorithm>

#include "controller_constants.h"

namespace corkmux {
namespace {

/// Whether the type is offered in the zone; a type that names no zones is offered in all of them.
bool offered_in(const MachineType& type, const std::string& zone) {
  return type.zones.empty() || std::find(type.zones.begin(), type.zones.end(), zone) != type.zones.end();
}

bool fits(const JobSpec& job, const MachineType& type) {
  if (!job.allows_type(type.name)) return false;
  if (job.zone && !offered_in(type, *job.zone)) return false;
  return job.need.fits(type.size);
}

}  // namespace

bool JobAdmission::fits_some_type(const JobSpec& job) const {
  const auto& types = catalog_.types();
  return std::any_of(types.begin(), types.end(), [&](const MachineType& type) { return fits(job, type); });
}

std::optional<AdmissionError> JobAdmission::check(const JobSpec& job) const {
  auto team = std::find_if(settings_.teams.begin(), settings_.teams.end(),
                           [&](const Team& candidate) { return candidate.name == job.team; });
  if (team == settings_.teams.end()) return AdmissionError{"unknown team"};
  if (!fits_some_type(job)) return AdmissionError{"a task fits no machine type that the job allows"};
  int tasks_at_once = job.kind == JobKind::Array ? 1 : job.tasks;
  Resources all{job.need.cpus * tasks_at_once, job.need.gpus * tasks_at_once,
                job.need.memory_gb * tasks_at_once};
  if (!team->allows(all)) return AdmissionError{"the job needs more than its team's limit"};
  // A spread job has at most half of its tasks in one zone, and all of these tasks run at once.
  if (job.spread && tasks_at_once > 1 && (job.one_zone || job.zone))
    return AdmissionError{"its tasks run at once, in one zone, and must be spread over zones"};
  return std::nullopt;
}

bool JobAdmission::state_reachable() const {
  return steady_now() - state_.last_contact() < constants::kStateStoreLostAfter;
}

}  // namespace corkmux

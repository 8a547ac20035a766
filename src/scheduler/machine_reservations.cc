#include "machine_reservations.h"

#include <algorithm>

namespace corkmux {
namespace c = constants;
namespace {

double run_s(const JobSpec& spec) { return spec.estimate_s > 0 ? spec.estimate_s : c::kDefaultJobEstimate; }

double largest_share(const Resources& use, const Resources& all) {
  return std::max(use.cpus / all.cpus, use.gpus / all.gpus);
}

}  // namespace

bool MachineReservations::excludes(const Job& job, const std::string& type, int reservation_tier) const {
  return is_reserved(reservation_tier) && reserved_types_.contains(type) && !is_starving(job);
}

std::vector<ReservedCapacity::WaitingJob> MachineReservations::estimate_waits(
    const std::vector<const Job*>& waiting, double now) const {
  const Resources all{std::max(1.0, state_.capacity_index().all_cpus()),
                      std::max(1.0, state_.capacity_index().all_gpus()), 0};
  std::vector<ReservedCapacity::WaitingJob> waits;
  Resources work_ahead;  // CPU and accelerator seconds of the jobs ahead in the queue
  for (const Job* job : waiting) {
    const JobSpec& spec = job->spec;
    // A job held back by its own team's limit does not wait for other jobs' capacity, and a job that fails by
    // itself is not starved by other jobs: neither counts towards a deficit.
    if (state_.within_limit(spec.team, job->need_to_start) && !job->fails_by_itself) {
      double wait_s = work_ahead.cpus / all.cpus;
      if (spec.need.gpus > 0) wait_s = std::max(wait_s, work_ahead.gpus / all.gpus);
      const double waited_s = now - job->ready_at;
      waits.push_back({&spec.job_class, &spec.team, waited_s, waited_s + wait_s + run_s(spec),
                       largest_share(state_.class_use(spec.job_class), all),
                       largest_share(state_.team_use(spec.team), all)});
    }
    const double seconds = job->queued * run_s(spec);
    work_ahead += {seconds * spec.need.cpus, seconds * spec.need.gpus, 0};
  }
  return waits;
}

void MachineReservations::note_changes() {
  auto starving = capacity_.starving();
  if (starving == noted_starving_) return;
  noted_starving_ = std::move(starving);
  if (noted_starving_.empty()) {
    state_.note("no class or team is starving any more: no machines are reserved");
    return;
  }
  std::string names;
  for (const auto& name : noted_starving_) names += (names.empty() ? "" : ", ") + name;
  state_.note("starving, less than half of the jobs would be served: " + names +
              "; machines are reserved for them");
}

void MachineReservations::add_usable_types(const JobSpec& spec) {
  auto usable = [&](const MachineType& type) {
    return spec.allows_type(type.name) && spec.need.fits(type.size);
  };
  // No accelerator machines are reserved for a job that fits on a type without accelerators.
  const auto& types = state_.catalog();
  const bool fits_without_gpus = std::any_of(types.begin(), types.end(), [&](const MachineType& type) {
    return usable(type) && type.size.gpus <= 0;
  });
  for (const auto& type : types)
    if (usable(type) && !(fits_without_gpus && type.size.gpus > 0)) reserved_types_.insert(type.name);
}

void MachineReservations::update(const std::vector<const Job*>& waiting, double now) {
  capacity_.update(estimate_waits(waiting, now), now);
  note_changes();
  reserved_types_.clear();
  if (capacity_.reservation_tiers() == 0) return;
  for (const Job* job : waiting)
    if (is_starving(*job)) add_usable_types(job->spec);
}

}  // namespace corkmux

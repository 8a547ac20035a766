#include "placement.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace corkmux {
namespace c = constants;
namespace {

/// The most tasks of the job that may run in one zone.
int most_in_zone(const JobSpec& spec) { return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks; }

/// A value that changes linearly between heartbeats, extrapolated to `now`.
double extrapolated(double value, double slope, const Machine& machine, double now) {
  const double age = std::max(0.0, now - machine.worker.last_heartbeat_at);
  return std::max(0.0, value + age * slope);
}

double utility(const Machine& machine, double fetch_s, double now) {
  const double slack = extrapolated(machine.slack(), machine.load.slack_slope, machine, now);
  const double heat = extrapolated(machine.load.heat, machine.load.heat_slope, machine, now);
  return std::log2(1 + slack) - c::kHeatWeight * std::log2(1 + heat) - c::kFetchWeight * fetch_s;
}

bool set_gang_waiting_reason(Job& job) {
  job.why = std::string("waiting: no ") + (job.spec.one_zone ? "zone has" : "zones have") +
            " room for all its tasks at once";
  return false;
}

/// The index of the first queued task; nullopt if none is queued.
std::optional<int> next_queued(Job& job) {
  while (job.cursor < job.spec.tasks && job.phase[static_cast<std::size_t>(job.cursor)] != TaskPhase::Queued)
    ++job.cursor;
  if (job.cursor >= job.spec.tasks) return std::nullopt;
  return job.cursor;
}

}  // namespace

// ---------------------------------------------------------------- zones

double Placement::fetch_time(const JobSpec& spec, const CandidateGroup& group) const {
  if (group.single) return state_.fetch_time(spec, *group.single);
  if (group.bucket->images.contains(spec.image)) return 0;
  const MachineType* type = state_.type(group.pool->type);
  return type ? spec.image_gb / type->fetch_gb_per_s : spec.image_gb;
}

void Placement::add_group(const JobSpec& spec, const CandidateGroup& group, double now,
                          ZoneCapacity& zone) const {
  const auto machines = static_cast<double>(group.machine_count);
  zone.machines += machines;
  zone.slots += static_cast<int>(machines) * group.tasks_per_machine;
  zone.fetch_s = std::min(zone.fetch_s, fetch_time(spec, group));
  if (group.single) {
    const Machine& machine = *group.single;
    zone.slack += extrapolated(machine.slack(), machine.load.slack_slope, machine, now);
    zone.heat += extrapolated(machine.load.heat, machine.load.heat_slope, machine, now);
    return;
  }
  const double share = machines / static_cast<double>(group.bucket->machines.size());
  zone.slack += share * std::max(0.0, group.bucket->slack.at(now));
  zone.heat += share * std::max(0.0, group.bucket->heat.at(now));
}

Placement::CapacityByZone Placement::capacity_by_zone(const JobSpec& spec,
                                                      const std::vector<CandidateGroup>& groups,
                                                      double now) const {
  CapacityByZone zones;
  for (const auto& group : groups) add_group(spec, group, now, zones[group.pool->zone]);
  return zones;
}

/// All zones in random order, drawn one after the other by softmax of their utility. For a gang that must
/// stay in one zone, only zones with slots for all its tasks are included.
std::vector<std::string> Placement::draw_zones(const JobSpec& spec, const CapacityByZone& zones) {
  const bool needs_whole_zone = spec.kind == JobKind::Gang && spec.one_zone;
  std::vector<std::string> names;
  std::vector<double> weights;
  for (const auto& [name, zone] : zones) {
    if (needs_whole_zone && zone.slots < spec.tasks) continue;
    const double zone_utility = std::log2(1 + zone.slack / zone.machines) -
                                c::kHeatWeight * std::log2(1 + zone.heat) - c::kFetchWeight * zone.fetch_s;
    names.push_back(name);
    weights.push_back(std::exp2(zone_utility / c::kZoneDrawTemperature));
  }
  std::vector<std::string> order;
  while (!names.empty()) {
    const std::size_t drawn = random_.draw_weighted(weights);
    order.push_back(std::move(names[drawn]));
    names.erase(names.begin() + static_cast<std::ptrdiff_t>(drawn));
    weights.erase(weights.begin() + static_cast<std::ptrdiff_t>(drawn));
  }
  return order;
}

// ---------------------------------------------------------------- machines

/// The best of a sample of the candidates. A little noise keeps leaders that act at the same time from
/// choosing the same machine.
Placement::Choice Placement::pick_machine(const JobSpec& spec, const std::vector<CandidateGroup>& groups,
                                          double now) {
  std::normal_distribution<double> noise(0, c::kScoreNoise);
  Choice best;
  double best_score = -std::numeric_limits<double>::infinity();
  std::size_t machines = 0;
  for (const auto& group : groups) machines += group.machine_count;
  for (std::size_t position : random_.sample(machines, c::kSampleSize)) {
    ++items_examined_;
    const CandidateGroup* group = groups.data();
    for (; position >= group->machine_count; ++group) position -= group->machine_count;
    Machine& machine = group->machine(position);
    const double fetch_s = state_.fetch_time(spec, machine);
    double score = utility(machine, fetch_s, now) + noise(random_.generator());
    if (spec.need.gpus <= 0 && machine.size.gpus > 0) score -= c::kAcceleratorPenalty;
    if (score <= best_score) continue;
    best = {&machine, fetch_s};
    best_score = score;
  }
  return best;
}

// ---------------------------------------------------------------- gangs

bool Placement::place_gang(Job& job, double now) {
  const JobSpec& spec = job.spec;
  if (!state_.within_limit(spec.team, job.need_to_start)) {
    job.why = "waiting: the team's limit leaves no room for the whole gang";
    return false;
  }
  if (search_.known_not_to_fit(job, now)) return set_gang_waiting_reason(job);
  // Suspect machines are included in the second pass: using them is better than waiting without end.
  for (Suspects suspects : {Suspects::LastResort, Suspects::Included}) {
    const CapacityByZone zones = capacity_by_zone(spec, search_.find(job, suspects, now), now);
    const std::vector<std::string> order = draw_zones(spec, zones);
    // All tasks of a gang are equal, so the number of slots in a zone does not depend on the order of
    // machines.
    int slots = 0;
    for (const auto& zone : order) {
      const int in_zone = std::min(most_in_zone(spec), zones.at(zone).slots);
      slots = spec.one_zone ? std::max(slots, in_zone) : slots + in_zone;
    }
    if (slots >= spec.tasks) return assign_gang(job, suspects, order, now);
  }
  search_.note_not_fitting(job, now);
  return set_gang_waiting_reason(job);
}

bool Placement::assign_gang(Job& job, Suspects suspects, const std::vector<std::string>& zones, double now) {
  const JobSpec& spec = job.spec;
  const std::optional<std::uint64_t> attempt = state_.sequence().next();
  if (!attempt) return set_gang_waiting_reason(job);
  const int tasks_per_pick = (spec.tasks + c::kPicksPerGang - 1) / c::kPicksPerGang;
  double slowest_fetch_s = 0;
  int assigned = 0;
  for (const auto& zone : zones)
    for (int in_zone = 0; in_zone < most_in_zone(spec) && assigned < spec.tasks;) {
      const int wanted = std::min({tasks_per_pick, most_in_zone(spec) - in_zone, spec.tasks - assigned});
      const auto groups = search_.find_in_zone(job, suspects, now, zone, wanted);
      const Choice choice = pick_machine(spec, groups, now);
      if (!choice.machine) break;
      slowest_fetch_s = std::max(slowest_fetch_s, choice.fetch_s);
      const Machine& machine = *choice.machine;
      const int members = std::clamp(tasks_fitting(spec.need, machine.free, machine.task_slots()), 1, wanted);
      for (int i = 0; i < members; ++i) lifecycle_.assign(job, assigned++, *choice.machine, *attempt, now);
      in_zone += members;
    }
  if (assigned < spec.tasks) {
    lifecycle_.abort_gang(job, now);
    return set_gang_waiting_reason(job);
  }
  note_gang_placed(job, slowest_fetch_s, now);
  return true;
}

void Placement::note_gang_placed(const Job& job, double slowest_fetch_s, double now) {
  if (!state_.config().details) return;
  details_.push_back(fmt::format("job {} ({}): {} tasks placed in {} after {:.1f} s, slowest fetch {:.1f} s",
                                 job.spec.id, job.spec.job_class, job.spec.tasks,
                                 job.active.begin()->second.zone, now - job.ready_at, slowest_fetch_s));
}

/// A large gang needs many slots at once, while smaller work takes each slot as it becomes free. Once the
/// gang is due, one zone is held for it if the missing capacity is expected to be free within kMaxZoneHold,
/// at the zone's recent rate of freed capacity. Where many tasks end each second the hold costs almost
/// nothing; where few end it would leave half a zone idle.
void Placement::hold_zone_for_gang(const Job& job, double now) {
  const JobSpec& spec = job.spec;
  if (!job.is_gang() || !spec.one_zone || !job.active.empty()) return;
  std::string best;
  int most_slots = 0;
  for (const auto& [name, zone] : capacity_by_zone(spec, search_.find(job, Suspects::LastResort, now), now)) {
    if (zone.slots <= most_slots || search_.is_held(name)) continue;
    best = name;
    most_slots = zone.slots;
  }
  const auto freed_per_s = freed_capacity_.rate(best, now);
  if (!freed_per_s) return;
  const bool by_gpus = spec.need.gpus > 0;
  const double rate = by_gpus ? freed_per_s->gpus : freed_per_s->cpus;
  const double missing = (spec.tasks - most_slots) * (by_gpus ? spec.need.gpus : spec.need.cpus);
  if (missing <= rate * c::kMaxZoneHold) search_.hold_zone(best, spec.id);
}

// ---------------------------------------------------------------- single tasks

std::vector<CandidateGroup> Placement::candidates_for_task(const Job& job,
                                                           const std::map<std::string, int>& tasks_in_zone,
                                                           double now) {
  if (search_.known_not_to_fit(job, now)) return {};
  auto groups = search_.find(job, Suspects::Included, now);
  if (!job.spec.spread) return groups;
  std::erase_if(groups, [&](const CandidateGroup& group) {
    auto tasks = tasks_in_zone.find(group.pool->zone);
    return tasks != tasks_in_zone.end() && tasks->second >= most_in_zone(job.spec);
  });
  return groups;
}

int Placement::place_tasks(Job& job, int budget, double now) {
  const JobSpec& spec = job.spec;
  int placed = 0;
  std::map<std::string, int> tasks_in_zone;
  if (spec.spread)  // else nobody asks for it, and a job may have 100,000 tasks
    for (const auto& [index, task] : job.active) ++tasks_in_zone[task.zone];
  // All tasks placed in this call share one attempt number: each task is placed at most once per call. A job
  // that waits takes no number, since waiting jobs are tried in every cycle.
  std::optional<std::uint64_t> attempt;
  // A job that fails by itself runs one task at a time: one task shows the failure as well as all would.
  if (job.fails_by_itself) budget = job.active.empty() ? 1 : 0;
  while (placed < budget && job.queued > 0) {
    if (!state_.within_limit(spec.team, spec.need)) {
      job.why = "waiting: the team is at its limit";
      break;
    }
    auto groups = candidates_for_task(job, tasks_in_zone, now);
    if (groups.empty()) {
      search_.note_not_fitting(job, now);
      job.why = "waiting: no machine it may use has room";
      break;
    }
    const std::string zone = draw_zones(spec, capacity_by_zone(spec, groups, now)).front();
    std::erase_if(groups, [&](const CandidateGroup& group) { return group.pool->zone != zone; });
    const Choice choice = pick_machine(spec, groups, now);
    const std::optional<int> index = next_queued(job);
    if (!choice.machine || !index) break;
    if (!attempt) attempt = state_.sequence().next();
    if (!attempt) break;
    lifecycle_.assign(job, *index, *choice.machine, *attempt, now);
    ++tasks_in_zone[choice.machine->zone];
    ++placed;
  }
  return placed;
}

}  // namespace corkmux

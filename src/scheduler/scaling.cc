#include "scaling.h"

#include <algorithm>
#include <cmath>

namespace corkmux {
namespace c = constants;
namespace {

constexpr double kRounding = 1e-9;

/// The machines of one type, and how many more the waiting jobs need.
struct TypeDemand {
  int busy = 0;
  int idle = 0;
  int booting = 0;
  std::map<std::string, int> machines_in_zone;
  std::vector<const Machine*> returnable;
  double wanted = 0;  // machines for waiting tasks
  bool spot_allowed = false;
};

using DemandByType = std::map<std::string, TypeDemand>;

/// When idle machines are returned.
struct IdlePolicy {
  bool quiet = false;  // no job was there for long: no idle machine is kept in reserve
  double limit_s = 0;  // an idle machine is returned after that
};

IdlePolicy idle_policy(const Scheduler& scheduler, const OperatorChoices& choices, double now) {
  const double usual_pause_s = std::max(c::kIdleMinimum, c::kIdleGaps * scheduler.arrival_gap());
  const double quiet_after_s = std::min(choices.idle_return_s, usual_pause_s);
  const bool quiet = scheduler.idle_for(now) > quiet_after_s;
  return {quiet, quiet ? quiet_after_s : choices.idle_return_s};
}

/// Whether a booting machine still counts as one that will come up; not if the boot takes far longer than in
/// the catalog.
bool may_still_boot(const Machine& machine, const MachineType* type, double now) {
  return type && now - machine.provisioned_at < 2 * type->boot_s + c::kBootGrace;
}

void count_machine(const Scheduler& scheduler, const Machine& machine, double idle_limit_s, double now,
                   TypeDemand& demand) {
  if (!machine.is_up()) {
    if (!may_still_boot(machine, scheduler.type(machine.type), now)) return;
    ++demand.booting;
    ++demand.machines_in_zone[machine.zone];
    return;
  }
  ++demand.machines_in_zone[machine.zone];
  if (!machine.tasks.empty()) {
    ++demand.busy;
    return;
  }
  ++demand.idle;
  if (now - machine.idle_since > idle_limit_s && scheduler.usable(machine, now))
    demand.returnable.push_back(&machine);
}

/// How many tasks of the job an empty machine of the type takes.
int tasks_per_machine(const JobSpec& spec, const MachineType& type) {
  return tasks_fitting(spec.need, type.size, c::kTaskSlotsCounted);
}

/// The machine types that may run the job, the cheapest per task first.
std::vector<const MachineType*> types_by_cost(const Scheduler& scheduler, const JobSpec& spec) {
  std::vector<const MachineType*> types;
  for (const auto& type : scheduler.catalog())
    if (spec.allows_type(type.name) && tasks_per_machine(spec, type) > 0) types.push_back(&type);
  auto cost_per_task = [&](const MachineType& type) { return type.price / tasks_per_machine(spec, type); };
  std::sort(types.begin(), types.end(), [&](const MachineType* left, const MachineType* right) {
    return cost_per_task(*left) < cost_per_task(*right);
  });
  return types;
}

/// Adds the demand of waiting jobs to the cheapest type that may run them. Returns the second cheapest type,
/// keyed by the name of the cheapest.
std::map<std::string, const MachineType*> add_waiting_jobs(const Scheduler& scheduler, double now,
                                                           DemandByType& demand_by_type) {
  std::map<std::string, const MachineType*> overflow_types;
  for (const auto& [id, job] : scheduler.jobs()) {
    if (!job.ready()) continue;
    const auto types = types_by_cost(scheduler, job.spec);
    if (types.empty()) continue;
    const MachineType& cheapest = *types[0];
    TypeDemand& demand = demand_by_type[cheapest.name];
    if (job.spec.spot) demand.spot_allowed = true;
    if (types.size() > 1) overflow_types[cheapest.name] = types[1];
    if (job.queued > 0 && job.not_before <= now)
      demand.wanted += static_cast<double>(job.queued) / tasks_per_machine(job.spec, cheapest);
  }
  return overflow_types;
}

/// How many machines of the type are missing; negative if there are more than needed.
int missing_machines(const TypeDemand& demand, const OperatorChoices& choices) {
  const double in_use = std::max(0.0, demand.busy + std::ceil(demand.wanted - kRounding));
  const int headroom = in_use > 0 ? choices.headroom_machines : 0;
  const int target =
      static_cast<int>(std::ceil(in_use * (1 + choices.headroom_share) - kRounding)) + headroom;
  return target - (demand.busy + demand.idle + demand.booting);
}

/// The type's zones in which the cloud has not recently refused such machines.
std::vector<std::string> zones_not_refused(const MachineType& type, bool spot,
                                           const RefusedUntil& refused_until, double now) {
  std::vector<std::string> zones;
  for (const auto& zone : type.zones) {
    auto refused = refused_until.find({type.name, zone, spot});
    if (refused == refused_until.end() || refused->second <= now) zones.push_back(zone);
  }
  return zones;
}

/// How many of the missing machines to request in each zone, so that zones end up with equally many machines.
std::map<std::string, int> spread_over_zones(const std::vector<std::string>& zones, int missing,
                                             std::map<std::string, int> machines_in_zone) {
  std::map<std::string, int> requested;
  for (int i = 0; i < std::min(missing, c::kMaxScaleOut); ++i) {
    const auto& zone =
        *std::min_element(zones.begin(), zones.end(), [&](const std::string& left, const std::string& right) {
          return machines_in_zone[left] < machines_in_zone[right];
        });
    ++requested[zone];
    ++machines_in_zone[zone];
  }
  return requested;
}

/// Requests on-demand machines, or spot machines if no zone is left for these. Returns whether there was any
/// zone to request machines in.
bool request_machines(const MachineType& type, const TypeDemand& demand, int missing,
                      const RefusedUntil& refused_until, double now, ScalingPlan& plan) {
  for (bool spot : {false, true}) {
    if (spot && !demand.spot_allowed) continue;
    const auto zones = zones_not_refused(type, spot, refused_until, now);
    if (zones.empty()) continue;
    for (const auto& [zone, count] : spread_over_zones(zones, missing, demand.machines_in_zone))
      plan.scale_out.push_back({type.name, zone, spot, count});
    return true;
  }
  return false;
}

/// Plans the return of `surplus` machines, those that have been idle for longest first.
void return_idle(std::vector<const Machine*>& returnable, int surplus, ScalingPlan& plan) {
  std::sort(returnable.begin(), returnable.end(),
            [](const Machine* left, const Machine* right) { return left->idle_since < right->idle_since; });
  for (const Machine* machine : returnable) {
    if (surplus <= 0) return;
    --surplus;
    plan.scale_in.push_back(machine->name);
  }
}

}  // namespace

ScalingPlan plan_scaling(const Scheduler& scheduler, const OperatorChoices& choices,
                         const RefusedUntil& refused_until, double now) {
  ScalingPlan plan;
  if (!choices.manage_fleet) return plan;
  const IdlePolicy idle = idle_policy(scheduler, choices, now);
  DemandByType demand_by_type;
  for (const auto& [name, machine] : scheduler.machines()) {
    if (machine.is_decommissioning() || machine.is_faulty() || machine.reclaim_at) continue;
    count_machine(scheduler, machine, idle.limit_s, now, demand_by_type[machine.type]);
  }
  const auto overflow_types = add_waiting_jobs(scheduler, now, demand_by_type);

  auto types = scheduler.catalog();
  std::sort(types.begin(), types.end(),
            [](const MachineType& left, const MachineType& right) { return left.price < right.price; });
  const int kept_in_reserve = idle.quiet ? 0 : 1;
  for (const auto& type : types) {
    TypeDemand& demand = demand_by_type[type.name];
    const int missing = missing_machines(demand, choices);
    if (missing < -kept_in_reserve) return_idle(demand.returnable, -missing - kept_in_reserve, plan);
    if (missing <= 0) continue;
    if (request_machines(type, demand, missing, refused_until, now, plan)) continue;
    // The demand that this type cannot meet moves to the next type that may run the jobs.
    auto overflow = overflow_types.find(type.name);
    if (overflow != overflow_types.end() && overflow->second->price > type.price)
      demand_by_type[overflow->second->name].wanted += missing / (1 + choices.headroom_share);
  }
  return plan;
}

}  // namespace corkmux

#include "machine_lifecycle.h"

#include <algorithm>

#include "constants.h"
#include "mutation.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

// ---------------------------------------------------------------- provisioning and return

void MachineLifecycle::machine_provisioned(const std::string& name, const std::string& type,
                                           const std::string& zone, bool spot, double now) {
  if (was_returned(name)) return;
  auto [machine, added] = state_.add_machine(name, now);
  if (!added) return;
  machine.type = type;
  machine.zone = zone;
  machine.spot = spot;
  if (const MachineType* known = state_.type(type)) {
    machine.size = known->size;
    machine.free = known->size;
  }
}

bool MachineLifecycle::has_observed_long_enough(double now) const {
  const double since = std::max(state_.started_at(), observing_since_);
  return now - since > c::kDeadAfterHeartbeats * state_.config().report_s;
}

bool MachineLifecycle::boot_timed_out(const Machine& machine, double now) const {
  const MachineType* type = state_.type(machine.type);
  return !machine.is_up() && !machine.is_decommissioning() && type &&
         now - machine.provisioned_at > c::kBootTimeoutFactor * type->boot_s + c::kBootGrace &&
         has_observed_long_enough(now);
}

void MachineLifecycle::machines_listed(const std::vector<ListedMachine>& machines, double now) {
  for (const ListedMachine& listed : machines) {
    machine_provisioned(listed.name, listed.type, listed.zone, listed.spot, now - listed.age_s);
    if (was_returned(listed.name)) continue;
    Machine& machine = state_.machines().at(listed.name);
    if (machine.type.empty()) {  // added only because a task record names it
      machine.type = listed.type;
      machine.zone = listed.zone;
      machine.spot = listed.spot;
    }
    if (machine.address.empty() && !state_.machine_at(listed.address))
      state_.set_address(machine, listed.address);
    if (listed.phase == ListedMachine::Phase::Failed && !machine.is_decommissioning()) {
      state_.note("machine " + listed.name + " is listed as failed by the cloud: returned");
      decommission(listed.name, now);
    }
    if (boot_timed_out(machine, now)) {
      state_.note("machine " + listed.name + " sent no heartbeat within its boot time limit: returned");
      decommission(listed.name, now);
    }
  }
}

void MachineLifecycle::decommission(const std::string& name, double now) {
  Machine* machine = state_.machine(name);
  if (!machine || machine->is_decommissioning()) return;
  machine->service = MachineService::Decommissioning;
  for (const TaskId& id : std::set<TaskId>(machine->tasks)) {
    Job* job = state_.job(id.job);
    const ActiveTask* task = job ? job->find_active(id.index) : nullptr;
    if (task && task->stage == Stage::Assigned) lifecycle_.withdraw(*job, id.index, now);
  }
  state_.reindex(*machine, now);
}

std::vector<std::string> MachineLifecycle::decommissioning() const {
  std::vector<std::string> out;
  for (const auto& [name, machine] : state_.machines())
    if (machine.is_decommissioning()) out.push_back(name);
  return out;
}

void MachineLifecycle::machines_deleted(const std::vector<std::string>& names, double now) {
  for (const std::string& name : names) {
    Machine* machine = state_.machine(name);
    if (!machine) continue;
    // The cloud's 200 response confirms that the machine and every task on it are gone.
    lifecycle_.mark_all_lost(*machine, "was returned", now);
    state_.remove_machine(name);
    returned_.insert(name);
    // Names ascend in order of creation, so the first is the oldest and the first to disappear from late
    // heartbeats and lists.
    if (returned_.size() > c::kReturnedNames) returned_.erase(returned_.begin());
  }
}

bool MachineLifecycle::can_drain(const Machine& machine, const Job& job, const ActiveTask& task,
                                 double now) const {
  if (task.stop || job.spec.checkpoint_s <= 0) return false;
  if (task.stage != Stage::Running && task.stage != Stage::Waiting && task.stage != Stage::Fetching)
    return false;
  const bool too_late = machine.reclaim_at && *machine.reclaim_at - now < job.spec.save_s;
  return !too_late || machine.is_faulty();
}

void MachineLifecycle::drain(Machine& machine, double now) {
  for (const TaskId& id : std::set<TaskId>(machine.tasks)) {
    Job* job = state_.job(id.job);
    const ActiveTask* task = job ? job->find_active(id.index) : nullptr;
    if (!task || !can_drain(machine, *job, *task, now)) continue;
    const double grace_s = job->spec.save_s + c::kCancelReserve;
    if (job->is_gang()) {
      // A gang can save only if every member receives its stop at the same time.
      job->draining = true;
      for (const auto& [index, member] : job->active) state_.request_stop(*job, index, grace_s);
    } else {
      state_.request_stop(*job, id.index, grace_s);
    }
    job->why = "moved off a machine that is given back";
  }
}

// ---------------------------------------------------------------- silence and leases

void MachineLifecycle::count_silent_machines(double now) {
  struct ZoneCount {
    int silent = 0;
    int all = 0;
  };
  std::map<std::string, ZoneCount> zones;
  any_silent_ = false;
  for (const auto& [name, machine] : state_.machines()) {
    if (!machine.is_up() || machine.is_decommissioning()) continue;
    ZoneCount& zone = zones[machine.zone];
    ++zone.all;
    if (!state_.silent(machine, now)) continue;
    ++zone.silent;
    any_silent_ = true;
  }
  for (const auto& [name, zone] : zones)
    if (zone.silent > std::max(1.0, c::kMaxSilentShare * zone.all))
      partitioned_until_[name] = now + state_.config().lease_s;
}

// One or two silent machines of a zone are dead. Many at once mean a network partition, after which they
// return one by one. A machine whose lease a lease proxy renews is not dead either: its tasks continue to run
// on the other side of a partition.
bool MachineLifecycle::is_dead(const Machine& machine, double now) const {
  if (!machine.is_up() || machine.is_decommissioning()) return false;
  if (now - machine.worker.last_heartbeat_at <= c::kDeadAfterHeartbeats * state_.config().report_s ||
      !has_observed_long_enough(now))
    return false;
  const auto partitioned = partitioned_until_.find(machine.zone);
  return now >= (partitioned == partitioned_until_.end() ? 0 : partitioned->second) &&
         now >= machine.worker.renewed_by_proxy_until;
}

void MachineLifecycle::tick(double now) {
  count_silent_machines(now);
  for (auto& [name, machine] : state_.machines()) {
    if (!machine.takes_commands_directly() && now >= machine.commands.next_probe_at && machine.is_up()) {
      machine.commands.channel = CommandChannel::Direct;
      state_.mark_for_dispatch(name);
    }
    if (is_dead(machine, now)) {
      state_.note("machine " + name + " is silent: returned to the cloud");
      decommission(name, now);
    }
    failures_.update_health(machine, now);
    if (!machine.is_faulty() || machine.is_decommissioning()) continue;
    drain(machine, now);
    if (machine.tasks.empty()) decommission(name, now);
  }
  state_.remove_unknown_machines();
}

void MachineLifecycle::process_stalled(double now) {
  const SchedulerConfig& config = state_.config();
  observing_since_ = now;
  // Workers may have switched to another controller during the stall, and return one by one.
  for (const auto& zone : config.zones) {
    double& until = partitioned_until_[zone];
    until = std::max(until, now + config.lease_s);
  }
  lifecycle_.extend_reservations(now + config.report_s * c::kDeadAfterHeartbeats);
}

std::vector<std::string> MachineLifecycle::machines_with_expired_leases(double now) const {
  const SchedulerConfig& config = state_.config();
  double lease = config.lease_s * (1 + c::kClockDrift) + c::kTimeoutSafetyMargin;
  if (mutation_enabled("a lease expires after a half of its length")) lease /= 2;
  std::vector<std::string> out;
  for (const auto& [name, machine] : state_.machines()) {
    if (machine.tasks.empty()) continue;
    // The last time at which the worker's lease may have been renewed: by this leader, by a lease proxy, or
    // by a former leader that has lost the state store and still renews leases for keepalive() s. A former
    // leader cannot renew it any more once the worker has reported a token of this term.
    const bool has_token_of_term = machine.worker.observed_token > state_.sequence().base();
    const double renewed_by_others_until =
        has_token_of_term ? machine.worker.term_token_observed_at : state_.started_at() + config.keepalive();
    const double renewed_until = std::max({machine.worker.last_reply_at, machine.worker.last_launch_at,
                                           machine.worker.renewed_by_proxy_until, renewed_by_others_until});
    if (now > renewed_until + lease) out.push_back(name);
  }
  return out;
}

void MachineLifecycle::renewed_by_proxy(const std::string& name, double until) {
  Machine* machine = state_.machine(name);
  if (machine)
    machine->worker.renewed_by_proxy_until = std::max(machine->worker.renewed_by_proxy_until, until);
}

void MachineLifecycle::lease_expired(const std::string& name, double now) {
  Machine* machine = state_.machine(name);
  if (!machine) return;
  state_.note("machine " + name + " is silent past its lease: its tasks start elsewhere");
  lifecycle_.mark_all_lost(*machine, "was silent past its lease", now);
}

}  // namespace corkmux

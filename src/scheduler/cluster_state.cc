#include "cluster_state.h"

#include <algorithm>

#include "constants.h"

namespace corkmux {
namespace c = constants;

namespace {

const Resources kNoResources;

template <class Uses>
const Resources& find_use(const Uses& uses, const std::string& name) {
  auto found = uses.find(name);
  return found == uses.end() ? kNoResources : found->second;
}

}  // namespace

ClusterState::ClusterState(SchedulerConfig config, std::uint64_t term, double now)
    : config_(std::move(config)), sequence_(term), started_at_(now), job_index_(config_.teams) {
  for (const auto& team : config_.teams) teams_[team.name] = team;
}

const MachineType* ClusterState::type(const std::string& name) const {
  for (const auto& type : types_)
    if (type.name == name) return &type;
  return nullptr;
}

// ---------------------------------------------------------------- jobs

Job* ClusterState::job(const std::string& id) {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Job* ClusterState::job(const std::string& id) const {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

ClusterState::AddedJob ClusterState::add_job(const JobSpec& spec, std::uint64_t revision,
                                             double accepted_at) {
  auto [entry, added] = jobs_.try_emplace(spec.id);
  Job& job = entry->second;
  job.revision = revision;
  if (added) {
    job.spec = spec;
    job.need_to_start = spec.resources_to_start();
    job.priority = spec.priority;
    job.order = revision;
    job.accepted_at = accepted_at;
    job.ready_at = accepted_at;
    job.phase.assign(static_cast<std::size_t>(spec.tasks), TaskPhase::Queued);
    job.queued = spec.tasks;
  }
  return {job, added};
}

void ClusterState::remove_job(const std::string& id) {
  auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  changed_.erase(id);
  job_index_.remove(found->second);
  jobs_.erase(found);
}

void ClusterState::set_priority(Job& job, Priority priority) {
  if (priority == job.priority) return;
  auto recount = [&](int by) {
    for (const auto& [index, task] : job.active)
      if (Machine* at = machine(task.machine)) count_task(*at, job, task, by);
  };
  recount(-1);
  job.priority = priority;
  recount(1);
}

// ---------------------------------------------------------------- machines

Machine* ClusterState::machine(const std::string& name) {
  auto found = machines_.find(name);
  return found == machines_.end() ? nullptr : &found->second;
}

const Machine* ClusterState::machine(const std::string& name) const {
  auto found = machines_.find(name);
  return found == machines_.end() ? nullptr : &found->second;
}

ClusterState::AddedMachine ClusterState::add_machine(const std::string& name, double now) {
  auto [entry, added] = machines_.try_emplace(name);
  Machine& machine = entry->second;
  if (added) {
    machine.name = name;
    raise_fencing_token(machine);
    machine.provisioned_at = now;
  }
  return {machine, added};
}

void ClusterState::remove_machine(const std::string& name) {
  auto found = machines_.find(name);
  if (found == machines_.end()) return;
  capacity_index_.remove(found->second);
  forget_address(found->second);
  machines_.erase(found);
}

Machine* ClusterState::machine_at(const std::string& address) {
  auto found = machine_at_.find(address);
  return found == machine_at_.end() ? nullptr : machine(found->second);
}

void ClusterState::set_address(Machine& machine, const std::string& address) {
  if (machine.address == address) return;
  forget_address(machine);
  machine.address = address;
  if (Machine* former = machine_at(address)) {
    note("machine " + machine.name + " has the address " + address + " of machine " + former->name);
    former->address.clear();
    // What was sent to the former machine may still arrive: the worker refuses it once it has this token.
    raise_fencing_token(machine);
  }
  machine_at_[address] = machine.name;
}

void ClusterState::forget_address(const Machine& machine) {
  auto found = machine_at_.find(machine.address);
  if (found != machine_at_.end() && found->second == machine.name) machine_at_.erase(found);
}

void ClusterState::remove_unknown_machines() {
  std::erase_if(machines_, [](const auto& entry) {
    const Machine& machine = entry.second;
    return !machine.is_up() && machine.type.empty() && machine.tasks.empty();
  });
}

void ClusterState::reindex(Machine& machine, double now) {
  capacity_index_.update(machine, machine_capacity(machine, now), machine.slack());
}

MachineCapacity ClusterState::machine_capacity(const Machine& machine, double now) const {
  using Use = MachineCapacity::Use;
  const double silent_at = machine.worker.last_heartbeat_at + c::kSilentAfterHeartbeats * config_.report_s;
  if (!accepts_tasks(machine) || now >= silent_at || machine.task_slots() == 0) return {};
  auto until = [&](Use use, double at) { return MachineCapacity{use, "", std::min(at, silent_at)}; };
  if (now < machine.no_capacity_until) return until(Use::Out, machine.no_capacity_until);
  if (now < machine.nomination.until) {
    MachineCapacity nominated = until(Use::Nominated, machine.nomination.until);
    nominated.nominated_job = machine.nomination.job;
    return nominated;
  }
  if (now < machine.failures.cordoned_until) return until(Use::Suspect, machine.failures.cordoned_until);
  return until(Use::Ready, silent_at);
}

bool ClusterState::accepts_tasks(const Machine& machine) const {
  return machine.is_up() && !machine.is_decommissioning() && !machine.is_faulty() && !machine.reclaim_at &&
         machine.size.cpus > 0 && sequence_.base() < machine.worker.observed_token &&
         machine.worker.observed_token >= machine.worker.required_token;
}

bool ClusterState::usable(const Machine& machine, double now) const {
  return accepts_tasks(machine) && now >= machine.no_capacity_until &&
         now < machine.worker.last_heartbeat_at + c::kSilentAfterHeartbeats * config_.report_s;
}

bool ClusterState::silent(const Machine& machine, double now) const {
  return now - machine.worker.last_heartbeat_at > c::kSilentAfterHeartbeats * config_.report_s;
}

void ClusterState::clear_images(Machine& machine) {
  capacity_index_.remove_from_bucket(machine);
  machine.images.clear();
}

void ClusterState::record_image(Machine& machine, const JobSpec& spec) {
  if (!machine.images.empty() && machine.images.front() == spec.image) return;
  if (std::erase(machine.images, spec.image)) {  // no image is added or evicted: only the order changes
    machine.images.push_front(spec.image);
    return;
  }
  capacity_index_.remove_from_bucket(machine);
  machine.images.push_front(spec.image);
  machine.image_gb[spec.image] = spec.image_gb;
  const MachineType* type = this->type(machine.type);
  if (!type) return;
  // The worker evicts the least recently used images once its cache is full.
  double total_gb = 0;
  for (std::size_t i = 0; i < machine.images.size(); ++i) {
    total_gb += machine.image_gb[machine.images[i]];
    if (total_gb <= type->cache_gb || i == 0) continue;
    for (std::size_t evicted = i; evicted < machine.images.size(); ++evicted)
      machine.image_gb.erase(machine.images[evicted]);
    machine.images.resize(i);
    return;
  }
}

double ClusterState::fetch_time(const JobSpec& spec, const Machine& machine) const {
  if (machine.holds_image(spec.image)) return 0;
  const MachineType* type = this->type(machine.type);
  return type ? spec.image_gb / type->fetch_gb_per_s : spec.image_gb;
}

// ---------------------------------------------------------------- tasks on machines, and what teams use

void ClusterState::occupy(Job& job, int index, ActiveTask task, Machine& machine) {
  machine.tasks.insert({job.spec.id, index});
  machine.free -= job.spec.need;
  count_task(machine, job, task, 1);
  job.active[index] = std::move(task);
  job.aborted = false;
  job.phase[static_cast<std::size_t>(index)] = TaskPhase::Active;
  --job.queued;
  team_use_[job.spec.team] += job.spec.need;
  class_use_[job.spec.job_class] += job.spec.need;
}

void ClusterState::vacate(Job& job, int index, double now) {
  auto found = job.active.find(index);
  if (found == job.active.end()) return;
  const ActiveTask& task = found->second;
  if (Machine* at = machine(task.machine)) {
    at->tasks.erase({job.spec.id, index});
    at->free += job.spec.need;
    if (at->tasks.empty()) {
      at->idle_since = now;
      at->free = at->size;
    }
    at->commands.outbox.erase({job.spec.id, index});
    count_task(*at, job, task, -1);
    reindex(*at, now);
  }
  if (task.stop) team_stopping_[job.spec.team] -= job.spec.need;
  job.active.erase(found);
  release_quota(job);
}

void ClusterState::release_quota(const Job& job) {
  team_use_[job.spec.team] -= job.spec.need;
  // Users name classes freely, so the entry of a class without any use is erased to bound the map.
  auto use = class_use_.find(job.spec.job_class);
  if (use == class_use_.end()) return;
  constexpr double kRounding = 1e-6;
  use->second -= job.spec.need;
  if (use->second.cpus < kRounding && use->second.memory_gb < kRounding) class_use_.erase(use);
}

void ClusterState::request_stop(Job& job, int index, double grace_s) {
  auto found = job.active.find(index);
  if (found == job.active.end()) return;
  ActiveTask& task = found->second;
  if (task.stop && task.grace_s <= grace_s) return;
  Machine* at = machine(task.machine);
  if (!task.stop) {
    if (at) count_task(*at, job, task, -1);
    task.stop = true;
    if (at) count_task(*at, job, task, 1);
    team_stopping_[job.spec.team] += job.spec.need;
  }
  task.grace_s = grace_s;
  if (!at) return;
  at->commands.needs_dispatch = true;
  mark_for_dispatch(at->name);
}

void ClusterState::count_task(Machine& machine, const Job& job, const ActiveTask& task, int by) {
  if (task.stop)
    machine.stopping += by;
  else if (!job.is_gang())
    machine.stoppable[static_cast<std::size_t>(job.priority)] += by;
  capacity_index_.update_stoppable(machine);
}

const Resources& ClusterState::team_use(const std::string& team) const { return find_use(team_use_, team); }

const Resources& ClusterState::team_stopping(const std::string& team) const {
  return find_use(team_stopping_, team);
}

const Resources& ClusterState::class_use(const std::string& job_class) const {
  return find_use(class_use_, job_class);
}

bool ClusterState::within_limit(const std::string& team, const Resources& more) const {
  auto found = teams_.find(team);
  if (found == teams_.end()) return false;
  Resources use = team_use(team);
  use += more;
  return found->second.allows(use);
}

// ---------------------------------------------------------------- fencing tokens

void ClusterState::raise_fencing_token(Machine& machine) {
  const std::optional<std::uint64_t> token = sequence_.next();
  if (token) machine.worker.fencing_token = *token;
  machine.worker.required_token = token.value_or(kTokenNeverIssued);
}

}  // namespace corkmux

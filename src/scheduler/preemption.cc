#include "preemption.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <set>

#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;
namespace {

/// Added to the cost of a task that started within kFreshStart, so that any task that ran longer is stopped
/// first.
constexpr double kFreshStartCost = 1e6;  // s

/// A machine, ordered by how many more of its tasks have to be stopped.
struct MachineByStops {
  std::size_t stops = 0;
  std::size_t position = 0;
  auto operator<=>(const MachineByStops&) const = default;
};

}  // namespace

bool saves_when_stopped(const JobSpec& spec) {
  return spec.checkpoint_s > 0 && spec.checkpoint_s / 2 > c::kMinCheckpointToSaveRatio * spec.save_s;
}

bool Preemption::Preemptor::over_limit_with(const Resources& use_of_team) const {
  Resources wanted = use_of_team;
  wanted += job.need_to_start;
  return !team.allows(wanted);
}

void Preemption::stop(const TaskId& task, const std::string& why) {
  Job& job = *state_.job(task.job);
  const bool saves = saves_when_stopped(job.spec);
  const double grace_s = saves ? job.spec.save_s + c::kCancelReserve : 0;
  job.why = why;
  if (!job.is_gang()) {
    state_.request_stop(job, task.index, grace_s);
    return;
  }
  if (saves) job.draining = true;
  for (const auto& [index, member] : job.active) state_.request_stop(job, index, grace_s);
}

void Preemption::nominate(Machine& machine, const Job& job, double until, double now) {
  machine.nomination.job = job.spec.id;
  machine.nomination.until = until;
  state_.reindex(machine, now);
}

// ---------------------------------------------------------------- candidates

/// Adds machines where tasks are already stopping, at most kPreemptionCandidatesExamined per pool, and the
/// lists of machines that run lower-priority work.
void Preemption::add_busy_machines(const Job& job, ExaminedGroups& groups) {
  for (const auto& [key, pool] : state_.capacity_index().pools()) {
    ++items_examined_;
    if (!search_.may_use_pool(job, pool)) continue;
    ExaminedGroup& group = groups[job.spec.one_zone ? pool.zone : ""];
    std::size_t examined = 0;
    for (Machine* machine : pool.stopping) {
      if (examined++ == c::kPreemptionCandidatesExamined) break;
      group.machines.insert(machine);
    }
    for (std::size_t priority = 0; priority < static_cast<std::size_t>(job.priority); ++priority)
      group.stoppable.push_back(&pool.stoppable[priority]);
  }
}

/// Adds machines on which the job fits without a stop, as many as the job could use.
void Preemption::add_fitting_machines(const Job& job, double now, ExaminedGroups& groups) {
  const auto wanted = static_cast<std::size_t>(job.is_gang() ? job.spec.tasks : 1);
  for (const auto& candidates : search_.find(job, Suspects::Included, now)) {
    MachineSet& machines = groups[job.spec.one_zone ? candidates.pool->zone : ""].machines;
    if (candidates.single) {
      machines.insert(candidates.single);
      continue;
    }
    const auto& in_bucket = candidates.bucket->machines;
    for (std::size_t i = 0; i < in_bucket.size() && i < wanted; ++i) machines.insert(in_bucket[i]);
  }
}

/// Adds the machines that run lower-priority work: all, or a random sample of kPreemptionCandidatesExamined.
void Preemption::sample_stoppable(ExaminedGroup& group) {
  std::size_t all = 0;
  for (const auto* list : group.stoppable) all += list->size();
  for (std::size_t position : random_.sample(all, c::kPreemptionCandidatesExamined)) {
    auto list = group.stoppable.begin();
    for (; position >= (*list)->size(); ++list) position -= (*list)->size();
    group.machines.insert((**list)[position]);
  }
}

/// The sample differs in each cycle: a job that finds too little among these machines examines others later.
Preemption::ExaminedGroups Preemption::machines_to_examine(const Job& job, double now) {
  ExaminedGroups groups;
  add_busy_machines(job, groups);
  add_fitting_machines(job, now, groups);
  for (auto& [name, group] : groups) sample_stoppable(group);
  return groups;
}

/// Returns nullopt if the task may not be stopped for the job.
std::optional<Preemption::PreemptionCandidate> Preemption::candidate(const Preemptor& preemptor,
                                                                     const Job& other, int index,
                                                                     const ActiveTask& task) {
  const Job& job = preemptor.job;
  if (task.stop || other.priority >= job.priority || other.is_gang()) return std::nullopt;
  // A task whose start command has not been sent yet is not stopped.
  if (task.stage == ActiveTask::Stage::Assigned) return std::nullopt;
  const bool same_team = other.spec.team == job.spec.team;
  const bool over_guarantee = !job.indexed.guaranteed;
  // Prevents two jobs from preempting each other in turns: work placed within its team's guarantee is not
  // stopped for another team's work over that team's guarantee.
  if (!same_team && over_guarantee && other.indexed.guaranteed) return std::nullopt;
  // A job admitted within its team's guarantee is not stopped for other teams' work, nor for its own team's
  // work over the guarantee.
  if ((!same_team || over_guarantee) && other.guarantee_admission == Job::GuaranteeAdmission::Granted)
    return std::nullopt;
  // The cost is the time since the task was assigned: the later it was assigned, the less work a stop loses.
  const double age = preemptor.now - task.since;
  const double cost = age + (age < c::kFreshStart ? kFreshStartCost : 0);
  return PreemptionCandidate{{other.spec.id, index}, other.spec.need, cost, same_team};
}

/// Whether `left` is stopped before `right`. At the team's limit, tasks of the same team are stopped first,
/// because that frees both machine capacity and quota.
bool Preemption::cheaper(const Preemptor& preemptor, const PreemptionCandidate& left,
                         const PreemptionCandidate& right) {
  if (preemptor.at_limit && left.same_team != right.same_team) return left.same_team;
  return left.cost != right.cost ? left.cost < right.cost : left.task < right.task;
}

Preemption::ExaminedMachine Preemption::examine(const Preemptor& preemptor, Machine& machine) {
  ExaminedMachine examined;
  examined.machine = &machine;
  examined.free = machine.free;
  examined.task_slots = machine.task_slots();
  for (const TaskId& id : machine.tasks) {
    ++items_examined_;
    const Job& other = *state_.job(id.job);
    const ActiveTask& task = other.active.at(id.index);
    if (task.stop) {
      examined.free += other.spec.need;
      ++examined.task_slots;
    } else if (auto stoppable = candidate(preemptor, other, id.index, task)) {
      examined.candidates.push_back(std::move(*stoppable));
    }
  }
  return examined;
}

Preemption::ExaminedMachinesByGroup Preemption::examine_machines(const Preemptor& preemptor) {
  ExaminedMachinesByGroup machines;
  for (const auto& [name, group] : machines_to_examine(preemptor.job, preemptor.now))
    for (Machine* machine : group.machines) {
      ++items_examined_;
      if (search_.may_use(preemptor.job, *machine, preemptor.now))
        machines[name].push_back(examine(preemptor, *machine));
    }
  return machines;
}

// ---------------------------------------------------------------- what to stop

/// How many more tasks have to be stopped until one more task of the job fits on the machine; nullopt if
/// stopping all candidates is not enough.
std::optional<std::size_t> Preemption::stops_until_fit(const ExaminedMachine& machine,
                                                       const Resources& need) {
  Resources free = machine.free;
  int task_slots = machine.task_slots;
  std::size_t stopped = machine.stopped;
  for (; task_slots <= 0 || !need.fits(free); ++stopped) {
    ++items_examined_;
    if (stopped == machine.candidates.size()) return std::nullopt;
    free += machine.candidates[stopped].need;
    ++task_slots;
  }
  return stopped - machine.stopped;
}

/// For each task of the job, takes the machine where the fewest tasks have to be stopped. Returns nullopt if
/// not all tasks fit.
std::optional<Preemption::StopPlan> Preemption::plan_in_group(const Preemptor& preemptor,
                                                              std::vector<ExaminedMachine>& machines) {
  const Resources& need = preemptor.job.spec.need;
  std::priority_queue<MachineByStops, std::vector<MachineByStops>, std::greater<>> queue;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    auto& candidates = machines[i].candidates;
    std::sort(candidates.begin(), candidates.end(),
              [&](const PreemptionCandidate& left, const PreemptionCandidate& right) {
                return cheaper(preemptor, left, right);
              });
    if (auto stops = stops_until_fit(machines[i], need)) queue.push({*stops, i});
  }
  StopPlan plan;
  while (static_cast<int>(plan.machines.size()) < preemptor.tasks() && !queue.empty()) {
    const MachineByStops next = queue.top();
    queue.pop();
    ExaminedMachine& machine = machines[next.position];
    for (std::size_t i = 0; i < next.stops; ++i) {
      const PreemptionCandidate& stopped = machine.candidates[machine.stopped];
      ++machine.stopped;
      machine.free += stopped.need;
      ++machine.task_slots;
      plan.stopped.push_back(stopped);
    }
    machine.free -= need;
    --machine.task_slots;
    plan.machines.push_back(machine.machine);
    if (auto stops = stops_until_fit(machine, need)) queue.push({*stops, next.position});
  }
  if (static_cast<int>(plan.machines.size()) < preemptor.tasks()) return std::nullopt;
  return plan;
}

/// The plan of the group in which the fewest tasks are stopped; nullopt if the job fits in no group.
std::optional<Preemption::StopPlan> Preemption::cheapest_plan(const Preemptor& preemptor) {
  std::optional<StopPlan> cheapest;
  for (auto& [group, machines] : examine_machines(preemptor)) {
    auto plan = plan_in_group(preemptor, machines);
    if (!plan || (cheapest && plan->stopped.size() >= cheapest->stopped.size())) continue;
    cheapest = std::move(plan);
  }
  return cheapest;
}

/// Stoppable tasks of the same team on any machine, collected from the latest jobs first and sorted by cost.
std::vector<Preemption::PreemptionCandidate> Preemption::candidates_of_team(const Preemptor& preemptor) {
  std::vector<PreemptionCandidate> candidates;
  for (bool guaranteed : {false, true}) {
    const JobSet& running = state_.job_index().running(preemptor.job.spec.team, guaranteed);
    for (auto it = running.rbegin();
         it != running.rend() && candidates.size() < c::kPreemptionCandidatesExamined; ++it) {
      ++items_examined_;
      const Job& other = **it;
      if (other.priority >= preemptor.job.priority || other.is_gang()) continue;
      for (const auto& [index, task] : other.active) {
        ++items_examined_;
        if (auto stoppable = candidate(preemptor, other, index, task))
          candidates.push_back(std::move(*stoppable));
      }
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [&](const PreemptionCandidate& left, const PreemptionCandidate& right) {
              return cheaper(preemptor, left, right);
            });
  return candidates;
}

/// If the job would exceed its team's limit, adds stops of the same team's tasks until it no longer does.
/// Returns whether the job then stays within the limit.
bool Preemption::add_stops_for_limit(const Preemptor& preemptor, StopPlan& plan) {
  Resources use = preemptor.use;
  std::set<TaskId> stopped;
  for (const auto& candidate : plan.stopped) {
    stopped.insert(candidate.task);
    if (candidate.same_team) use -= candidate.need;
  }
  if (!preemptor.over_limit_with(use)) return true;
  for (const auto& candidate : candidates_of_team(preemptor)) {
    if (!preemptor.over_limit_with(use)) break;
    if (!stopped.insert(candidate.task).second) continue;
    use -= candidate.need;
    plan.stopped.push_back(candidate);
  }
  return !preemptor.over_limit_with(use);
}

bool Preemption::preempt_for(Job& job, double now) {
  const JobSpec& spec = job.spec;
  auto team = state_.teams().find(spec.team);
  if (team == state_.teams().end()) return false;
  // Tasks that are already stopping count as free, so that no more are stopped than needed.
  Preemptor preemptor{job, team->second, state_.team_use(spec.team), false, now};
  preemptor.use -= state_.team_stopping(spec.team);
  preemptor.at_limit = preemptor.over_limit_with(preemptor.use);
  auto plan = cheapest_plan(preemptor);
  if (!plan || !add_stops_for_limit(preemptor, *plan)) return false;
  for (Machine* machine : plan->machines) nominate(*machine, job, now + c::kNominationTime, now);
  for (const auto& candidate : plan->stopped)
    stop(candidate.task,
         "stopped to make room for " + spec.id + ", which is more urgent; started again later");
  if (!plan->stopped.empty())
    state_.note("job " + spec.id + " (" + spec.job_class + "): " + std::to_string(plan->stopped.size()) +
                " less urgent tasks are stopped for it");
  return true;
}

}  // namespace corkmux

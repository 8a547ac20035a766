#include "preemption.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <set>

#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;
namespace {

/// Starts that have just been counted are spared: they cost more than any that ran for longer.
constexpr double kFreshStartCost = 1e6;  // s

/// A place by how many more tasks have to be stopped there.
struct PlaceByStops {
  std::size_t stops = 0;
  std::size_t place = 0;
  auto operator<=>(const PlaceByStops&) const = default;
};

}  // namespace

bool saves_when_stopped(const JobSpec& spec) {
  return spec.checkpoint_s > 0 && spec.checkpoint_s / 2 > c::kCheckpointWorth * spec.save_s;
}

bool Preemption::Preemptor::over_limit_with(const Resources& use_of_team) const {
  Resources wanted = use_of_team;
  wanted += job.spec.resources_to_start();
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

/// Machines where something is stopping already, at most kPreemptionCandidatesExamined a pool, and lists of
/// those that run less urgent work.
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

/// Machines with room as they are, as many as the job could use.
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

/// Of the machines that run less urgent work all, or kPreemptionCandidatesExamined drawn from them.
void Preemption::sample_stoppable(ExaminedGroup& group) {
  std::size_t all = 0;
  for (const auto* list : group.stoppable) all += list->size();
  for (std::size_t position : random_.sample(all, c::kPreemptionCandidatesExamined)) {
    auto list = group.stoppable.begin();
    for (; position >= (*list)->size(); ++list) position -= (*list)->size();
    group.machines.insert((**list)[position]);
  }
}

/// A job that finds too little among these machines looks at others in a later cycle.
Preemption::ExaminedGroups Preemption::machines_to_examine(const Job& job, double now) {
  ExaminedGroups groups;
  add_busy_machines(job, groups);
  add_fitting_machines(job, now, groups);
  for (auto& [name, group] : groups) sample_stoppable(group);
  return groups;
}

/// None if the task may not be stopped for the job.
std::optional<Preemption::PreemptionCandidate> Preemption::candidate(const Preemptor& preemptor,
                                                                     const Job& other, int index,
                                                                     const ActiveTask& task) {
  const Job& job = preemptor.job;
  if (task.stop || other.priority >= job.priority || other.is_gang()) return std::nullopt;
  // Nothing is stopped that has not even been sent.
  if (task.stage == ActiveTask::Stage::Assigned) return std::nullopt;
  const bool same_team = other.spec.team == job.spec.team;
  const bool over_guarantee = !job.indexed.guaranteed;
  // Guards against two jobs that take turns: what is placed first, for its team's guarantee, is not stopped
  // for another team's work over its own guarantee.
  if (!same_team && over_guarantee && other.indexed.guaranteed) return std::nullopt;
  // And what came within the guarantee starts whatever others need, and whatever its own team needs beyond.
  if ((!same_team || over_guarantee) && other.guarantee_admission == Job::GuaranteeAdmission::Granted)
    return std::nullopt;
  // What has run least costs least.
  const double age = preemptor.now - task.since;
  const double cost = age + (age < c::kFreshStart ? kFreshStartCost : 0);
  return PreemptionCandidate{{other.spec.id, index}, other.spec.need, cost, same_team};
}

/// At the team's limit work of the same team goes first: it frees both room and limit.
bool Preemption::cheaper(const Preemptor& preemptor, const PreemptionCandidate& left,
                         const PreemptionCandidate& right) {
  if (preemptor.at_limit && left.same_team != right.same_team) return left.same_team;
  return left.cost != right.cost ? left.cost < right.cost : left.task < right.task;
}

Preemption::Place Preemption::examine(const Preemptor& preemptor, Machine& machine) {
  Place place;
  place.machine = &machine;
  place.free = machine.free;
  for (const TaskId& id : machine.tasks) {
    ++items_examined_;
    const Job& other = *state_.job(id.job);
    const ActiveTask& task = other.active.at(id.index);
    if (task.stop)
      place.free += other.spec.need;
    else if (auto stoppable = candidate(preemptor, other, id.index, task))
      place.candidates.push_back(std::move(*stoppable));
  }
  return place;
}

Preemption::PlacesByGroup Preemption::collect_places(const Preemptor& preemptor) {
  PlacesByGroup places;
  for (const auto& [name, group] : machines_to_examine(preemptor.job, preemptor.now))
    for (Machine* machine : group.machines) {
      ++items_examined_;
      if (search_.may_use(preemptor.job, *machine, preemptor.now))
        places[name].push_back(examine(preemptor, *machine));
    }
  return places;
}

// ---------------------------------------------------------------- what to stop

/// How many more tasks have to be stopped until one more of the job's fits there; none if it never does.
std::optional<std::size_t> Preemption::stops_until_fit(const Place& place, const Resources& need) {
  Resources free = place.free;
  std::size_t stopped = place.stopped;
  for (; !need.fits(free); ++stopped) {
    ++items_examined_;
    if (stopped == place.candidates.size()) return std::nullopt;
    free += place.candidates[stopped].need;
  }
  return stopped - place.stopped;
}

/// Takes the place where the fewest tasks have to be stopped, task by task of the job. None if not all fit.
std::optional<Preemption::StopPlan> Preemption::plan_in_group(const Preemptor& preemptor,
                                                              std::vector<Place>& places) {
  const Resources& need = preemptor.job.spec.need;
  std::priority_queue<PlaceByStops, std::vector<PlaceByStops>, std::greater<>> queue;
  for (std::size_t i = 0; i < places.size(); ++i) {
    auto& candidates = places[i].candidates;
    std::sort(candidates.begin(), candidates.end(),
              [&](const PreemptionCandidate& left, const PreemptionCandidate& right) {
                return cheaper(preemptor, left, right);
              });
    if (auto stops = stops_until_fit(places[i], need)) queue.push({*stops, i});
  }
  StopPlan plan;
  while (static_cast<int>(plan.machines.size()) < preemptor.tasks() && !queue.empty()) {
    const PlaceByStops next = queue.top();
    queue.pop();
    Place& place = places[next.place];
    for (std::size_t i = 0; i < next.stops; ++i) {
      const PreemptionCandidate& stopped = place.candidates[place.stopped];
      ++place.stopped;
      place.free += stopped.need;
      plan.stopped.push_back(stopped);
    }
    place.free -= need;
    plan.machines.push_back(place.machine);
    if (auto stops = stops_until_fit(place, need)) queue.push({*stops, next.place});
  }
  if (static_cast<int>(plan.machines.size()) < preemptor.tasks()) return std::nullopt;
  return plan;
}

/// Of the groups the one where the fewest tasks are stopped.
std::optional<Preemption::StopPlan> Preemption::cheapest_plan(const Preemptor& preemptor) {
  std::optional<StopPlan> cheapest;
  for (auto& [group, places] : collect_places(preemptor)) {
    auto plan = plan_in_group(preemptor, places);
    if (!plan || (cheapest && plan->stopped.size() >= cheapest->stopped.size())) continue;
    cheapest = std::move(plan);
  }
  return cheapest;
}

/// What may be stopped of the same team, wherever it is: the latest jobs' first.
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

/// Where the team's limit is in the way as well, adds work of the same team until it no longer is. Returns
/// whether that was enough.
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
  // What is already stopping counts as free, so nothing is stopped twice over.
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

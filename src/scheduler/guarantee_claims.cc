#include "guarantee_claims.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;
namespace {

constexpr double kUnmeteredGpus = 1e9;  // more than any team uses

std::size_t index_of(int position) { return static_cast<std::size_t>(position); }

/// What a team runs over its guarantee, without what is stopping. Memory does not count.
Resources over_guarantee(const ClusterState& state, const Team& team) {
  Resources use = state.team_use(team.name);
  use -= state.team_stopping(team.name);
  const bool gpus_metered = team.gpus > 0 || team.gpus_max > 0;
  return {std::max(0.0, use.cpus - team.cpus),
          gpus_metered ? std::max(0.0, use.gpus - team.gpus) : kUnmeteredGpus, 0};
}

/// s of work that a stop of a task costs which has run for so long.
double lost_s(const JobSpec& spec, double ran_s) {
  if (saves_when_stopped(spec)) return spec.save_s;
  return spec.checkpoint_s > 0 ? std::fmod(ran_s, spec.checkpoint_s) : ran_s;
}

/// Describes a claim: the places that it could get are as many as it needs of those with room, those where
/// something is stopping, and those of the work that may be stopped for it. Of that at most
/// kPreemptionCandidatesExamined tasks are looked at, of each team those of the latest jobs.
class CaseBuilder {
 public:
  CaseBuilder(ClusterState& state, CandidateSearch& search, const Job& job, double now, std::uint64_t& steps)
      : state_(state), search_(search), job_(job), now_(now), items_examined_(steps) {
    case_.input.need = job.spec.need;
    case_.input.tasks = job.queued;
    case_.input.one_zone = job.spec.one_zone;
  }

  QuotaReclaimCase build() {
    add_machines_with_room();
    add_machines_with_stopping_tasks();
    int team_index = 0;
    for (const auto& [name, team] : state_.teams()) {
      const Resources over = over_guarantee(state_, team);
      case_.input.over_guarantee.push_back(over);
      if (name != job_.spec.team && over.cpus > 0) add_units_of(name, team_index);  // each task takes CPUs
      ++team_index;
    }
    return std::move(case_);
  }

 private:
  struct StoppableTask {
    int index = 0;
    double lost = 0;  // CPU seconds
  };

  void add_machines_with_room() {
    for (const auto& group : search_.find(job_, Suspects::Included, now_)) {
      if (group.single) {
        place_of(*group.single);
        continue;
      }
      const auto& machines = group.bucket->machines;
      for (std::size_t i = 0; i < machines.size() && static_cast<int>(i) < job_.queued; ++i)
        place_of(*machines[i]);
    }
  }

  void add_machines_with_stopping_tasks() {
    for (const auto& [key, pool] : state_.capacity_index().pools()) {
      std::size_t examined = 0;
      for (Machine* machine : pool.stopping) {
        if (examined++ == c::kPreemptionCandidatesExamined) break;
        place_of(*machine);
      }
    }
  }

  /// The position of the machine's place, added when it is first asked for.
  int place_of(Machine& machine) {
    auto [found, added] = place_by_machine_.try_emplace(&machine, static_cast<int>(case_.machines.size()));
    if (!added) return found->second;
    QuotaReclaimInput::Place place;
    place.free = machine.free;
    place.zone =
        zone_numbers_.try_emplace(machine.zone, static_cast<int>(zone_numbers_.size())).first->second;
    place.open = open(machine);
    for (const TaskId& id : machine.tasks) {
      ++items_examined_;
      const Job& other = *state_.job(id.job);
      if (other.active.at(id.index).stop) place.free += other.spec.need;
    }
    case_.input.places.push_back(place);
    case_.machines.push_back(&machine);
    return found->second;
  }

  /// Work without need of accelerators gets no such machine while they are wanted, see CandidateSearch.
  bool open(const Machine& machine) const {
    if (!search_.may_use(job_, machine, now_)) return false;
    return job_.spec.need.gpus > 0 || machine.size.gpus <= 0 || !search_.accelerators_wanted();
  }

  void add_units_of(const std::string& team, int team_index) {
    std::size_t examined = 0;
    const JobSet& running = state_.job_index().running(team, false);
    for (auto it = running.rbegin(); it != running.rend() && examined < c::kPreemptionCandidatesExamined;
         ++it) {
      ++items_examined_;
      const Job& other = **it;
      if (other.draining) continue;
      examined += other.active.size();
      add_units_of(other, team_index);
    }
  }

  void add_units_of(const Job& other, int team_index) {
    const std::vector<StoppableTask> stoppable = stoppable_tasks(other);
    // A gang of which some task may not be stopped stays whole.
    if (other.is_gang() && stoppable.size() != static_cast<std::size_t>(other.spec.tasks)) return;
    bool first = true;
    for (const StoppableTask& task : stoppable) {
      if (first || !other.is_gang()) {
        case_.input.units.push_back({team_index, 0, other.spec.need, {}});
        case_.tasks.push_back({other.spec.id, task.index});
      }
      first = false;
      auto& unit = case_.input.units.back();
      unit.lost += task.lost;
      unit.members.push_back(place_of(*state_.machine(other.active.at(task.index).machine)));
    }
  }

  std::vector<StoppableTask> stoppable_tasks(const Job& other) {
    std::vector<StoppableTask> stoppable;
    for (const auto& [index, task] : other.active) {
      ++items_examined_;
      // Nothing just started is stopped: PROTOCOL counts a start only if it is left alone for kFreshStart.
      if (task.stop || !task.running_at || now_ - *task.running_at < c::kFreshStart) continue;
      if (!state_.machine(task.machine)) continue;
      const double lost = lost_s(other.spec, now_ - *task.running_at);
      stoppable.push_back({index, lost * std::max(other.spec.need.cpus, 1.0)});
    }
    return stoppable;
  }

  ClusterState& state_;
  CandidateSearch& search_;
  const Job& job_;
  double now_;
  std::uint64_t& items_examined_;
  QuotaReclaimCase case_;
  std::map<std::string, int> zone_numbers_;
  std::unordered_map<const Machine*, int> place_by_machine_;
};

/// Of the zones in which all that is left fits the one with the most places; none if there is none.
std::optional<int> zone_with_most_places(const std::vector<QuotaReclaimInput::Place>& places,
                                         const Resources& need, int left) {
  std::map<int, int> places_in_zone;
  for (const auto& place : places)
    if (place.open) places_in_zone[place.zone] += need.times_in(place.free);
  std::optional<int> best;
  for (const auto& [zone, count] : places_in_zone)
    if (count >= left && (!best || count > places_in_zone[*best])) best = zone;
  return best;
}

bool started_and_left_alone(const Job& job, double now) {
  return job.queued == 0 && std::all_of(job.active.begin(), job.active.end(), [&](const auto& entry) {
           const ActiveTask& task = entry.second;
           return task.running_at && now - *task.running_at > c::kFreshStart;
         });
}

}  // namespace

void GuaranteeClaims::update_admissions(double now) {
  using Admission = Job::GuaranteeAdmission;
  const JobSet& candidates = state_.job_index().admission_candidates();
  for (Job* job : std::vector<Job*>(candidates.begin(), candidates.end())) {
    ++items_examined_;
    if (job->guarantee_admission == Admission::Undecided) {
      const bool fresh = now - job->ready_at < c::kFreshArrival;
      job->guarantee_admission = job->indexed.guaranteed && fresh ? Admission::Granted : Admission::None;
    }
    if (job->guarantee_admission == Admission::Granted && started_and_left_alone(*job, now))
      job->guarantee_admission = Admission::None;
    state_.reindex(*job);
  }
}

/// A claim is made by a job within its team's guarantee, for all that it still needs to start, while its
/// team's use together with that stays within the guarantee.
bool GuaranteeClaims::within_guarantee(const Job& job) const {
  auto team = state_.teams().find(job.spec.team);
  if (team == state_.teams().end()) return false;
  Resources wanted = state_.team_use(job.spec.team);
  for (int i = 0; i < job.queued; ++i) wanted += job.spec.need;
  return team->second.guarantees(wanted);
}

/// The claim's places are kept for it until what is stopped has saved and gone.
void GuaranteeClaims::nominate_places(const Job& job, const QuotaReclaimCase& claim,
                                      const std::vector<int>& chosen, double now) {
  const JobSpec& spec = job.spec;
  auto places = claim.input.places;
  double longest_save_s = 0;
  for (int position : chosen) {
    const auto& unit = claim.input.units[index_of(position)];
    for (int place : unit.members) places[index_of(place)].free += unit.need;
    longest_save_s = std::max(longest_save_s, state_.job(claim.tasks[index_of(position)].job)->spec.save_s);
  }
  int left = spec.tasks - job.done - static_cast<int>(job.active.size());
  const std::optional<int> zone =
      spec.one_zone ? zone_with_most_places(places, spec.need, left) : std::nullopt;
  const double until = now + longest_save_s + state_.config().gang_peer_s + c::kCancelReserve;
  for (std::size_t i = 0; i < places.size() && left > 0; ++i) {
    if (!places[i].open || (zone && places[i].zone != *zone)) continue;
    const int tasks = spec.need.times_in(places[i].free);
    if (tasks == 0) continue;
    left -= tasks;
    preemption_.nominate(*claim.machines[i], job, until, now);
  }
}

bool GuaranteeClaims::reclaim(Job& job, double now) {
  const JobSpec& spec = job.spec;
  // Guards against stopping work for places that the job would then not get: a job that is spread over zones
  // needs them in the right ones, which is not looked at here.
  if (job.queued == 0 || spec.spread || !within_guarantee(job)) return false;
  const QuotaReclaimCase claim = CaseBuilder(state_, search_, job, now, items_examined_).build();
  const auto chosen = choose_reclaim(claim.input);
  if (!chosen || chosen->empty()) return false;  // empty: room is about to be free anyway
  nominate_places(job, claim, *chosen, now);
  for (int position : *chosen)
    preemption_.stop(
        claim.tasks[index_of(position)],
        "stopped so that team " + spec.team + " gets its guarantee for " + spec.id + "; started again later");
  state_.note("job " + spec.id + " (" + spec.job_class + "): " + std::to_string(chosen->size()) +
              " tasks or gangs beyond other teams' guarantees are stopped for it");
  return true;
}

}  // namespace corkmux

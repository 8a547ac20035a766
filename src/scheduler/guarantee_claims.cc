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

/// The team's use beyond its guarantee, without tasks that are stopping. Memory does not count.
Resources over_guarantee(const ClusterState& state, const Team& team) {
  Resources use = state.team_use(team.name);
  use -= state.team_stopping(team.name);
  const bool gpus_metered = team.gpus > 0 || team.gpus_max > 0;
  return {std::max(0.0, use.cpus - team.cpus),
          gpus_metered ? std::max(0.0, use.gpus - team.gpus) : kUnmeteredGpus, 0};
}

/// Seconds of work lost by stopping a task that has run for `ran_s`.
double lost_s(const JobSpec& spec, double ran_s) {
  if (saves_when_stopped(spec)) return spec.save_s;
  return spec.checkpoint_s > 0 ? std::fmod(ran_s, spec.checkpoint_s) : ran_s;
}

/// Builds the input of choose_reclaim() for a claim. Its machines are: as many as the claim needs of those
/// with enough free capacity, those where tasks are stopping, and those that run work that may be stopped for
/// it. Of each team at most about kPreemptionCandidatesExamined tasks are examined, those of the latest jobs.
class CaseBuilder {
 public:
  CaseBuilder(ClusterState& state, CandidateSearch& search, const Job& job, double now, std::uint64_t& steps)
      : state_(state), search_(search), job_(job), now_(now), items_examined_(steps) {
    case_.input.need = job.spec.need;
    case_.input.tasks = job.queued;
    case_.input.one_zone = job.spec.one_zone;
  }

  QuotaReclaimCase build() {
    add_fitting_machines();
    add_machines_with_stopping_tasks();
    int team_index = 0;
    for (const auto& [name, team] : state_.teams()) {
      const Resources over = over_guarantee(state_, team);
      case_.input.over_guarantee.push_back(over);
      // Each task takes CPUs, so a team that is not over its guaranteed CPUs has nothing to stop.
      if (name != job_.spec.team && over.cpus > 0) add_units_of_team(name, team_index);
      ++team_index;
    }
    return std::move(case_);
  }

 private:
  struct StoppableTask {
    int index = 0;
    double lost = 0;  // CPU seconds
  };

  void add_fitting_machines() {
    for (const auto& group : search_.find(job_, Suspects::Included, now_)) {
      if (group.single) {
        machine_index(*group.single);
        continue;
      }
      const auto& machines = group.bucket->machines;
      for (std::size_t i = 0; i < machines.size() && static_cast<int>(i) < job_.queued; ++i)
        machine_index(*machines[i]);
    }
  }

  void add_machines_with_stopping_tasks() {
    for (const auto& [key, pool] : state_.capacity_index().pools()) {
      std::size_t examined = 0;
      for (Machine* machine : pool.stopping) {
        if (examined++ == c::kPreemptionCandidatesExamined) break;
        machine_index(*machine);
      }
    }
  }

  /// The machine's index in the case; the machine is added on first use.
  int machine_index(Machine& machine) {
    auto [found, added] = index_by_machine_.try_emplace(&machine, static_cast<int>(case_.machines.size()));
    if (!added) return found->second;
    QuotaReclaimInput::CandidateMachine candidate;
    candidate.free = machine.free;
    candidate.zone =
        zone_numbers_.try_emplace(machine.zone, static_cast<int>(zone_numbers_.size())).first->second;
    candidate.usable = usable(machine);
    candidate.task_slots = machine.task_slots();
    for (const TaskId& id : machine.tasks) {
      ++items_examined_;
      const Job& other = *state_.job(id.job);
      if (!other.active.at(id.index).stop) continue;
      candidate.free += other.spec.need;
      ++candidate.task_slots;
    }
    case_.input.machines.push_back(candidate);
    case_.machines.push_back(&machine);
    return found->second;
  }

  /// Whether the claim may use the machine. Work without need of accelerators gets no accelerator machine
  /// while accelerators are wanted, see CandidateSearch.
  bool usable(const Machine& machine) const {
    if (!search_.may_use(job_, machine, now_)) return false;
    return job_.spec.need.gpus > 0 || machine.size.gpus <= 0 || !search_.accelerators_wanted();
  }

  void add_units_of_team(const std::string& team, int team_index) {
    std::size_t examined = 0;
    const JobSet& running = state_.job_index().running(team, false);
    for (auto it = running.rbegin(); it != running.rend() && examined < c::kPreemptionCandidatesExamined;
         ++it) {
      ++items_examined_;
      const Job& other = **it;
      if (other.draining) continue;
      examined += other.active.size();
      add_units_of_job(other, team_index);
    }
  }

  void add_units_of_job(const Job& other, int team_index) {
    const std::vector<StoppableTask> stoppable = stoppable_tasks(other);
    // A gang stops as a whole, so it is left alone if any of its tasks may not be stopped.
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
      unit.members.push_back(machine_index(*state_.machine(other.active.at(task.index).machine)));
    }
  }

  std::vector<StoppableTask> stoppable_tasks(const Job& other) {
    std::vector<StoppableTask> stoppable;
    for (const auto& [index, task] : other.active) {
      ++items_examined_;
      // A task that has just started is not stopped: the protocol counts a start only if the task runs
      // undisturbed for kFreshStart.
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
  std::unordered_map<const Machine*, int> index_by_machine_;
};

/// The zone with the most slots among those that have slots for all `left` tasks; nullopt if there is none.
std::optional<int> zone_with_most_slots(const std::vector<QuotaReclaimInput::CandidateMachine>& machines,
                                        const Resources& need, int left) {
  std::map<int, int> slots_in_zone;
  for (const auto& machine : machines)
    if (machine.usable) slots_in_zone[machine.zone] += tasks_fitting(need, machine.free, machine.task_slots);
  std::optional<int> best;
  for (const auto& [zone, count] : slots_in_zone)
    if (count >= left && (!best || count > slots_in_zone[*best])) best = zone;
  return best;
}

bool started_and_undisturbed(const Job& job, double now) {
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
    if (job->guarantee_admission == Admission::Granted && started_and_undisturbed(*job, now))
      job->guarantee_admission = Admission::None;
    state_.reindex(*job);
  }
}

/// A job may claim its team's guarantee while the team's use plus all queued tasks of the job stays within
/// the guarantee.
bool GuaranteeClaims::within_guarantee(const Job& job) const {
  auto team = state_.teams().find(job.spec.team);
  if (team == state_.teams().end()) return false;
  Resources wanted = state_.team_use(job.spec.team);
  for (int i = 0; i < job.queued; ++i) wanted += job.spec.need;
  return team->second.guarantees(wanted);
}

/// Nominates the claim's machines for the job until the stopped tasks have saved and exited.
void GuaranteeClaims::nominate_machines(const Job& job, const QuotaReclaimCase& claim,
                                        const std::vector<int>& chosen, double now) {
  const JobSpec& spec = job.spec;
  auto machines = claim.input.machines;
  double longest_save_s = 0;
  for (int position : chosen) {
    const auto& unit = claim.input.units[index_of(position)];
    for (int machine : unit.members) {
      machines[index_of(machine)].free += unit.need;
      ++machines[index_of(machine)].task_slots;
    }
    longest_save_s = std::max(longest_save_s, state_.job(claim.tasks[index_of(position)].job)->spec.save_s);
  }
  int left = spec.tasks - job.done - static_cast<int>(job.active.size());
  const std::optional<int> zone =
      spec.one_zone ? zone_with_most_slots(machines, spec.need, left) : std::nullopt;
  const double until = now + longest_save_s + state_.config().gang_peer_s + c::kCancelReserve;
  for (std::size_t i = 0; i < machines.size() && left > 0; ++i) {
    if (!machines[i].usable || (zone && machines[i].zone != *zone)) continue;
    const int tasks = tasks_fitting(spec.need, machines[i].free, machines[i].task_slots);
    if (tasks == 0) continue;
    left -= tasks;
    preemption_.nominate(*claim.machines[i], job, until, now);
  }
}

bool GuaranteeClaims::reclaim(Job& job, double now) {
  const JobSpec& spec = job.spec;
  // Avoids stopping work for capacity that the job could not use: a job that is spread over zones needs
  // capacity in specific zones, and choose_reclaim() does not take that into account.
  if (job.queued == 0 || spec.spread || !within_guarantee(job)) return false;
  const QuotaReclaimCase claim = CaseBuilder(state_, search_, job, now, items_examined_).build();
  const auto chosen = choose_reclaim(claim.input);
  if (!chosen || chosen->empty()) return false;  // empty: enough capacity is about to be free anyway
  nominate_machines(job, claim, *chosen, now);
  for (int position : *chosen)
    preemption_.stop(
        claim.tasks[index_of(position)],
        "stopped so that team " + spec.team + " gets its guarantee for " + spec.id + "; started again later");
  state_.note("job " + spec.id + " (" + spec.job_class + "): " + std::to_string(chosen->size()) +
              " tasks or gangs beyond other teams' guarantees are stopped for it");
  return true;
}

}  // namespace corkmux

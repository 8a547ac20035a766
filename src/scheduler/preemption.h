// Stops less urgent work so that a more urgent job can start, and nominates the machines for it.
//
// Owns no state but a count of the work done: which machine is nominated for which job stands in the machine.
// It needs the machines that fit from CandidateSearch. It never places the job: that is done in a later
// cycle, once what was stopped is gone.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "candidate_search.h"
#include "cluster_state.h"
#include "random_source.h"

namespace corkmux {
namespace constants {

/// Saves that half a checkpoint has to cost before one is asked for.
inline constexpr double kCheckpointWorth = 2.0;
/// Machines or tasks per job; bounds a decision.
inline constexpr std::size_t kPreemptionCandidatesExamined = 512;
inline constexpr double kFreshStart = 30.0;  // s; PROTOCOL counts a start only if it is left alone that long

}  // namespace constants

/// Whether a job's tasks get time to save when they are stopped. Saving takes time that the urgent work
/// waits; where a stop loses no more than saving costs, it is not asked for.
bool saves_when_stopped(const JobSpec& spec);

class Preemption {
 public:
  Preemption(ClusterState& state, CandidateSearch& search, RandomSource& random)
      : state_(state), search_(search), random_(random) {}

  /// Stops the least work of lower priority that lets the job start: of its own team where the team's limit
  /// is what it waits for, else on machines. Returns whether the job can start once that is gone.
  bool preempt_for(Job& job, double now);
  /// Stops a task, or the whole gang that it belongs to. `why` is shown to the user of the stopped job.
  void stop(const TaskId& task, const std::string& why);
  /// Until then the machine takes no other job's work.
  void nominate(Machine& machine, const Job& job, double until, double now);

  /// Pools, machines and tasks looked at so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  /// The job that others are stopped for.
  struct Preemptor {
    const Job& job;
    const Team& team;
    Resources use;          // the team's, without what is stopping
    bool at_limit = false;  // the team's limit leaves no room for it
    double now = 0;
    int tasks() const { return job.is_gang() ? job.spec.tasks : 1; }
    bool over_limit_with(const Resources& use_of_team) const;
  };
  /// A task that may be stopped.
  struct PreemptionCandidate {
    TaskId task;
    Resources need;
    double cost = 0;
    bool same_team = false;
  };
  /// A machine, and what may be stopped there.
  struct Place {
    Machine* machine = nullptr;
    Resources free;  // once everything that is stopping has stopped
    std::vector<PreemptionCandidate> candidates;
    std::size_t stopped = 0;  // of the candidates, from the front
  };
  /// What to stop, and the machines on which the job's tasks then fit.
  struct StopPlan {
    std::vector<PreemptionCandidate> stopped;
    std::vector<Machine*> machines;
  };
  /// Machines that are looked at together, and lists of those from which more are drawn.
  struct ExaminedGroup {
    MachineSet machines;
    std::vector<const std::vector<Machine*>*> stoppable;
  };
  /// By zone for a job that keeps to one, else all under the empty name.
  using ExaminedGroups = std::map<std::string, ExaminedGroup>;
  using PlacesByGroup = std::map<std::string, std::vector<Place>>;

  void add_busy_machines(const Job& job, ExaminedGroups& groups);
  void add_fitting_machines(const Job& job, double now, ExaminedGroups& groups);
  void sample_stoppable(ExaminedGroup& group);
  ExaminedGroups machines_to_examine(const Job& job, double now);
  PlacesByGroup collect_places(const Preemptor& preemptor);
  Place examine(const Preemptor& preemptor, Machine& machine);
  static std::optional<PreemptionCandidate> candidate(const Preemptor& preemptor, const Job& other, int index,
                                                      const ActiveTask& task);
  static bool cheaper(const Preemptor& preemptor, const PreemptionCandidate& left,
                      const PreemptionCandidate& right);
  std::optional<std::size_t> stops_until_fit(const Place& place, const Resources& need);
  std::optional<StopPlan> plan_in_group(const Preemptor& preemptor, std::vector<Place>& places);
  std::optional<StopPlan> cheapest_plan(const Preemptor& preemptor);
  bool add_stops_for_limit(const Preemptor& preemptor, StopPlan& plan);
  std::vector<PreemptionCandidate> candidates_of_team(const Preemptor& preemptor);

  ClusterState& state_;
  CandidateSearch& search_;
  RandomSource& random_;
  std::uint64_t items_examined_ = 0;
};

}  // namespace corkmux

// Stops lower-priority work so that a higher-priority job can start, and nominates the machines for that job.
//
// Owns no state except a count of the work done: the nomination is stored in the machine. It takes the
// fitting machines from CandidateSearch. It never places the job: Placement does so in a later cycle, once
// the stopped tasks have exited.
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

/// Tasks get time to save when stopped only if half their checkpoint interval is longer than this many saves.
inline constexpr double kMinCheckpointToSaveRatio = 2.0;
/// Machines or tasks examined per job; bounds the cost of a decision.
inline constexpr std::size_t kPreemptionCandidatesExamined = 512;
/// s; the protocol counts only starts that run undisturbed for so long.
inline constexpr double kFreshStart = 30.0;

}  // namespace constants

/// Whether a job's tasks get time to save when they are stopped. The preempting job waits while they save, so
/// no save is requested where a stop loses no more work than saving costs.
bool saves_when_stopped(const JobSpec& spec);

class Preemption {
 public:
  Preemption(ClusterState& state, CandidateSearch& search, RandomSource& random)
      : state_(state), search_(search), random_(random) {}

  /// Stops the least lower-priority work that lets the job start: of its own team if it waits for the team's
  /// limit, otherwise on the machines that it needs. Returns whether the job can start once the stopped tasks
  /// have exited.
  bool preempt_for(Job& job, double now);
  /// Stops a task, or the whole gang that it belongs to. `why` is shown to the user of the stopped job.
  void stop(const TaskId& task, const std::string& why);
  /// Reserves the machine for the job: until then it takes no other job's work.
  void nominate(Machine& machine, const Job& job, double until, double now);

  /// Pools, machines and tasks examined so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  /// The job for which others are stopped.
  struct Preemptor {
    const Job& job;
    const Team& team;
    Resources use;          // the team's use without tasks that are stopping
    bool at_limit = false;  // the job would exceed its team's limit
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
  /// A machine and its tasks that may be stopped.
  struct ExaminedMachine {
    Machine* machine = nullptr;
    Resources free;      // once all stopping tasks have exited
    int task_slots = 0;  // the same
    std::vector<PreemptionCandidate> candidates;
    std::size_t stopped = 0;  // how many of the candidates, from the front
  };
  /// The tasks to stop, and the machines on which the job's tasks then fit.
  struct StopPlan {
    std::vector<PreemptionCandidate> stopped;
    std::vector<Machine*> machines;
  };
  /// Machines that are examined together, and lists of machines from which more are sampled.
  struct ExaminedGroup {
    MachineSet machines;
    std::vector<const std::vector<Machine*>*> stoppable;
  };
  /// By zone for a one-zone job, otherwise all machines under the empty name.
  using ExaminedGroups = std::map<std::string, ExaminedGroup>;
  using ExaminedMachinesByGroup = std::map<std::string, std::vector<ExaminedMachine>>;

  void add_busy_machines(const Job& job, ExaminedGroups& groups);
  void add_fitting_machines(const Job& job, double now, ExaminedGroups& groups);
  void sample_stoppable(ExaminedGroup& group);
  ExaminedGroups machines_to_examine(const Job& job, double now);
  ExaminedMachinesByGroup examine_machines(const Preemptor& preemptor);
  ExaminedMachine examine(const Preemptor& preemptor, Machine& machine);
  static std::optional<PreemptionCandidate> candidate(const Preemptor& preemptor, const Job& other, int index,
                                                      const ActiveTask& task);
  static bool cheaper(const Preemptor& preemptor, const PreemptionCandidate& left,
                      const PreemptionCandidate& right);
  std::optional<std::size_t> stops_until_fit(const ExaminedMachine& machine, const Resources& need);
  std::optional<StopPlan> plan_in_group(const Preemptor& preemptor, std::vector<ExaminedMachine>& machines);
  std::optional<StopPlan> cheapest_plan(const Preemptor& preemptor);
  bool add_stops_for_limit(const Preemptor& preemptor, StopPlan& plan);
  std::vector<PreemptionCandidate> candidates_of_team(const Preemptor& preemptor);

  ClusterState& state_;
  CandidateSearch& search_;
  RandomSource& random_;
  std::uint64_t items_examined_ = 0;
};

}  // namespace corkmux

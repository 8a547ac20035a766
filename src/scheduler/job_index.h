// Index of the jobs that a scheduling cycle has to examine. It is updated as jobs and tasks change, so the
// cost of a cycle grows with the length of the queue and not with the number of running tasks.
//
// Owns the set of waiting jobs, the set of jobs whose admission within a guarantee is undecided or granted,
// and per team the running jobs within and over its guarantee. Callers report every change by update() and
// remove(); the index takes no decisions. The teams are fixed at construction. The index holds a job by its
// address until the job is removed.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "model.h"

namespace corkmux {

struct Job;

/// Orders jobs by acceptance, and by id where that is equal.
struct ByAcceptanceOrder {
  bool operator()(const Job* left, const Job* right) const;
};
using JobSet = std::set<Job*, ByAcceptanceOrder>;

class JobIndex {
 public:
  /// The index's entry for a job. It is stored in the job and written only by the index.
  struct Indexed {
    bool ready = false;
    bool waiting = false;
    bool admission_candidate = false;
    bool running = false;
    bool guaranteed = false;  // within the guarantee together with its team's earlier ready jobs
    std::optional<Priority> accelerator_user;  // the priority it counts under
    std::optional<Priority> stoppable;         // the priority it counts under
  };

  explicit JobIndex(const std::vector<Team>& teams);
  /// Reindexes a job after any change of its fields.
  void update(Job& job);
  /// Removes a job from all sets, before the job is destroyed.
  void remove(Job& job);

  const JobSet& waiting() const { return waiting_; }
  /// Jobs whose admission within a guarantee is granted, or undecided while the job is ready.
  const JobSet& admission_candidates() const { return admission_candidates_; }
  /// The team's jobs with tasks on machines: those within its guarantee, or those over it.
  const JobSet& running(const std::string& team, bool guaranteed) const;
  /// The highest priority of ready jobs that need accelerators; nullopt if there is none.
  std::optional<Priority> highest_accelerator_priority() const;
  /// The lowest priority of arrays and services that have tasks on machines; nullopt if there is none.
  std::optional<Priority> lowest_stoppable() const;
  /// Number of jobs added, removed or moved into or out of a guarantee so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  using CountByPriority = std::array<int, 4>;
  /// A team's ready jobs in acceptance order. The longest run of jobs from the first one on whose total need
  /// fits the team's guarantee is within the guarantee.
  struct TeamJobs {
    Team team;
    JobSet jobs;
    JobSet::iterator first_over_guarantee;  // the first job that is not within the guarantee
    Resources guaranteed_need;              // total need of the jobs within the guarantee
    std::array<JobSet, 2> running;          // [0]: over the guarantee, [1]: within it
    explicit TeamJobs(Team owner) : team(std::move(owner)), first_over_guarantee(jobs.end()) {}
    TeamJobs(const TeamJobs&) = delete;
    TeamJobs& operator=(const TeamJobs&) = delete;
  };
  void add_ready(TeamJobs& team_jobs, Job& job);
  void remove_ready(TeamJobs& team_jobs, Job& job);
  void set_guaranteed(TeamJobs& team_jobs, Job& job, bool guaranteed);
  static void count(CountByPriority& counts, std::optional<Priority>& counted_under,
                    std::optional<Priority> priority);

  std::map<std::string, TeamJobs> teams_;
  JobSet waiting_;
  JobSet admission_candidates_;
  CountByPriority accelerator_users_{};
  CountByPriority stoppable_{};
  std::uint64_t items_examined_ = 0;
};

}  // namespace corkmux

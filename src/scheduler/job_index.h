// Which jobs a scheduling cycle has to look at, kept up as jobs and tasks change, so that a cycle costs what
// the queue is long, however much runs.
//
// Owns the sets of jobs that wait, of those whose admission within a guarantee is open or granted, and per
// team of those that run, within its guarantee and over it. It is told of every change and decides nothing.
// Teams are given once. A job is in the index under its address until it is removed.
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

/// As they were accepted; of the same moment by name.
struct ByOrder {
  bool operator()(const Job* left, const Job* right) const;
};
using JobSet = std::set<Job*, ByOrder>;

class JobIndex {
 public:
  /// What the index holds of a job; kept in the job, written by the index only.
  struct Indexed {
    bool ready = false;
    bool waiting = false;
    bool admission_candidate = false;
    bool running = false;
    bool guaranteed = false;  // with all its team accepted before, it is within the team's guarantee
    std::optional<Priority> accelerator_user;  // the priority it counts under
    std::optional<Priority> stoppable;         // the priority it counts under
  };

  explicit JobIndex(const std::vector<Team>& teams);
  /// Something of it has changed.
  void update(Job& job);
  /// The job is gone.
  void remove(Job& job);

  const JobSet& waiting() const { return waiting_; }
  /// Jobs whose admission within a guarantee is granted, or open while they could run.
  const JobSet& admission_candidates() const { return admission_candidates_; }
  /// Of a team's jobs with tasks on machines, those within its guarantee or those over it.
  const JobSet& running(const std::string& team, bool guaranteed) const;
  /// The highest priority of what could use accelerators; none if nothing could.
  std::optional<Priority> accelerator_users() const;
  /// The lowest priority of arrays and services that have tasks on machines.
  std::optional<Priority> lowest_stoppable() const;
  /// Jobs entered, taken out or moved over the edge of a guarantee so far.
  std::uint64_t items_examined() const { return items_examined_; }

 private:
  using CountByPriority = std::array<int, 4>;
  /// A team's jobs that could run, in order. Those from the first on that the guarantee holds together are
  /// within it.
  struct Ledger {
    Team team;
    JobSet jobs;
    JobSet::iterator over_guarantee;  // the first that is not within
    Resources within;                 // what those within need together
    std::array<JobSet, 2> running;    // over the guarantee, and within it
    explicit Ledger(Team of) : team(std::move(of)), over_guarantee(jobs.end()) {}
    Ledger(const Ledger&) = delete;
    Ledger& operator=(const Ledger&) = delete;
  };
  void enter(Ledger& ledger, Job& job);
  void leave(Ledger& ledger, Job& job);
  void set_guaranteed(Ledger& ledger, Job& job, bool guaranteed);
  static void count(CountByPriority& counts, std::optional<Priority>& counted_under,
                    std::optional<Priority> priority);

  std::map<std::string, Ledger> teams_;
  JobSet waiting_;
  JobSet admission_candidates_;
  CountByPriority accelerator_users_{};
  CountByPriority stoppable_{};
  std::uint64_t items_examined_ = 0;
};

}  // namespace corkmux

// Which jobs a pass has to look at, kept as jobs and tasks change: those that wait, those that a promise is
// open for, what each team runs, and how far its guarantee reaches. So a pass costs what the queue is long,
// however much runs. Teams are given once. A job is in the index under its address until it is removed.
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
  bool operator()(const Job* a, const Job* b) const;
};
using JobSet = std::set<Job*, ByOrder>;

class JobIndex {
 public:
  /// What the index holds of a job; kept in the job, written by the index only.
  struct Indexed {
    bool ready = false, waiting = false, promising = false, running = false;
    bool guaranteed = false;  // with all its team accepted before, it is within the team's guarantee
    int accelerator_user = -1, stoppable = -1;  // the priority it counts under
  };

  explicit JobIndex(const std::vector<Team>& teams);
  /// Something of it has changed.
  void update(Job& job);
  void remove(Job& job);

  const JobSet& waiting() const { return waiting_; }
  const JobSet& promising() const { return promising_; }
  /// Of a team's jobs with tasks on machines, those within its guarantee or those beyond.
  const JobSet& running(const std::string& team, bool guaranteed) const;
  /// The highest priority of what could use accelerators; none if nothing could.
  std::optional<Priority> accelerator_users() const;
  /// The lowest priority of arrays and services that have tasks on machines.
  std::optional<Priority> lowest_stoppable() const;
  /// Jobs entered, taken out or moved over the edge of a guarantee so far.
  std::uint64_t steps() const { return steps_; }

 private:
  /// The jobs that could run, in order. Those from the first on that the guarantee holds together are within
  /// it; `beyond` is the first that is not.
  struct Ledger {
    Team team;
    JobSet jobs;
    JobSet::iterator beyond;
    Resources within;
    std::array<JobSet, 2> running;
    explicit Ledger(Team t) : team(std::move(t)), beyond(jobs.end()) {}
    Ledger(const Ledger&) = delete;
    Ledger& operator=(const Ledger&) = delete;
  };
  void enter(Ledger& l, Job& job);
  void leave(Ledger& l, Job& job);
  void mark(Ledger& l, Job& job, bool guaranteed);

  std::map<std::string, Ledger> teams_;
  JobSet waiting_, promising_;
  std::array<int, 4> accelerator_users_{}, stoppable_{};
  std::uint64_t steps_ = 0;
};

}  // namespace corkmux

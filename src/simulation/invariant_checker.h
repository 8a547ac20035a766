// Holds PROTOCOL's rules against what machines did and users were told. It is told nothing of the
// controllers' books. And the report: per class and team what was submitted, started, done; what was lost,
// and why.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "codec.h"
#include "job_registry.h"

namespace corkmux::simulation {

class InvariantChecker : public MachineObserver, public UserObserver {
 public:
  /// `now`: s of simulated time, whoever's clock runs as it likes.
  InvariantChecker(std::vector<Team> teams, double cancel_s, std::function<double()> now)
      : teams_(std::move(teams)), cancel_s_(cancel_s), now_(std::move(now)) {}

  /// From then on, s of simulated time, nothing is wrong any more.
  void set_faults_end(double at) { calm_from_ = at; }

  // --- machines ---
  void task_placed(const MachineFacts& machine, const SimulatedJob& work, int index,
                   std::uint64_t attempt) override;
  void task_removed(const std::string& machine, const SimulatedJob& work, int index, std::uint64_t attempt,
                    const std::string& why) override;
  void progress_lost(const SimulatedJob& work, const std::string& why, double seconds) override;
  void task_running(const SimulatedJob& work, int index) override;
  void task_done(const SimulatedJob& work, int index) override;

  // --- users ---
  void submitted(const JobSpec& spec) override;
  void answered_submission(const std::string& job, int status, const std::string& phase,
                           double asked_at) override;
  void gave_up(const std::string& job) override;
  void asks_to_cancel(const std::string& job) override;
  void answered_cancel(const std::string& job, int status, const std::string& phase,
                       double asked_at) override;
  void answered_poll(const std::string& job, int status, const std::string& phase, double asked_at) override;
  void answered_concurrent_read(const std::string& job, int status, const std::string& phase,
                                double asked_at) override;
  void answered_invalid(const std::string& job, int status, int wanted) override;

  /// The jobs of which something waits though it fits and its team is under its limit; looked at every so
  /// often.
  void sample_progress(const std::vector<std::string>& fitting);
  /// What can only be said once the day is over.
  void finish();

  /// "rule: what happened at what time", in order.
  const std::vector<std::string>& violations() const { return broken_; }
  bool violates(const std::string& rule) const;
  struct JobStatistics {
    int submitted = 0, accepted = 0, refused = 0, given_up = 0, started = 0, cancelled = 0, done = 0;
    std::vector<double> waits;  // s from the first try to submit to the first running task
    /// Of its largest jobs that were accepted and not cancelled: how many there are, begun in time, done.
    int largest = 0, largest_begun = 0, largest_done = 0;
    /// Of the jobs that were not cancelled.
    double served() const { return submitted > cancelled ? double(done) / (submitted - cancelled) : 1; }
  };
  std::map<std::string, JobStatistics> by_class() const { return shares(&JobSpec::job_class); }
  std::map<std::string, JobStatistics> by_team() const { return shares(&JobSpec::team); }
  const std::map<std::string, double>& lost_seconds() const { return lost_; }
  double longest_pause() const { return longest_pause_; }
  int starts() const { return starts_; }
  /// Questions about jobs that were accepted, and those answered 200 in time.
  int polls() const { return polls_; }
  int polls_answered() const { return polls_answered_; }
  /// Users told of a cancel between these moments, s of simulated time, while tasks of their jobs were on
  /// machines.
  int confirmed_cancellations(double from, double to) const;
  /// Answers to close questions, and refusals of what has to be refused.
  int concurrent_reads() const { return concurrent_reads_; }
  int invalid_refused() const { return invalid_refused_; }
  /// Starts after users were told of the cancel, and how long after at most, s.
  int starts_after_cancel() const { return starts_after_cancel_; }
  double latest_start_after_cancel() const { return latest_start_after_cancel_; }
  /// Jobs with tasks on machines that run and that nobody has called off, and where those are.
  std::map<std::string, std::vector<std::string>> running_jobs() const;
  /// For finding work that waits: accepted, not told to be over, and not all of it on machines.
  struct WaitingJob {
    const SimulatedJob* job;
    int waiting_tasks;
  };
  std::vector<WaitingJob> waiting_jobs(JobRegistry& registry) const;
  const Resources& team_usage(const std::string& team) const;

 private:
  struct Place {
    std::string machine, zone;
    std::uint64_t attempt;
    double since;
  };
  struct Job {
    JobSpec spec;
    double first_try = 0, cancel_asked = -1, cancel_told = -1, first_run = -1, accepted_at = -1,
           done_told = -1, silent_since = -1;
    bool accepted = false, refused = false, given_up = false;
    double fits_since = -1;  // in calm
    int done = 0;
    double done_at = -1;
    std::map<int, Place> places;
  };
  std::vector<double> cancels_of_running_;  // when users were told
  void broke(const char* rule, const std::string& what);
  void record_answer(Job& job, const std::string& id, int status, const std::string& phase, double asked_at);
  std::map<std::string, JobStatistics> shares(std::string JobSpec::*name) const;
  std::vector<Team> teams_;
  double cancel_s_;
  std::function<double()> now_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Resources> use_;
  std::vector<std::string> broken_;
  std::map<std::string, double> lost_;
  std::set<std::string> open_;
  int starts_ = 0, polls_ = 0, polls_answered_ = 0, concurrent_reads_ = 0, invalid_refused_ = 0,
      starts_after_cancel_ = 0;
  double latest_start_after_cancel_ = 0;
  std::set<std::string> fitting_;
  double calm_from_ = 1e18, last_start_ = 0, waits_since_ = -1, longest_pause_ = 0, any_poll_answered_ = 0;
};

}  // namespace corkmux::simulation

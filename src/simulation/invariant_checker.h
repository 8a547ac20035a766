// Holds PROTOCOL's rules against what machines did and users were told. It is told nothing of the
// controllers' state. Keeps the figures of the report, too.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "job_registry.h"
#include "job_statistics.h"
#include "machine_observer.h"
#include "team.h"
#include "time_constants.h"
#include "user_observer.h"

namespace corkmux::simulation {

class InvariantChecker : public MachineObserver, public UserObserver {
 public:
  /// `cancel_s`: within which tasks of a cancelled job end; `now`: s of simulated time, whosever clock runs
  /// as it likes.
  InvariantChecker(std::vector<Team> teams, double cancel_s, std::function<double()> now)
      : teams_(std::move(teams)), cancel_s_(cancel_s), now_(std::move(now)) {}

  /// From then on, s of simulated time, nothing is wrong any more.
  void set_faults_end(double at) { faults_end_at_ = at; }

  // MachineObserver
  void task_placed(const MachineFacts& machine, const SimulatedJob& job, int index,
                   std::uint64_t attempt) override;
  void task_removed(const std::string& machine, const SimulatedJob& job, int index, std::uint64_t attempt,
                    const std::string& why) override;
  void progress_lost(const SimulatedJob& job, const std::string& why, double seconds) override;
  void task_running(const SimulatedJob& job, int index) override;
  void task_done(const SimulatedJob& job, int index) override;

  // UserObserver
  void observe(const UserEvent& event) override;

  /// The jobs of which something waits though it fits and its team is under its limit; looked at every so
  /// often.
  void sample_progress(const std::vector<std::string>& fitting);
  /// What can only be said once the simulation is over.
  void finish();

  /// "rule: what happened at what time", in order.
  const std::vector<std::string>& violations() const { return violations_; }
  bool violates(const std::string& rule) const;

  using JobStatistics = simulation::JobStatistics;
  std::map<std::string, JobStatistics> by_class() const;
  std::map<std::string, JobStatistics> by_team() const;
  /// Of tasks' runs, by why they were lost.
  const std::map<std::string, double>& lost_seconds() const { return lost_seconds_; }
  /// s between starts while something waited that fits.
  double longest_pause() const { return longest_pause_; }
  int starts() const { return starts_; }
  /// Questions about jobs that were accepted, and those answered 200 in time.
  int polls() const { return polls_; }
  int polls_answered() const { return polls_answered_; }
  /// Users told of a cancellation between these moments, s of simulated time, while tasks of their jobs were
  /// on machines.
  int confirmed_cancellations(double from, double to) const;
  /// Answers to concurrent reads, and refusals of what has to be refused.
  int concurrent_reads() const { return concurrent_reads_; }
  int invalid_refused() const { return invalid_refused_; }
  /// Starts after users were told of the cancellation, and how long after at most, s.
  int starts_after_cancel() const { return starts_after_cancel_; }
  double latest_start_after_cancel() const { return latest_start_after_cancel_; }
  /// Jobs with tasks on machines that run and that nobody has cancelled, and where those are.
  std::map<std::string, std::vector<std::string>> running_jobs() const;

  struct WaitingJob {
    const SimulatedJob* job;
    int waiting_tasks;
  };
  /// Accepted, not told to be over, and not all of it on machines.
  std::vector<WaitingJob> waiting_jobs(JobRegistry& registry) const;
  const Resources& team_usage(const std::string& team) const;

 private:
  void violated(const char* rule, const std::string& what);
  // Checks of a task that is placed.
  void check_requirements(const JobSpec& spec, const MachineFacts& machine, const std::string& task);
  void check_zones(const JobHistory& history, const JobSpec& spec, const std::string& zone,
                   const std::string& task);
  void check_not_cancelled(const JobHistory& history, const std::string& task);
  void check_quota(const std::string& team);
  bool is_past_cancellation(const JobHistory& history) const;

  void on(const JobSubmitted& event);
  void on(const UserAnswer& answer);
  void on(const SubmissionAbandoned& event);
  void on(const CancellationRequested& event);
  void on(const InvalidSubmissionAnswered& answer);
  void submission_answered(const UserAnswer& answer);
  void poll_answered(const UserAnswer& answer);
  void poll_unanswered(const std::string& id, JobHistory& history);
  /// Holds the answer against all that users were told before it was asked for, and remembers it.
  void check_answer(const UserAnswer& answer);
  void check_phase(const UserAnswer& answer, const JobHistory& history);
  void remember_phase(const UserAnswer& answer, JobHistory& history);
  void check_left_waiting(const std::vector<std::string>& fitting);

  std::vector<Team> teams_;
  double cancel_s_;
  std::function<double()> now_;
  double faults_end_at_ = kNever;
  JobHistories jobs_;
  std::set<std::string> unfinished_;  // accepted jobs that no user was told to be over
  std::map<std::string, Resources> team_usage_;
  std::vector<std::string> violations_;
  std::map<std::string, double> lost_seconds_;
  std::vector<double> cancellations_of_running_;  // when users were told
  std::set<std::string> fitting_;                 // as sampled last
  std::optional<double> waiting_since_;           // something fits
  double last_start_ = 0;
  double longest_pause_ = 0;
  double any_poll_answered_at_ = 0;
  int starts_ = 0;
  int polls_ = 0;
  int polls_answered_ = 0;
  int concurrent_reads_ = 0;
  int invalid_refused_ = 0;
  int starts_after_cancel_ = 0;
  double latest_start_after_cancel_ = 0;
};

}  // namespace corkmux::simulation

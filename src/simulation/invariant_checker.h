// Checks the rules of the protocol against the events of machines and the answers to users, without access to
// the controllers' state. Also collects the figures of the simulation report.
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
  /// `cancel_s`: time within which tasks of a cancelled job must end; `now`: s of simulated time, independent
  /// of the skewed clocks of the simulated hosts.
  InvariantChecker(std::vector<Team> teams, double cancel_s, std::function<double()> now)
      : teams_(std::move(teams)), cancel_s_(cancel_s), now_(std::move(now)) {}

  /// Sets the time, in s of simulated time, from which no fault is in force.
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

  /// Called periodically with the jobs that have waiting tasks although these fit and the team is under its
  /// limit.
  void sample_progress(const std::vector<std::string>& fitting);
  /// Checks the rules that can only be decided at the end of the simulation.
  void finish();

  /// Each as "rule: event at time", in order.
  const std::vector<std::string>& violations() const { return violations_; }
  bool violates(const std::string& rule) const;

  using JobStatistics = simulation::JobStatistics;
  std::map<std::string, JobStatistics> by_class() const;
  std::map<std::string, JobStatistics> by_team() const;
  /// Lost seconds of task runs, by the cause of the loss.
  const std::map<std::string, double>& lost_seconds() const { return lost_seconds_; }
  /// Longest time between task starts, s, while a waiting task fitted.
  double longest_pause() const { return longest_pause_; }
  int starts() const { return starts_; }
  /// Polls of accepted jobs, and how many of these were answered 200 in time.
  int polls() const { return polls_; }
  int polls_answered() const { return polls_answered_; }
  /// Number of cancellations confirmed to users between these times, s of simulated time, while tasks of the
  /// cancelled job were on machines.
  int confirmed_cancellations(double from, double to) const;
  /// Successful answers to concurrent reads, and invalid submissions refused with the required status.
  int concurrent_reads() const { return concurrent_reads_; }
  int invalid_refused() const { return invalid_refused_; }
  /// Task starts after the cancellation was confirmed to a user, and the longest such delay, s.
  int starts_after_cancel() const { return starts_after_cancel_; }
  double latest_start_after_cancel() const { return latest_start_after_cancel_; }
  /// Running jobs without a cancellation request, with the machines of their tasks.
  std::map<std::string, std::vector<std::string>> running_jobs() const;

  struct WaitingJob {
    const SimulatedJob* job;
    int waiting_tasks;
  };
  /// Jobs that were accepted, not reported to a user as finished, and have tasks that are not on machines.
  std::vector<WaitingJob> waiting_jobs(JobRegistry& registry) const;
  const Resources& team_usage(const std::string& team) const;

 private:
  void violated(const char* rule, const std::string& what);
  // Checks at the placement of a task.
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
  /// Checks the answer against all answers that users received before its request was sent, and records it.
  void check_answer(const UserAnswer& answer);
  void check_phase(const UserAnswer& answer, const JobHistory& history);
  void remember_phase(const UserAnswer& answer, JobHistory& history);
  void check_waiting_time(const std::vector<std::string>& fitting);

  std::vector<Team> teams_;
  double cancel_s_;
  std::function<double()> now_;
  double faults_end_at_ = kNever;
  JobHistories jobs_;
  std::set<std::string> unfinished_;  // accepted jobs not reported to a user as finished
  std::map<std::string, Resources> team_usage_;
  std::vector<std::string> violations_;
  std::map<std::string, double> lost_seconds_;
  std::vector<double> cancellations_of_running_;  // when confirmed to users
  std::set<std::string> fitting_;                 // from the last sample
  std::optional<double> waiting_since_;           // since when a waiting task fits
  double last_start_ = 0;
  double longest_pause_ = 0;
  double last_answered_poll_at_ = 0;
  int starts_ = 0;
  int polls_ = 0;
  int polls_answered_ = 0;
  int concurrent_reads_ = 0;
  int invalid_refused_ = 0;
  int starts_after_cancel_ = 0;
  double latest_start_after_cancel_ = 0;
};

}  // namespace corkmux::simulation

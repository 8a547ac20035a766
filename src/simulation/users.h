// Simulates users as the protocol describes them, behind its load balancer: they submit and resubmit jobs,
// poll, cancel some jobs, and occasionally query jobs that are finished or were never submitted. Runs on any
// Loop.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "job_registry.h"
#include "load_balancer.h"
#include "time_constants.h"
#include "user_observer.h"

namespace corkmux::simulation {

class Users {
 public:
  /// `controllers`: label and address of each controller; `now`: the observer's clock, s.
  Users(Loop& loop, const std::map<std::string, std::string>& controllers, UserObserver& observer,
        JobRegistry& registry, std::function<double()> now = steady_now);
  /// Submits the job now, and cancels it `cancel_after_s` later; empty: never.
  void submit(SimulatedJob job, std::optional<double> cancel_after_s);
  /// Sends one status query for a job, which need not have been submitted here.
  void poll_once(const std::string& job);
  /// Multiplies the normal poll rate by `factor` from now on.
  void scale_poll_rate(double factor);
  /// Until `time`, s of the steady clock: status queries at every controller within milliseconds, and
  /// resubmissions, right after a job was accepted, ended or confirmed as cancelled; some jobs are cancelled
  /// at once.
  void read_concurrently_until(double time) { concurrent_reads_until_ = time; }
  /// Until `time`: resubmissions, cancellations of done jobs, and jobs that lack a field or can never run.
  void send_invalid_requests_until(double time);
  /// Until `time`: cancels `share` of the ending jobs at the moment of their end.
  void cancel_at_end_until(double time, double share);
  /// Called when the last task of the job has just ended.
  void job_ended(const std::string& job);
  /// Users cancel these jobs within kCancelWindow.
  void cancel_soon(const std::vector<std::string>& jobs);

 private:
  void try_submit(const std::string& job, double give_up_at);
  void submission_answered(const std::string& job, int status, double give_up_at);
  void poll(const std::string& job);
  void poll_answered(const std::string& job, const UserAnswer& answer);
  void poll_after(double delay_s, const std::string& job);
  void cancel(const std::string& job);
  void request_cancellation(const std::string& job);
  void read_concurrently(const std::string& job);
  void read_at(std::size_t controller, const std::string& job);
  void resubmit_at(std::size_t controller, const std::string& job);
  void send_invalid_request();
  void cancel_finished(const std::string& job);
  void send_invalid_submission();
  std::string submission(const std::string& job) const;
  const std::string& random_job(const std::vector<std::string>& jobs);
  void after(double delay_s, std::function<void()> callback);
  /// Passes the answer to the observer and returns it.
  UserAnswer observe(UserAnswer::Request kind, const std::string& job, const http::Result& result,
                     double requested_at);

  Loop& loop_;
  LoadBalancer balancer_;
  UserObserver& observer_;
  JobRegistry& registry_;
  std::function<double()> now_;
  std::mt19937_64 rng_;
  double poll_factor_ = 1;
  // s of the steady clock
  double concurrent_reads_until_ = kLongAgo;
  double invalid_requests_until_ = kLongAgo;
  double cancel_at_end_until_ = kLongAgo;
  double cancel_at_end_share_ = 0;
  int invalid_submissions_ = 0;
  // By the last answers that users received.
  std::vector<std::string> unfinished_;
  std::vector<std::string> finished_;
  std::map<std::string, std::uint64_t> next_poll_;  // poll timers, by job
};

}  // namespace corkmux::simulation

// Users as PROTOCOL has them, behind its load balancer: they submit and repeat, poll, cancel some jobs, and
// now and then ask about jobs that are over or that nobody submitted. Runs on any Loop.
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
  /// `controllers`: label and address of each; `now`: the clock of the observer, s.
  Users(Loop& loop, const std::map<std::string, std::string>& controllers, UserObserver& observer,
        JobRegistry& registry, std::function<double()> now = steady_now);
  /// Submits it now, and cancels it so long after; none: never.
  void submit(SimulatedJob job, std::optional<double> cancel_after_s);
  /// One question about a job, whoever submitted it.
  void poll_once(const std::string& job);
  /// Polls come so many times as often from now on.
  void scale_poll_rate(double factor);
  /// Until then, s of the steady clock: questions at every controller within milliseconds, and repeats, right
  /// after a job was accepted, ended or confirmed as cancelled; some cancel at once.
  void read_concurrently_until(double time) { concurrent_reads_until_ = time; }
  /// Until then: repeats, cancellations of what is done, and jobs that lack a field or can never run.
  void send_invalid_requests_until(double time);
  /// Until then: that share of the jobs that end is cancelled at that moment.
  void cancel_at_end_until(double time, double share);
  /// The last task of the job has ended just now.
  void job_ended(const std::string& job);
  /// Their users cancel these within a moment.
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
  const std::string& any_of(const std::vector<std::string>& jobs);
  void after(double delay_s, std::function<void()> callback);
  /// Tells the observer, and returns what it was told.
  UserAnswer observe(UserAnswer::To kind, const std::string& job, const http::Result& result,
                     double asked_at);

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
  // As their users know it.
  std::vector<std::string> unfinished_;
  std::vector<std::string> finished_;
  std::map<std::string, std::uint64_t> next_poll_;  // timers of jobs that are polled
};

}  // namespace corkmux::simulation

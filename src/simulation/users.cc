#include "users.h"

#include <algorithm>

#include "codec.h"
#include "invalid_submission.h"
#include "simulation_constants.h"

namespace corkmux::simulation {
namespace {

constexpr int kCancelAtOnceOneIn = 12;  // of accepted jobs, during concurrent reads
constexpr int kLateRequestOneIn = 8;    // of users whose job is finished
constexpr double kLateRequestIntervals = 10;
constexpr double kPollJitter = 0.1;  // share by which the poll interval varies
constexpr int kFirstInvalidNumber = 100000;

std::string job_target(const std::string& job) { return "/work/" + job; }
std::string cancel_target(const std::string& job) { return "/work/" + job + "/withdraw"; }

std::string phase_in(const http::Result& result) {
  const auto body = codec::unpack(result.body);
  return body && body->is_object() ? body->value("phase", "") : "";
}

bool is_over(const UserAnswer& answer) {
  return answer.status == 200 && (answer.phase == "done" || answer.phase == "cancelled");
}

}  // namespace

Users::Users(Loop& loop, const std::map<std::string, std::string>& controllers, UserObserver& observer,
             JobRegistry& registry, std::function<double()> now)
    : loop_(loop),
      balancer_(loop, controllers),
      observer_(observer),
      registry_(registry),
      now_(std::move(now)),
      rng_(fresh_seed()) {}

void Users::after(double delay_s, std::function<void()> callback) {
  loop_.call_later(delay_s, std::move(callback));
}

UserAnswer Users::observe(UserAnswer::Request kind, const std::string& job, const http::Result& result,
                          double requested_at) {
  UserAnswer answer{kind, job, result.status, phase_in(result), requested_at};
  observer_.observe(answer);
  return answer;
}

// ---------------------------------------------------------------- submissions

void Users::submit(SimulatedJob job, std::optional<double> cancel_after_s) {
  const auto id = job.spec.id;
  observer_.observe(JobSubmitted{job.spec});
  registry_.add(std::move(job));
  try_submit(id, steady_now() + kSubmitRetryTime);
  if (cancel_after_s) after(*cancel_after_s, [this, id] { request_cancellation(id); });
}

std::string Users::submission(const std::string& job) const {
  return codec::pack(codec::job_to_wire(registry_.find(job)->spec));
}

void Users::try_submit(const std::string& job, double give_up_at) {
  balancer_.request("POST", "/work", submission(job), kSubmitTimeout,
                    [this, job, give_up_at, requested_at = now_()](const http::Result& result) {
                      observe(UserAnswer::Request::Submission, job, result, requested_at);
                      submission_answered(job, result.status, give_up_at);
                    });
}

void Users::submission_answered(const std::string& job, int status, double give_up_at) {
  if (status == 400 || status == 422) return;
  if (status == 200 || status == 201) {
    if (status == 201) unfinished_.push_back(job);
    read_concurrently(job);
    if (steady_now() < concurrent_reads_until_ && rng_() % kCancelAtOnceOneIn == 0) cancel_soon({job});
    return poll_after(kPollInterval, job);
  }
  if (steady_now() + kRetryDelay < give_up_at)
    return after(kRetryDelay, [this, job, give_up_at] { try_submit(job, give_up_at); });
  observer_.observe(SubmissionAbandoned{job});
}

// ---------------------------------------------------------------- polls

void Users::poll(const std::string& job) {
  balancer_.request("GET", job_target(job), "", kPollTimeout,
                    [this, job, requested_at = now_()](const http::Result& result) {
                      poll_answered(job, observe(UserAnswer::Request::Poll, job, result, requested_at));
                    });
}

void Users::poll_answered(const std::string& job, const UserAnswer& answer) {
  std::uniform_real_distribution<double> jitter(1 - kPollJitter, 1 + kPollJitter);
  const double interval_s = jitter(rng_) * kPollInterval;
  if (!is_over(answer)) return poll_after(interval_s, job);
  if (answer.phase == "done") finished_.push_back(job);
  std::erase(unfinished_, job);
  // Some users send another request much later: a status query or the same submission.
  if (rng_() % kLateRequestOneIn != 0) return;
  after(kLateRequestIntervals * interval_s, [this, job] {
    if (rng_() % 2)
      poll(job);
    else
      try_submit(job, kLongAgo);
  });
}

void Users::poll_after(double delay_s, const std::string& job) {
  next_poll_[job] = loop_.call_later(delay_s / poll_factor_, [this, job] {
    next_poll_.erase(job);
    poll(job);
  });
}

void Users::poll_once(const std::string& job) {
  balancer_.request("GET", job_target(job), "", kPollTimeout,
                    [this, job, requested_at = now_()](const http::Result& result) {
                      observe(UserAnswer::Request::Poll, job, result, requested_at);
                    });
}

void Users::scale_poll_rate(double factor) {
  poll_factor_ = factor;
  // Pending polls may be due too late at the new rate; they are rescheduled at random times, spread apart.
  std::uniform_real_distribution<double> delay_s(0, kPollInterval);
  for (const auto& [job, timer] : std::map<std::string, std::uint64_t>(next_poll_)) {
    loop_.cancel(timer);
    poll_after(delay_s(rng_), job);
  }
}

// ---------------------------------------------------------------- cancellations

void Users::cancel(const std::string& job) {
  balancer_.request("POST", cancel_target(job), "", kSubmitTimeout,
                    [this, job, requested_at = now_()](const http::Result& result) {
                      observe(UserAnswer::Request::Cancellation, job, result, requested_at);
                      if (result.status == 200) return read_concurrently(job);
                      after(kRetryDelay, [this, job] { cancel(job); });
                    });
}

void Users::request_cancellation(const std::string& job) {
  observer_.observe(CancellationRequested{job});
  cancel(job);
}

void Users::cancel_soon(const std::vector<std::string>& jobs) {
  std::uniform_real_distribution<double> delay_s(0, kCancelWindow);
  for (const auto& job : jobs) after(delay_s(rng_), [this, job] { request_cancellation(job); });
}

void Users::cancel_at_end_until(double time, double share) {
  cancel_at_end_until_ = time;
  cancel_at_end_share_ = share;
}

void Users::job_ended(const std::string& job) {
  read_concurrently(job);
  std::uniform_real_distribution<double> chance(0, 1);
  const bool cancelled = chance(rng_) < cancel_at_end_share_;
  if (steady_now() < cancel_at_end_until_ && cancelled) request_cancellation(job);
}

// ---------------------------------------------------------------- concurrent reads

/// No controller may return an older state than another has returned before: every controller is queried
/// kConcurrentReadsPerController times, and one gets the submission again.
void Users::read_concurrently(const std::string& job) {
  if (steady_now() >= concurrent_reads_until_) return;
  std::uniform_real_distribution<double> delay_s(0, kConcurrentReadWindow);
  for (std::size_t controller = 0; controller < balancer_.controllers(); ++controller)
    for (int i = 0; i < kConcurrentReadsPerController; ++i)
      after(delay_s(rng_), [this, job, controller] { read_at(controller, job); });
  const std::size_t controller = rng_() % balancer_.controllers();
  after(delay_s(rng_), [this, job, controller] { resubmit_at(controller, job); });
}

void Users::read_at(std::size_t controller, const std::string& job) {
  balancer_.request_at(controller, "GET", job_target(job), "", kPollTimeout,
                       [this, job, requested_at = now_()](const http::Result& result) {
                         observe(UserAnswer::Request::ConcurrentRead, job, result, requested_at);
                       });
}

void Users::resubmit_at(std::size_t controller, const std::string& job) {
  balancer_.request_at(controller, "POST", "/work", submission(job), kSubmitTimeout,
                       [this, job, requested_at = now_()](const http::Result& result) {
                         observe(UserAnswer::Request::Submission, job, result, requested_at);
                       });
}

// ---------------------------------------------------------------- invalid requests

void Users::send_invalid_requests_until(double time) {
  const bool begins = steady_now() >= invalid_requests_until_;
  invalid_requests_until_ = time;
  if (begins) send_invalid_request();
}

const std::string& Users::random_job(const std::vector<std::string>& jobs) {
  return jobs[rng_() % jobs.size()];
}

void Users::send_invalid_request() {
  if (steady_now() >= invalid_requests_until_) return;
  after(kInvalidRequestInterval, [this] { send_invalid_request(); });
  const auto kind = rng_() % 4;
  if (kind == 0 && !unfinished_.empty()) return try_submit(random_job(unfinished_), kLongAgo);
  if (kind == 1 && !finished_.empty()) return cancel_finished(random_job(finished_));
  send_invalid_submission();
}

void Users::cancel_finished(const std::string& job) {
  balancer_.request("POST", cancel_target(job), "", kSubmitTimeout,
                    [this, job, requested_at = now_()](const http::Result& result) {
                      observe(UserAnswer::Request::ConcurrentRead, job, result, requested_at);
                    });
}

void Users::send_invalid_submission() {
  if (registry_.jobs().empty()) return;
  ++invalid_submissions_;
  const auto id = "run-8" + std::to_string(kFirstInvalidNumber + invalid_submissions_);
  auto valid = codec::job_to_wire(registry_.jobs().begin()->second.spec);
  valid["ref"] = id;
  const auto invalid = make_invalid_submission(std::move(valid), invalid_submissions_, rng_);
  balancer_.request("POST", "/work", codec::pack(invalid.job), kSubmitTimeout,
                    [this, id, required = invalid.required_status](const http::Result& result) {
                      observer_.observe(InvalidSubmissionAnswered{id, result.status, required});
                    });
}

}  // namespace corkmux::simulation

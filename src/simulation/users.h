// Users as PROTOCOL has them, behind its load balancer: they submit and repeat, poll, cancel some jobs, and
// now and then ask about jobs that are over or that nobody submitted.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http.h"
#include "invariant_checker.h"
#include "job_registry.h"

namespace corkmux::simulation {

/// Sends each new connection to a healthy controller.
class Balancer {
 public:
  Balancer(Loop& loop, const std::map<std::string, std::string>& controllers);
  using Done = std::function<void(http::Result)>;
  void request(const char* method, const std::string& target, std::string body, double timeout_s, Done done);
  /// At that one, healthy or not.
  void request_at(std::size_t node, const char* method, const std::string& target, std::string body,
                  double timeout_s, Done done);
  std::size_t nodes() const { return nodes_.size(); }

 private:
  struct Node {
    std::unique_ptr<http::Client> client;
    bool healthy = false, ever = false;
    int good = 0, bad = 0, refused = 0, removals = 0;
    double not_before = 0, skip_until = 0, removed_at = -1e9;
  };
  void probe(Node& node);
  Node* pick(std::vector<Node*>& tried);
  void attempt(const char* method, std::string target, std::string body, double timeout_s, Done done,
               std::vector<Node*> tried);
  Loop& loop_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::mt19937_64 rng_;
  Timer probes_;
};

class Users {
 public:
  /// `now`: the clock of the observer, s.
  Users(Loop& loop, const std::map<std::string, std::string>& controllers, UserObserver& observer,
        JobRegistry& registry, std::function<double()> now = steady_now);
  /// Submits it now; `cancel_after_s` from then: none: never.
  void submit(SimulatedJob work, std::optional<double> cancel_after_s);
  void poll_once(const std::string& job);
  /// Polls come so many times as often from now on.
  void scale_poll_rate(double factor);
  /// Until then, s of the steady clock: questions at every controller within milliseconds, and repeats, right
  /// after a job was accepted, ended or confirmed as cancelled; some cancel at once.
  void read_concurrently_until(double time) { concurrent_reads_until_ = time; }
  /// Until then: repeats, cancels of what is done, and jobs that lack a field or can never run.
  void send_invalid_requests_until(double time);
  /// Until then: that share of the jobs that end is called off at that moment.
  void cancel_at_end_until(double time, double share) { cancel_end_until_ = time, cancel_end_share_ = share; }
  /// The last task of the job has ended just now.
  void job_ended(const std::string& id);
  /// Their users call these off within a moment.
  void cancel_soon(const std::vector<std::string>& jobs);

 private:
  void try_submit(const std::string& id, double until);
  void poll(const std::string& id);
  void poll_after(double s, const std::string& id);
  void cancel(const std::string& id);
  void request_cancel(const std::string& id);
  void read_concurrently(const std::string& id);
  void invalid_request();
  void invalid_submission();
  std::string submission(const std::string& id) const;
  void after(double s, std::function<void()> fn);
  Loop& loop_;
  Balancer balancer_;
  UserObserver& observer_;
  JobRegistry& registry_;
  std::function<double()> now_;
  std::mt19937_64 rng_;
  double poll_factor_ = 1, concurrent_reads_until_ = -1, invalid_until_ = -1, cancel_end_until_ = -1,
         cancel_end_share_ = 0;
  int invalid_jobs_ = 0;
  std::vector<std::string> unfinished_, finished_;  // as their users know it
  std::map<std::string, std::uint64_t> next_poll_;  // timers of jobs that are polled
};

}  // namespace corkmux::simulation

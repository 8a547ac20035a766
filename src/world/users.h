// Users as PROTOCOL has them, behind its load balancer: they submit and repeat, poll, cancel some jobs, and
// now and then ask about jobs that are over or that nobody submitted.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "checker.h"
#include "http.h"
#include "yard.h"

namespace corkmux::world {

/// Sends each new connection to a healthy controller.
class Balancer {
 public:
  Balancer(Loop& loop, const std::map<std::string, std::string>& controllers);
  using Done = std::function<void(http::Result)>;
  void request(const char* method, const std::string& target, std::string body, double timeout_s, Done done);

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
  Users(Loop& loop, const std::map<std::string, std::string>& controllers, Checker& checker, Yard& yard);
  /// Submits it now; `cancel_after_s` from then: negative: never.
  void submit(Work work, double cancel_after_s);
  void ask_about(const std::string& job);
  /// Polls come so many times as often from now on.
  void ask_more(double factor);

 private:
  void try_submit(const std::string& id, double until);
  void poll(const std::string& id);
  void poll_after(double s, const std::string& id);
  void cancel(const std::string& id);
  void after(double s, std::function<void()> fn);
  Loop& loop_;
  Balancer balancer_;
  Checker& checker_;
  Yard& yard_;
  std::mt19937_64 rng_;
  double poll_factor_ = 1;
  std::map<std::string, std::uint64_t> next_poll_;  // timers of jobs that are polled
};

}  // namespace corkmux::world

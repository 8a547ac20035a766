// Checks whether every job that a submission depends on was ever accepted: one lookup in the state store for
// each job, a few at a time. Lives until its last lookup is answered; never writes.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "job_status_cache.h"
#include "state_client.h"

namespace corkmux {

class DependencyCheck : public std::enable_shared_from_this<DependencyCheck> {
 public:
  enum class Status {
    AllAccepted,
    NeverAccepted,    // Result::job is the job
    Unreadable,       // the state store cannot be read
    DeadlineExceeded  // accepted jobs found so far are cached, so the next check gets further
  };
  struct Result {
    Status status;
    std::string job;
  };
  using Callback = std::function<void(const Result&)>;
  /// Starts a check. `jobs`: to look up; `deadline`: s of the steady clock after which no further lookup
  /// begins. `done` is called once, maybe before start() returns.
  static void start(StateClient& state, JobStatusCache& status_cache, std::vector<std::string> jobs,
                    double deadline, Callback done);

 private:
  DependencyCheck(StateClient& state, JobStatusCache& status_cache, std::vector<std::string> jobs,
                  double deadline, Callback done);
  /// Finishes, or begins as many lookups as may run at the same time.
  void advance();
  void look_up(const std::string& job);
  void look_up_outcome(const std::string& job);
  void add_accepted(const std::string& job);
  void finish(const Result& result);
  StateClient& state_;
  JobStatusCache& status_cache_;
  std::vector<std::string> pending_jobs_;
  double deadline_;
  Callback done_;
  int reads_in_flight_ = 0;
  bool finished_ = false;
};

}  // namespace corkmux

// Whether every job that a submission depends on was ever accepted: one lookup in the state store each, a few
// at a time. Lives until its last lookup is answered; never writes.
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
    NeverAccepted,  // names the job
    Unreadable,     // the state service cannot be read
    OutOfTime       // what was found stays known, so the next check gets further
  };
  struct Result {
    Status status;
    std::string job;
  };
  using Callback = std::function<void(const Result&)>;
  /// `jobs`: to look up; `until`: s of the steady clock after which no further lookup begins. `done` is
  /// called once, perhaps at once.
  static void start(StateClient& state, JobStatusCache& status_cache, std::vector<std::string> jobs,
                    double until, Callback done);

 private:
  DependencyCheck(StateClient& state, JobStatusCache& status_cache, std::vector<std::string> jobs,
                  double until, Callback done);
  /// Finishes, or begins as many lookups as may run.
  void advance();
  void look_up(const std::string& job);
  void look_up_end(const std::string& job);
  void found(const std::string& job);
  void finish(const Result& result);
  StateClient& state_;
  JobStatusCache& status_cache_;
  std::vector<std::string> not_looked_up_;
  double until_;
  Callback done_;
  int reading_ = 0;
  bool finished_ = false;
};

}  // namespace corkmux

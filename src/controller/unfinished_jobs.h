// Looks up which jobs are unfinished, for heartbeats that name many jobs: reads all jobs from the state
// store, repeatedly while look-ups wait. Owns the result of the last read; never writes.
#pragma once
#include <functional>
#include <string>
#include <unordered_set>
#include <vector>

#include "event_loop.h"
#include "state_client.h"
#include "time_constants.h"

namespace corkmux {

namespace constants {
inline constexpr double kJobReadInterval = 0.4;  // s between starts of reads of all jobs, a few pages each
}

class UnfinishedJobs {
 public:
  enum class Result { Known, Unreadable };
  using Callback = std::function<void(Result)>;
  UnfinishedJobs(Loop& loop, StateClient& state) : state_(state), timer_(loop) {}
  /// Calls back, maybe before returning, as soon as contains() is valid for each of these jobs, or with
  /// Unreadable if the jobs could not be read.
  void look_up(std::vector<std::string> jobs, Callback done);
  /// Whether the job was unfinished and not cancelled at the last read.
  bool contains(const std::string& job) const { return jobs_.contains(job); }

 private:
  using Names = std::unordered_set<std::string>;
  struct Waiting {
    std::vector<std::string> jobs;
    Callback done;
    double started_at;  // when the look-up began, s of the steady clock
  };
  bool has_answer_for(const Waiting& waiting) const;
  void schedule_read();
  void read();
  void add_record(const codec::KeyValue& record);
  void read_succeeded();
  void read_failed(StateStatus status);
  StateClient& state_;
  std::vector<Waiting> waiting_;
  Names jobs_;                         // unfinished and not cancelled at last_read_at_
  Names unfinished_found_;             // jobs found by the read under way, cancelled ones apart
  Names cancelled_found_;              // cancelled jobs found by the read under way
  double last_read_at_ = kLongAgo;     // when the last successful read began
  double read_started_at_ = kLongAgo;  // when the last read began
  bool reading_ = false;
  Timer timer_;
};

}  // namespace corkmux

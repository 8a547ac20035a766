// Which jobs are unfinished, for heartbeats that name many: reads all of them from the state store, again and
// again while somebody waits. Owns the last such list; never writes.
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
inline constexpr double kJobReads = 0.4;  // s between reads of all jobs, a few pages each
}

class UnfinishedJobs {
 public:
  enum class Result { Known, Unreadable };
  using Callback = std::function<void(Result)>;
  UnfinishedJobs(Loop& loop, StateClient& state) : state_(state), timer_(loop) {}
  /// Calls back, perhaps at once, as soon as contains() says of each of these jobs whether it is unfinished.
  void look_up(std::vector<std::string> jobs, Callback done);
  /// Whether the job was unfinished and not cancelled at the last read.
  bool contains(const std::string& job) const { return jobs_.contains(job); }

 private:
  using Names = std::unordered_set<std::string>;
  struct Waiting {
    std::vector<std::string> jobs;
    Callback done;
    double since;  // s of the steady clock
  };
  bool known(const Waiting& waiting) const;
  void schedule_read();
  void read();
  void take(const codec::KeyValue& record);
  void read_succeeded();
  void read_failed(StateStatus status);
  StateClient& state_;
  std::vector<Waiting> waiting_;
  Names jobs_;                       // unfinished and not cancelled at read_at_
  Names found_;                      // by the read under way
  Names cancelled_;                  // by the read under way
  double read_at_ = kLongAgo;        // when the last successful read began
  double reading_since_ = kLongAgo;  // when the last read began
  bool reading_ = false;
  Timer timer_;
};

}  // namespace corkmux

// What this controller knows of jobs without asking the state store: how they ended, which were accepted, and
// how far unfinished ones have got by the leader's word. Owns these facts, bounded; reads and writes nothing
// elsewhere. Shared by all front ends.
#pragma once
#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "codec.h"
#include "job_record.h"

namespace corkmux {

/// How a job ended.
struct JobEnd {
  std::string phase;  // job_phase::kDone or kCancelled
  int tasks_done = 0;
};

class JobStatusCache {
 public:
  struct Callbacks {
    std::function<void(const std::string& job)> ended;      // its end is known for the first time
    std::function<void(const std::string& job)> cancelled;  // a front ends' cancel is stored
  };
  explicit JobStatusCache(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

  /// The leader's word on a job.
  void update(const codec::JobView& view);
  /// Its end stands in the state store.
  void remember_end(const std::string& job, const JobEnd& end);
  /// Its cancel stands in the state store: the leader is told, on the first call.
  void note_cancelled(const std::string& job);
  /// Its acceptance stands in the state store, for good.
  void note_accepted(const std::string& job);

  bool ended(const std::string& job) const { return ends_.contains(job); }
  /// Whether it is known without a look into the state store that the job was accepted.
  bool known_accepted(const std::string& job) const { return accepted_.contains(job) || ended(job); }
  /// A job that the store says is in this phase, with what is known of its tasks.
  codec::JobView display(const std::string& job, const std::string& phase) const;
  /// A job whose end is known; not called for others.
  codec::JobView display_ended(const std::string& job) const { return display(job, ends_.at(job).phase); }

 private:
  Callbacks callbacks_;
  std::unordered_map<std::string, JobEnd> ends_;
  std::deque<std::string> end_order_;  // oldest first
  std::unordered_set<std::string> accepted_;
  std::unordered_map<std::string, codec::JobView> views_;
  std::deque<std::string> view_order_;  // oldest first
};

}  // namespace corkmux

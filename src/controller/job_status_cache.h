// Caches what this controller has received about jobs, to answer without a read of the state store: how they
// ended, which were accepted, and the progress of unfinished ones as published by the leader. Owns these
// entries, bounded in number; reads and writes nothing elsewhere. Shared by all front ends.
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
    std::function<void(const std::string& job)> ended;      // the job's end is cached for the first time
    std::function<void(const std::string& job)> cancelled;  // a front end's cancel is stored
  };
  explicit JobStatusCache(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

  /// Takes in the leader's view of a job.
  void update(const codec::JobView& view);
  /// The job's end is stored in the state store.
  void cache_end(const std::string& job, const JobEnd& end);
  /// The job's cancel is stored in the state store: the first call notifies the leader.
  void note_cancelled(const std::string& job);
  /// The job's acceptance is stored in the state store and is final.
  void note_accepted(const std::string& job);

  bool ended(const std::string& job) const { return ends_.contains(job); }
  /// Whether it is known without a read of the state store that the job was accepted.
  bool known_accepted(const std::string& job) const { return accepted_.contains(job) || ended(job); }
  /// The view of a job that has this phase in the state store, with the cached progress of its tasks.
  codec::JobView display(const std::string& job, const std::string& phase) const;
  /// The view of a job whose end is cached; must not be called for others.
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

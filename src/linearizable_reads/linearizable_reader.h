// Current answers to questions about unfinished jobs, many of them from one look at the state service.
//
// Owns the questions that wait. Each answer rests on a look that was sent after the question came. It reads
// and compares, and never writes; it knows nothing of connections, and nothing of jobs that are over.
#pragma once
#include <functional>
#include <string>
#include <unordered_map>

#include "event_loop.h"
#include "read_batcher.h"
#include "settings.h"
#include "state_client.h"

namespace corkmux {

class LinearizableReader : public Actor<LinearizableReader> {
 public:
  /// What a read of a job has shown.
  struct Standing {
    bool unfinished = false;
    std::uint64_t revision = 0;     // of an unfinished job's record
    std::string phase = {};         // of any other: as it is to be told; empty: never accepted
    bool has_dependencies = false;  // an unfinished job that awaits others, or may
  };
  /// No value: the state service could not say.
  using Done = std::function<void(std::optional<Standing>)>;
  using Read = std::function<void(const std::string& job, Done done)>;
  LinearizableReader(Loop& loop, const Settings& settings, StateClient& state, Read read);
  /// Answered within kReadDeadline, or given up on.
  void ask(const std::string& job, Done done);
  /// The job was accepted, or read for another reason.
  void learn(const std::string& job, std::uint64_t revision, bool has_dependencies = false) {
    queue_.learn(job, revision, has_dependencies);
  }
  void forget(const std::string& job) { queue_.forget(job); }
  std::size_t known() const { return queue_.known(); }

 private:
  void pump();
  void send(ReadBatcher::ReadBatch look);
  void compare(ReadBatcher::ReadBatch look);
  void read(ReadBatcher::ReadBatch look);
  void tell(const std::vector<ReadBatcher::RequestId>& requests, const std::optional<Standing>& standing);
  StateClient& state_;
  Read read_;
  ReadBatcher queue_;
  std::unordered_map<ReadBatcher::RequestId, Done> asking_;
  ReadBatcher::RequestId next_ = 1;
  double paused_until_ = -1e9;
  double took_ = 0, patience_;  // s: looks of late, smoothed; until one counts as lost
  Timer timer_;
};

}  // namespace corkmux

// Linearizable reads of jobs for status queries, many of them proven by one request to the state store.
//
// Owns the reads that wait for an answer. Each answer rests on a request that was sent after the read came.
// It reads and compares, and never writes; it knows nothing of users' connections, and nothing of jobs that
// are over. An actor of its own, for the whole life of the controller.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

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
    std::string phase = {};         // of any other job, as users are told; empty: never accepted
    bool has_dependencies = false;  // an unfinished job that depends on others, or may
  };
  /// No value: the state store could not say.
  using Done = std::function<void(std::optional<Standing>)>;
  /// Reads one job by itself.
  using Read = std::function<void(const std::string& job, Done done)>;

  LinearizableReader(Loop& loop, const Settings& settings, StateClient& state, Read read);
  /// Reads the job; answered within kReadDeadline, or given up on.
  void ask(const std::string& job, Done done);
  /// The job was accepted, or read for another reason.
  void learn(const std::string& job, std::uint64_t revision, bool has_dependencies = false) {
    batcher_.learn(job, revision, has_dependencies);
  }
  /// The job is over.
  void forget(const std::string& job) { batcher_.forget(job); }
  /// How many jobs' revisions are known.
  std::size_t known() const { return batcher_.known(); }

 private:
  using RequestId = ReadBatcher::RequestId;
  using ReadBatch = ReadBatcher::ReadBatch;
  static constexpr double kBatchTimeout = 0.3;        // s at least until a comparison's answer counts as lost
  static constexpr double kBatchTimeoutFactor = 4;    // as long as comparisons have taken of late, if longer
  static constexpr double kBatchTimeSmoothing = 0.3;  // weight of the newest comparison in that
  static constexpr double kPumpInterval = 0.002;      // s at least until waiting reads are looked at again

  void pump();
  void send(ReadBatch batch);
  void compare(ReadBatch batch);
  void compared(ReadBatch batch, StateReply reply);
  void adapt_timeout(const StateReply& reply, double took);
  void unchanged(const ReadBatch& batch);
  void changed(ReadBatch batch, const StateReply& reply);
  void refused(ReadBatch batch, const StateReply& reply);
  void read_single(ReadBatch batch);
  void single_read(const ReadBatch& batch, const std::optional<Standing>& standing);
  void answer(const std::vector<RequestId>& requests, const std::optional<Standing>& standing);

  StateClient& state_;
  Read read_;
  ReadBatcher batcher_;
  std::unordered_map<RequestId, Done> waiting_;
  RequestId next_request_ = 1;
  double paused_until_ = kLongAgo;  // s of the steady clock
  double batch_time_ = 0;           // s that comparisons have taken of late, smoothed
  double batch_timeout_ = kBatchTimeout;
  Timer timer_;
};

}  // namespace corkmux

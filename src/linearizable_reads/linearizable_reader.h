// Linearizable reads of jobs for status queries, many of them confirmed by one request to the state store.
//
// Owns the reads that wait for an answer. Each answer is based on a request that was sent after the read was
// requested. Reads and compares, never writes; does not handle connections of users, nor jobs that have
// ended. An actor of its own, which lives as long as the controller.
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
  /// The result of a read of a job.
  struct ReadResult {
    bool unfinished = false;
    std::uint64_t revision = 0;     // of an unfinished job's record
    std::string phase = {};         // of any other job, as shown to users; empty: never accepted
    bool has_dependencies = false;  // an unfinished job that depends on others, or may
  };
  /// No value: the state store could not be read.
  using Done = std::function<void(std::optional<ReadResult>)>;
  /// Reads one job with a request of its own.
  using ReadJob = std::function<void(const std::string& job, Done done)>;

  LinearizableReader(Loop& loop, const Settings& settings, StateClient& state, ReadJob read);
  /// Reads the job; `done` is called within kReadDeadline, with no value if there is no answer by then.
  void request_read(const std::string& job, Done done);
  /// Notes the revision of a job that was accepted, or read for another reason.
  void note_revision(const std::string& job, std::uint64_t revision, bool has_dependencies = false) {
    batcher_.note_revision(job, revision, has_dependencies);
  }
  /// The job has ended.
  void forget(const std::string& job) { batcher_.forget(job); }
  /// Number of jobs with a known revision.
  std::size_t known() const { return batcher_.known(); }

 private:
  using RequestId = ReadBatcher::RequestId;
  using ReadBatch = ReadBatcher::ReadBatch;
  static constexpr double kMinBatchTimeout = 0.3;  // s at least until a comparison's answer counts as lost
  /// The timeout as a multiple of the recent time of comparisons, if that is longer.
  static constexpr double kBatchTimeoutFactor = 4;
  static constexpr double kBatchTimeSmoothing = 0.3;  // weight of the newest comparison in the recent time
  static constexpr double kPumpInterval = 0.002;      // s at least between checks of waiting reads

  void pump();
  void send(ReadBatch batch);
  void compare(ReadBatch batch);
  void compared(ReadBatch batch, StateReply reply);
  void adapt_timeout(const StateReply& reply, double elapsed);
  void unchanged(const ReadBatch& batch);
  void changed(ReadBatch batch, const StateReply& reply);
  void refused(ReadBatch batch, const StateReply& reply);
  void read_single(ReadBatch batch);
  void single_read(const ReadBatch& batch, const std::optional<ReadResult>& result);
  void answer(const std::vector<RequestId>& requests, const std::optional<ReadResult>& result);

  StateClient& state_;
  ReadJob read_;
  ReadBatcher batcher_;
  std::unordered_map<RequestId, Done> waiting_;
  RequestId next_request_ = 1;
  double paused_until_ = kLongAgo;  // s of the steady clock
  double recent_batch_time_ = 0;    // s that recent comparisons took, smoothed
  double batch_timeout_ = kMinBatchTimeout;
  Timer timer_;
};

}  // namespace corkmux

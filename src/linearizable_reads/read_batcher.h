// Decides which reads of unfinished jobs share one request to the state store, and which request is next.
//
// Owns the revisions at which job records were read, the reads that wait, and the share of the state store's
// rate limit that reads may use. A record that still has its revision still has the content that was read, so
// a transaction that only compares revisions confirms as many reads as it may have conditions (the protocol,
// POST /multi). Does no input or output and has no clock: the caller passes the time, s of the steady clock.
// Never answers a read from a request that was sent before the read was requested.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "time_constants.h"

namespace corkmux {

namespace constants {
inline constexpr double kReadBurst = 0.5;          // s worth of the reads' rate that may be sent at once
inline constexpr double kReadDeadline = 1.2;       // s a read may wait; its user waits 2 s in all
inline constexpr int kMaxSingleReadsInFlight = 4;  // jobs read by themselves at the same time
/// Batches without a result for a job until the job is read by itself.
inline constexpr int kMissesBeforeSingleRead = 3;
}  // namespace constants

class ReadBatcher {
 public:
  using RequestId = std::uint64_t;  // chosen by the caller
  /// All reads of one job that wait for the same request.
  struct PendingRead {
    std::string job;
    double requested_at = 0;   // when the first of them was requested
    double starved_since = 0;  // since when no read of the job has been answered
    std::vector<RequestId> requests;
    int misses = 0;  // batches with this read that had no result for it
  };
  /// One request: the records of several jobs compared with known revisions, or one job read by itself.
  struct ReadBatch {
    bool compare = false;
    std::vector<PendingRead> reads;        // exactly one for a job that is read by itself
    std::vector<std::uint64_t> revisions;  // of a comparison: the revision to compare each record with
    std::vector<bool> has_dependencies;    // of a comparison: whether each job depends on others
  };

  /// `rate`: requests per second. `jobs_per_batch`: jobs that one transaction may compare. `max_known`:
  /// number of revisions kept.
  ReadBatcher(double rate, int jobs_per_batch, std::size_t max_known);

  /// Notes that the job is unfinished at this revision. `has_dependencies`: it depends on others, or may.
  void note_revision(const std::string& job, std::uint64_t revision, bool has_dependencies = false);
  /// The revision at which the job was last read; nullopt: not known, or the job has ended.
  std::optional<std::uint64_t> revision(const std::string& job) const;
  /// The job has ended.
  void forget(const std::string& job);

  /// Adds a read of the job.
  void add(RequestId request, const std::string& job, double now);
  /// The batch to send now, if any; to be called until it returns nullopt.
  std::optional<ReadBatch> next(double now);
  /// s until next() or remove_overdue() may return something; nullopt: no read waits.
  std::optional<double> time_until_next(double now) const;
  /// Removes the reads whose deadline has passed and returns their requests. When such a job is read again it
  /// comes before others, the longer it has had no answer the sooner.
  std::vector<RequestId> remove_overdue(double now);

  // Results of a batch. Reads that are not answered wait again, except after fail().

  /// All of its reads are answered.
  void answered(const ReadBatch& batch);
  /// The state store did not execute it for now.
  void put_back(ReadBatch batch);
  /// Its answer is lost: its reads are in the next batch, or read by themselves after kMissesBeforeSingleRead
  /// batches.
  void lost(ReadBatch batch);
  /// These jobs had changed: they are read by themselves, the others are compared again.
  void changed(ReadBatch batch, const std::unordered_set<std::string>& jobs);
  /// It had too many conditions for the state store.
  void too_large(ReadBatch batch);
  /// Its reads fail without an answer; returns their requests.
  std::vector<RequestId> fail(const ReadBatch& batch);

  std::size_t waiting() const { return compares_.size() + singles_.size(); }
  std::size_t known() const { return known_.size(); }

 private:
  using Queue = std::deque<PendingRead>;
  struct KnownJob {
    std::uint64_t revision = 0;
    bool has_dependencies = false;
  };

  void put(PendingRead read, Queue& queue);
  std::vector<RequestId> mark_starved(const PendingRead& read);
  std::vector<RequestId> remove_overdue_from(Queue& queue, double now);
  void finished(const ReadBatch& batch);
  bool can_compare() const;
  bool can_read_single() const;
  double allowance(double now) const;
  ReadBatch single_read();
  std::optional<ReadBatch> comparison();

  double rate_;       // requests per second
  double allowance_;  // requests that could be sent at allowance_at_
  std::optional<double> allowance_at_;
  int jobs_per_batch_;
  std::size_t max_known_;
  std::unordered_map<std::string, KnownJob> known_;
  std::deque<std::string> known_order_;
  Queue compares_;                                         // by starved_since
  Queue singles_;                                          // by starved_since
  std::unordered_map<std::string, double> starved_since_;  // jobs whose last read got no answer
  int compares_in_flight_ = 0;
  int singles_in_flight_ = 0;
  bool single_next_ = false;  // comparisons and single reads alternate if both wait
};

}  // namespace corkmux

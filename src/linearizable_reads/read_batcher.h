// Which reads of unfinished jobs share one request to the state store, and which request is next.
//
// Owns the revisions under which job records were read, the reads that wait, and the share of the state
// store's rate that reads may take. A record that still has its revision says what it said when it was read,
// so a transaction that only compares revisions proves as many reads as it may have conditions (PROTOCOL,
// POST /multi). No input or output, and no clock: the caller gives the time, s of the steady clock. It never
// counts a request that was sent before a read came as proof for that read.
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
inline constexpr double kReadBurst = 0.5;       // s of the reads' share of the rate that may come at once
inline constexpr double kReadDeadline = 1.2;    // s a read may wait; its user waits 2 s in all
inline constexpr int kSingleReadsInFlight = 4;  // jobs read by themselves at the same time
inline constexpr int kBatchMissesBeforeRead =
    3;  // batches that proved nothing, until a job is read by itself
}  // namespace constants

class ReadBatcher {
 public:
  using RequestId = std::uint64_t;  // chosen by the caller
  /// All who read one job and wait for the same request.
  struct PendingRead {
    std::string job;
    double since = 0;          // of the first of them
    double starved_since = 0;  // since when nobody who read the job got an answer
    std::vector<RequestId> requests;
    int misses = 0;  // batches that it was in and that proved nothing
  };
  /// One request: the records of several jobs compared with known revisions, or one job read by itself.
  struct ReadBatch {
    bool compare = false;
    std::vector<PendingRead> reads;        // of a job read by itself: one
    std::vector<std::uint64_t> revisions;  // of a comparison: what each is compared with
    std::vector<bool> has_dependencies;    // and whether each depends on others
  };

  /// `rate`: requests a second. `jobs_per_batch`: that one transaction may compare. `max_known`: revisions
  /// remembered.
  ReadBatcher(double rate, int jobs_per_batch, std::size_t max_known);

  /// The job is unfinished as of this revision. `has_dependencies`: it depends on others, or may.
  void learn(const std::string& job, std::uint64_t revision, bool has_dependencies = false);
  /// Under which it was last read; nullopt: not known, or over.
  std::optional<std::uint64_t> revision(const std::string& job) const;
  /// The job is over.
  void forget(const std::string& job);

  /// Adds a read of the job.
  void ask(RequestId request, const std::string& job, double now);
  /// What to send now, if anything: to be called until it gives nothing.
  std::optional<ReadBatch> next(double now);
  /// s until next() or overdue() may have something; nullopt: nothing waits.
  std::optional<double> wait(double now) const;
  /// Removes the reads whose deadline is over. A job that went without an answer comes before others when it
  /// is read again, the longer the sooner.
  std::vector<RequestId> overdue(double now);

  // How a batch ended: all of its reads are answered, or what else. What is not answered waits again.

  /// All of its reads have their answer.
  void answered(const ReadBatch& batch);
  /// The state store would not execute it now.
  void put_back(ReadBatch batch);
  /// Its answer is lost: its reads are in the next batch, or read by themselves after some misses.
  void lost(ReadBatch batch);
  /// These jobs had changed: they are read by themselves, the rest is compared again.
  void changed(ReadBatch batch, const std::unordered_set<std::string>& jobs);
  /// It had too many conditions.
  void too_large(ReadBatch batch);
  /// Its reads go without an answer: whose these are.
  std::vector<RequestId> unanswered(const ReadBatch& batch);

  std::size_t waiting() const { return compares_.size() + singles_.size(); }
  std::size_t known() const { return known_.size(); }

 private:
  using Queue = std::deque<PendingRead>;
  struct KnownJob {
    std::uint64_t revision = 0;
    bool has_dependencies = false;
  };

  void put(PendingRead read, Queue& queue);
  std::vector<RequestId> give_up(const PendingRead& read);
  std::vector<RequestId> give_up_overdue(Queue& queue, double now);
  void finished(const ReadBatch& batch);
  bool can_compare() const;
  bool can_read_single() const;
  double allowance(double now) const;
  ReadBatch single_read();
  std::optional<ReadBatch> comparison();

  double rate_;       // requests a second
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
  bool single_next_ = false;  // where both kinds wait they take turns
};

}  // namespace corkmux

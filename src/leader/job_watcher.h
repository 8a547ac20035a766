// The unfinished jobs as the state store holds them: read once when a term begins, watched from then on, and
// read again when the store no longer remembers the changes in between.
//
// Owns what was seen of job records (revision, pieces of long ones, keys beside them) and the reads of how
// dependencies ended. It gives jobs to the scheduler; it never stores or removes anything. An actor of one
// term.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "job_record.h"
#include "scheduler.h"
#include "state_client.h"
#include "term.h"
#include "time_constants.h"

namespace corkmux {

class JobWatcher : public Actor<JobWatcher> {
 public:
  using DoneCallback = std::function<void()>;
  /// The record of a job that the scheduler has is no longer stored.
  using VanishedCallback = std::function<void(const std::string& job)>;

  JobWatcher(Loop& loop, StateClient& state, Term& term, Scheduler& scheduler, TermCallbacks callbacks,
             VanishedCallback vanished);
  /// Reads all jobs.
  void load(DoneCallback done);
  /// Watches for changes since the load.
  void follow();
  /// Takes what is stored under a job's key, as it was read for any reason: the job's record, a piece of one
  /// that is too long for one value, or the mark of a cancel where the record cannot be written again.
  void record(const codec::KeyValue& stored);
  /// Reads how dependencies ended that this leader has not seen end.
  void look_up_dependencies();
  /// s of the steady clock up to which every change of a job's record is known, but for long records.
  double seen_at() const { return seen_at_; }
  /// Whether pieces of long records are still to be read.
  bool joining() const { return joining_ || !to_join_.empty(); }
  /// The keys beside the record of a job that is over; they are handed over once.
  std::vector<std::string> take_side_keys(const std::string& job);

 private:
  /// A record whose specification is still to be joined from its pieces.
  struct LongRecord {
    JobRecord record;
    std::uint64_t revision = 0;
  };
  using Pieces = std::map<std::string, std::string>;  // by key

  void load_from(const std::string& after, DoneCallback done);
  void record_beside(const std::string& job, const codec::KeyValue& stored);
  bool put(const JobRecord& record, std::uint64_t revision);
  void cancel(const std::string& job);

  void join_pieces(DoneCallback then);
  void joined(const std::string& job, const Pieces& pieces);

  void watched(const StateReply& reply);
  void watch_failed(const StateReply& reply);
  void read_again();
  void read_again_done(const ReadEnd& end, const std::unordered_set<std::string>& seen, double since);
  void join_new_pieces();

  void outcome_read(const std::string& job, const StateReply& reply);
  void apply_outcome(const std::string& job, const JobOutcomeRecord& outcome);

  StateClient& state_;
  Term& term_;
  Scheduler& scheduler_;
  TermCallbacks callbacks_;
  VanishedCallback vanished_;
  std::uint64_t revision_ = 0;  // of the store, up to which changes were seen
  double seen_at_ = kLongAgo;
  int lost_watches_ = 0;  // in a row
  std::map<std::string, LongRecord> to_join_;
  std::map<std::string, std::vector<std::string>> side_keys_;  // by job
  bool joining_ = false;
  int outcome_reads_in_flight_ = 0;
  std::set<std::string> asked_;  // dependencies read since asked_at_
  double asked_at_ = kLongAgo;
  Timer timer_;
  Timer join_timer_;
};

}  // namespace corkmux

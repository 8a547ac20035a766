// Reads the unfinished jobs from the state store and passes them to the scheduler: all of them when a term
// begins, then their changes through a watch, and all of them again when the store no longer has the history
// of changes.
//
// Owns the observed state of job records (revision, pieces of long records, side keys) and the reads of the
// outcomes of dependencies. It never stores or removes anything. An actor of one term.
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
  /// Called for a job that the scheduler has and whose record is no longer stored.
  using RecordMissingCallback = std::function<void(const std::string& job)>;

  JobWatcher(Loop& loop, StateClient& state, Term& term, Scheduler& scheduler, TermCallbacks callbacks,
             RecordMissingCallback record_missing);
  /// Reads all unfinished jobs.
  void load(DoneCallback done);
  /// Watches for changes since the load.
  void follow();
  /// Applies an item read from under a job's key: the job's record, a piece of a record that is too long for
  /// one value, or the cancel mark of a record that cannot be written again.
  void apply_record(const codec::KeyValue& stored);
  /// Reads the outcomes of dependencies whose end this leader has not observed.
  void look_up_dependencies();
  /// Time up to which every change of a job's record has been observed, except for long records; s of the
  /// steady clock.
  double observed_until() const { return observed_until_; }
  /// Whether pieces of long records are still to be read.
  bool joining() const { return joining_ || !to_join_.empty(); }
  /// Returns the side keys of a finished job and removes them here: the keys stored beside its record.
  std::vector<std::string> take_side_keys(const std::string& job);

 private:
  /// A record whose specification is still to be joined from its pieces.
  struct LongRecord {
    JobRecord record;
    std::uint64_t revision = 0;
  };
  using Pieces = std::map<std::string, std::string>;  // by key

  void load_from(const std::string& after, DoneCallback done);
  void apply_side_record(const std::string& job, const codec::KeyValue& stored);
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
  RecordMissingCallback record_missing_;
  std::uint64_t revision_ = 0;  // of the store, up to which changes were observed
  double observed_until_ = kLongAgo;
  int lost_watches_ = 0;  // in a row
  std::map<std::string, LongRecord> to_join_;
  std::map<std::string, std::vector<std::string>> side_keys_;  // by job
  bool joining_ = false;
  int outcome_reads_in_flight_ = 0;
  std::set<std::string> queried_dependencies_;  // read since queries_cleared_at_
  double queries_cleared_at_ = kLongAgo;
  Timer timer_;
  Timer join_timer_;
};

}  // namespace corkmux

// Writes task records and the ends of jobs to the state store, within its rates and sizes.
//
// Owns the term's budget of changes, the transactions in flight and the keys that are to be removed. Every
// write is conditioned on the leader's record. An unanswered write may still be applied, so the revisions of
// its keys are read again before the same keys are written again. The contents of the records are the
// scheduler's. An actor of one term.
#pragma once
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "job_watcher.h"
#include "scheduler.h"
#include "settings.h"
#include "state_client.h"
#include "term.h"

namespace corkmux {

class StoreWriter : public Actor<StoreWriter> {
 public:
  /// Called when a job's end is stored.
  using EndedCallback = std::function<void(codec::JobView)>;

  StoreWriter(Loop& loop, const Settings& settings, StateClient& state, Term& term, Scheduler& scheduler,
              JobWatcher& job_watcher, TermCallbacks callbacks, EndedCallback ended);
  /// Writes pending changes, as far as the budget allows.
  void pump();
  /// Removes these keys when the budget has changes to spare.
  void remove_later(std::vector<std::string> keys);
  /// Handles a job that the scheduler has and whose record is no longer stored.
  void record_missing(const std::string& id);
  /// Whether no transaction is in flight.
  bool idle() const { return in_flight_ == 0; }

 private:
  using Batch = std::vector<TaskRecordWrite>;
  static constexpr double kWriteShare =
      0.7;  // of the store's write rate; submissions and cancels use the rest
  static constexpr int kMaxTransactionsInFlight = 3;
  static constexpr int kMinChanges = 2;               // in one transaction: a job's end and its record
  static constexpr double kRevisionReadPause = 0.01;  // s after a read of revisions before the next write

  void refill_allowance(double now);
  bool write_next(double now);

  void write_task_records(Batch batch);
  void task_records_written(const Batch& batch, const StateReply& reply);
  void task_records_conflict(const Batch& batch, const StateReply& reply);
  void task_records_refused(const Batch& batch, StateStatus status);
  void read_back(const TaskRecordWrite& write);
  void read_back_done(const TaskRecordWrite& write, const StateReply& reply);
  void apply_stored_cancel(const std::string& id);

  void finalize(const std::string& id);
  void finalized(const std::string& id, bool done, const StateReply& reply);
  void end_stored(const std::string& id, bool done);
  void reread(const std::string& id);
  void reread_done(const std::string& id, const StateReply& reply);
  void remove_records_later(const std::string& id);

  void remove_garbage();
  /// A transaction was refused as malformed or too large. `largest`: bytes of its largest value.
  void refused(std::size_t largest = 0);
  /// Whether the reply is a conflict with the leader's record; if so, ends the term.
  bool leader_record_conflict(const StateReply& reply);
  double rate() const;  // changes a second
  void pump_after(double pause_s);

  Settings settings_;
  StateClient& state_;
  Term& term_;
  Scheduler& scheduler_;
  JobWatcher& job_watcher_;
  TermCallbacks callbacks_;
  EndedCallback ended_;
  std::vector<std::string> garbage_;
  int in_flight_ = 0;
  int max_changes_;        // in one transaction: as in the settings, reduced after a refusal
  bool end_next_ = false;  // job ends and task records take turns
  bool removing_ = false;
  double allowance_;  // changes that may be written now
  double allowance_at_;
  Timer timer_;
};

}  // namespace corkmux

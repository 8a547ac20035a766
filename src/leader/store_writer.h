// Writes task records and the ends of jobs to the state store, within its rates and sizes.
//
// Owns the term's budget of changes, the transactions in flight and the keys that are to be removed. Every
// write is conditioned on the leader's record; an unanswered one may still be applied, so the revisions of
// its keys are read again before the same key is written anew. It never decides what a record says. An actor
// of one term.
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
  /// A job's end is stored.
  using EndedCallback = std::function<void(codec::JobView)>;

  StoreWriter(Loop& loop, const Settings& settings, StateClient& state, Term& term, Scheduler& scheduler,
              JobWatcher& job_watcher, TermCallbacks callbacks, EndedCallback ended);
  /// Writes what is due, as far as the budget goes.
  void pump();
  /// Removes these keys when changes are to spare.
  void remove_later(std::vector<std::string> keys);
  /// A job's record is not where the scheduler takes it to be.
  void vanished(const std::string& id);
  /// Whether no transaction is in flight.
  bool idle() const { return in_flight_ == 0; }

 private:
  using Batch = std::vector<TaskRecordWrite>;
  static constexpr double kWriteShare =
      0.7;  // of the store's write rate; submissions and cancels take the rest
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
  void has_end(const std::string& id);

  void finalize(const std::string& id);
  void finalized(const std::string& id, bool done, const StateReply& reply);
  void end_stored(const std::string& id, bool done);
  void reread(const std::string& id);
  void reread_done(const std::string& id, const StateReply& reply);
  void remove_records_later(const std::string& id);

  void remove_garbage();
  /// A transaction was refused as malformed or too large. `largest`: bytes of its largest value.
  void refused(std::size_t largest = 0);
  /// Whether the reply is a conflict with the leader's record: the term is over then.
  bool deposed(const StateReply& reply);
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
  int max_changes_;        // in one transaction: what the settings say, less once some were refused
  bool end_next_ = false;  // ends and task records take turns
  bool removing_ = false;
  double allowance_;  // changes that may be written now
  double allowance_at_;
  Timer timer_;
};

}  // namespace corkmux

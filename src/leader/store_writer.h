// Writes the book's records and the ends of jobs to the state service, within its rates and sizes.
//
// Owns the term's budget of changes, what is in flight and what is to be removed. Every write is conditioned
// on the leader's record; an unanswered one may still apply, so its stamps are read again before the same key
// is written anew.
#pragma once
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
  /// `ended`: a job's end is stored.
  StoreWriter(Loop& loop, const Settings& settings, StateClient& state, Term& term, Scheduler& scheduler,
              JobWatcher& job_watcher, TermCallbacks callbacks, std::function<void(codec::JobView)> ended);
  void pump();
  void remove_later(std::vector<std::string> keys);
  /// A job's record is not where the book thinks it is.
  void vanished(const std::string& job);
  bool idle() const { return in_flight_ == 0; }

 private:
  void write_task_records(std::vector<TaskRecordWrite> batch);
  void read_back(const TaskRecordWrite& write);
  void has_end(const std::string& job);
  void finalize(const std::string& job);
  void reread(const std::string& job);
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
  std::function<void(codec::JobView)> ended_;
  std::vector<std::string> garbage_;
  int in_flight_ = 0;
  int txn_ops_;  // changes a transaction: what the settings say, less once some were refused
  bool end_next_ = false, removing_ = false;
  double allowance_, allowance_at_;
  Timer timer_;
};

}  // namespace corkmux

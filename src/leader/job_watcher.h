// The unfinished jobs as the state service holds them: read once when a term begins, followed from then on,
// and read again when the service no longer remembers the changes in between.
//
// Owns what the feed has seen of job records (revision, pieces of long ones, marks beside them) and the looks
// at how awaited jobs ended. It gives jobs to the book; it never stores or removes anything.
#pragma once
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "scheduler.h"
#include "state_client.h"
#include "term.h"

namespace corkmux {

class JobWatcher : public Actor<JobWatcher> {
 public:
  /// `vanished`: the record of a job of the book is no longer there.
  JobWatcher(Loop& loop, StateClient& state, Term& term, Scheduler& scheduler, TermCallbacks callbacks,
             std::function<void(const std::string& job)> vanished);
  void load(std::function<void()> done);
  void follow();
  /// A job's record that was read for another reason.
  void record(const std::string& key, codec::Json value, std::uint64_t revision);
  void look_up_dependencies();
  /// s of the steady clock up to which every change of a job's record is in the book, but for long records.
  double seen_at() const { return seen_at_; }
  /// Whether pieces of long records are still to be read.
  bool joining() const { return joining_ || !to_join_.empty(); }
  /// What else is stored of a job that is over.
  std::vector<std::string> take_side_keys(const std::string& job);

 private:
  void load_from(const std::string& after, std::function<void()> done);
  void read_again();
  bool put(const codec::Json& value, std::uint64_t revision);
  /// Reads the pieces of long records, then goes on.
  void join_pieces(std::function<void()> then);
  StateClient& state_;
  Term& term_;
  Scheduler& scheduler_;
  TermCallbacks callbacks_;
  std::function<void(const std::string&)> vanished_;
  std::uint64_t revision_ = 0;
  double seen_at_ = -1e9;
  int lost_watches_ = 0;                                                  // in a row
  std::map<std::string, std::pair<codec::Json, std::uint64_t>> to_join_;  // long records and their stamps
  std::map<std::string, std::vector<std::string>> side_keys_;
  bool joining_ = false;
  int reads_ = 0;  // of outcomes, under way
  std::set<std::string> asked_;
  double asked_at_ = -1e9;
  Timer timer_, join_timer_;
};

}  // namespace corkmux

// Which questions about unfinished jobs one look at the state service answers, and which look is next.
//
// Owns the stamps under which job records were read, the questions that wait, and the share of the state
// service's rate that questions may take. A record that still has its stamp says what it said when it was
// read, so a transaction that only compares proves as many answers as it may have conditions (PROTOCOL, POST
// /multi). No input or output, and no clock: it is told the time, s of the steady clock. It never counts a
// look that was sent before a question came as proof for that question.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace corkmux {

class ReadBatcher {
 public:
  using RequestId = std::uint64_t;  // whoever asks, named by the caller
  /// All who ask about one job and have waited for the same look.
  struct PendingRead {
    std::string job;
    double since = 0;       // of the first of them
    double unanswered = 0;  // since when nobody who asked about the job has got an answer
    std::vector<RequestId> requests;
    int misses = 0;  // looks that it was in and that proved nothing
  };
  /// One request: the records of several jobs compared with what is known, or one job read.
  struct ReadBatch {
    bool compare = false;
    std::vector<PendingRead> reads;        // of a read: one
    std::vector<std::uint64_t> revisions;  // of a comparison: what each is compared with
    std::vector<bool> has_dependencies;    // and whether each awaits others
  };

  /// `rate`: looks a second. `jobs`: that one transaction may compare. `most_known`: stamps remembered.
  ReadBatcher(double rate, int jobs, std::size_t most_known);
  /// The job is unfinished as of this stamp. `awaits`: it awaits others, or may.
  void learn(const std::string& job, std::uint64_t revision, bool has_dependencies = false);
  /// Under which it was last read; none: not known, or over.
  std::optional<std::uint64_t> revision(const std::string& job) const;
  /// It is over.
  void forget(const std::string& job);
  void ask(RequestId request, const std::string& job, double now);
  /// What to send now, if anything: as often as it gives something.
  std::optional<ReadBatch> next(double now);
  /// s until next() or overdue() may have something; nothing waits: negative.
  double wait(double now) const;
  /// Nobody waits for these any more. A job that went without an answer comes before others when it is asked
  /// about again, the longer the sooner.
  std::vector<RequestId> overdue(double now);

  // How a look ended: all of its questions are answered, or what else. What is not answered waits again.
  void answered(const ReadBatch& look);
  /// The service would not execute it now.
  void put_back(ReadBatch look);
  /// Its answer is lost: what it asked is in the next, or is read by itself after some misses.
  void lost(ReadBatch look);
  /// Some of it had changed: these are read, the rest is compared again.
  void changed(ReadBatch look, const std::unordered_set<std::string>& jobs);
  /// It took too many conditions.
  void too_large(ReadBatch look);
  /// Its questions go without an answer.
  std::vector<RequestId> unanswered(const ReadBatch& look);

  std::size_t waiting() const { return compares_.size() + reads_.size(); }
  std::size_t known() const { return known_.size(); }

 private:
  std::vector<RequestId> give_up(const PendingRead& read);
  void put(PendingRead read, bool single);
  void landed(const ReadBatch& look) { --(look.compare ? comparing_ : reading_); }
  double allowance(double now) const;
  double rate_, left_, at_ = -1e9;
  int jobs_;
  std::size_t most_known_;
  struct Known {
    std::uint64_t revision = 0;
    bool has_dependencies = false;
  };
  std::unordered_map<std::string, Known> known_;
  std::deque<std::string> known_order_;
  std::deque<PendingRead> compares_, reads_;
  std::unordered_map<std::string, double>
      starved_since_;                // jobs whose last question got no answer, since when
  int comparing_ = 0, reading_ = 0;  // looks under way
  bool read_next_ = false;           // both kinds wait: they take turns
};

}  // namespace corkmux

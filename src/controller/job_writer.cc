#include "job_writer.h"

#include "job_record.h"
#include "store_keys.h"

namespace corkmux {
namespace {

std::vector<codec::Condition> never_accepted(const std::string& job) {
  return {{kJobs + job, 0}, {kFinals + job, 0}};
}

}  // namespace

void JobWriter::store(JobPtr job, Callback done) {
  store_whole(job, constants::kMaxSubmitAttempts, std::move(done));
}

void JobWriter::store_whole(const JobPtr& job, int attempts_left, Callback done) {
  auto record = StoredJobRecord::for_new_job(*job);
  // Until the upgrade is complete, controllers of the older version read only whole records, and the state
  // store still accepts records up to its current limit. Jobs that depend on others are not submitted before
  // then.
  auto limit = job->dependencies.empty() ? static_cast<std::size_t>(settings_.value_kb * 1024)
                                         : admission_.record_size_limit();
  if (attempts_left == 0 || record.size() > limit)
    return store_in_pieces(job, steady_now() + constants::kSubmitTimeLimit, std::move(done));
  state_.transaction(never_accepted(job->id), {{kJobs + job->id, record.json(), 0}},
                     [this, job, attempts_left, done = std::move(done)](StateReply reply) {
                       switch (reply.status) {
                         case StateStatus::Ok:
                           return done({Status::Stored, codec::parse_revision(reply.body)});
                         case StateStatus::Conflict:
                           return done({Status::Exists});
                         case StateStatus::Refused:
                           if (attempts_left > 1 && admission_.state_reachable())
                             return store_whole(job, attempts_left - 1, done);
                           return done({Status::Refused});
                         case StateStatus::Invalid:  // the state store's limits were lowered
                           return store_whole(job, 0, done);
                         default:
                           return done({Status::Unanswered});
                       }
                     });
}

/// Stores a description that is too long for one value: first the pieces of its text, then the record that
/// makes it an accepted job. Pieces that are stored already stay, so each retry of a submission gets further.
void JobWriter::store_in_pieces(const JobPtr& job, double deadline, Callback done) {
  auto stored = std::make_shared<Keys>();
  state_.read_all(
      kJobs + job->id + "/", "", [stored](const codec::KeyValue& piece) { stored->insert(piece.key); },
      [this, job, deadline, stored, done = std::move(done)](const ReadEnd& end) {
        if (!end.ok()) return done({Status::Unreadable});
        store_missing_pieces(job, *stored, deadline, done);
      });
}

void JobWriter::store_missing_pieces(const JobPtr& job, const Keys& stored, double deadline, Callback done) {
  // The text is plain ASCII; inside a JSON string of its own each byte takes at most two.
  std::string text = codec::job_to_wire(*job).dump(-1, ' ', true);
  std::size_t piece_size = admission_.record_size_limit() * 2 / 5;
  int pieces = 0;
  std::vector<codec::Write> writes;
  for (std::size_t at = 0; at < text.size(); at += piece_size) {
    std::string key = kJobs + job->id + "/" + std::to_string(pieces++);
    bool fits_transaction = static_cast<int>(writes.size()) < settings_.next.txn_ops;
    if (fits_transaction && !stored.contains(key))
      writes.push_back({key, job_piece_to_json(text.substr(at, piece_size)), 0});
  }
  bool last = writes.empty();
  if (last) writes.push_back({kJobs + job->id, StoredJobRecord::for_new_job_in_pieces(pieces).json(), 0});
  state_.transaction(never_accepted(job->id), writes, [this, job, deadline, last, done](StateReply reply) {
    if (reply.status == StateStatus::Conflict) return done({Status::Exists});
    if (!reply.ok() || (!last && steady_now() > deadline)) return done({Status::Refused});
    if (last) return done({Status::Stored, codec::parse_revision(reply.body)});
    store_in_pieces(job, deadline, done);
  });
}

}  // namespace corkmux

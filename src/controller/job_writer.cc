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
  store_whole(job, constants::kSubmitTries, std::move(done));
}

void JobWriter::store_whole(const JobPtr& job, int tries, Callback done) {
  auto record = StoredJobRecord::for_new_job(*job);
  // Before the upgrade is over another version reads only whole records, and such are still taken; nothing
  // that depends on others is submitted then.
  auto limit = job->dependencies.empty() ? static_cast<std::size_t>(settings_.value_kb * 1024)
                                         : admission_.record_size_limit();
  if (tries == 0 || record.size() > limit)
    return store_in_pieces(job, steady_now() + constants::kSubmitTime, std::move(done));
  state_.transaction(never_accepted(job->id), {{kJobs + job->id, record.json(), 0}},
                     [this, job, tries, done = std::move(done)](StateReply reply) {
                       switch (reply.status) {
                         case StateStatus::Ok:
                           return done({Status::Stored, codec::parse_revision(reply.body)});
                         case StateStatus::Conflict:
                           return done({Status::Exists});
                         case StateStatus::Refused:
                           if (tries > 1 && admission_.state_reachable())
                             return store_whole(job, tries - 1, done);
                           return done({Status::Refused});
                         case StateStatus::Invalid:  // the service's limits have fallen
                           return store_whole(job, 0, done);
                         default:
                           return done({Status::Unanswered});
                       }
                     });
}

/// A description too long for one value: pieces of its text first, then the record that makes it a job.
/// Pieces that are there already stay, so a submission that is tried again gets further each time.
void JobWriter::store_in_pieces(const JobPtr& job, double until, Callback done) {
  auto stored = std::make_shared<Keys>();
  state_.read_all(
      kJobs + job->id + "/", "", [stored](const codec::KeyValue& piece) { stored->insert(piece.key); },
      [this, job, until, stored, done = std::move(done)](const ReadEnd& end) {
        if (!end.ok()) return done({Status::Unreadable});
        store_missing_pieces(job, *stored, until, done);
      });
}

void JobWriter::store_missing_pieces(const JobPtr& job, const Keys& stored, double until, Callback done) {
  // In plain ASCII; as a JSON text of its own each byte takes at most two.
  std::string text = codec::job_to_wire(*job).dump(-1, ' ', true);
  std::size_t piece_size = admission_.record_size_limit() * 2 / 5;
  int pieces = 0;
  std::vector<codec::Write> writes;
  for (std::size_t at = 0; at < text.size(); at += piece_size) {
    std::string key = kJobs + job->id + "/" + std::to_string(pieces++);
    bool has_room = static_cast<int>(writes.size()) < settings_.next.txn_ops;
    if (has_room && !stored.contains(key))
      writes.push_back({key, job_piece_to_json(text.substr(at, piece_size)), 0});
  }
  bool last = writes.empty();
  if (last) writes.push_back({kJobs + job->id, StoredJobRecord::for_new_job_in_pieces(pieces).json(), 0});
  state_.transaction(never_accepted(job->id), writes, [this, job, until, last, done](StateReply reply) {
    if (reply.status == StateStatus::Conflict) return done({Status::Exists});
    if (!reply.ok() || (!last && steady_now() > until)) return done({Status::Refused});
    if (last) return done({Status::Stored, codec::parse_revision(reply.body)});
    store_in_pieces(job, until, done);
  });
}

}  // namespace corkmux

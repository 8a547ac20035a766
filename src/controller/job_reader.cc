#include "job_reader.h"

#include "job_record.h"
#include "store_keys.h"

namespace corkmux {

void JobReader::read(const std::string& job, Callback done) {
  state_.get(kJobs + job, [this, job, done = std::move(done)](StateReply reply) {
    StoredJob found;
    if (reply.ok()) {
      auto stored = codec::parse_value(reply.body);
      if (!stored) return done(std::nullopt);
      StoredJobRecord record(std::move(stored->value));
      bool cancelled = record.cancelled();
      if (cancelled) status_cache_.note_cancelled(job);
      found = {cancelled ? job_phase::kCancelled : job_phase::kQueued, stored->revision, std::move(record)};
      // The cancel of a record that is too long to be written again is marked beside the record, so the
      // record alone does not show it: the outcome is read as well.
      if (cancelled || found.record.size() <= admission_.record_size_limit()) return done(std::move(found));
    }
    if (!reply.ok() && reply.status != StateStatus::Missing) return done(std::nullopt);
    read_outcome(job, std::move(found), done);
  });
}

void JobReader::read_outcome(const std::string& job, StoredJob state_from_record, Callback done) {
  state_.get(kFinals + job, [this, job, state_from_record = std::move(state_from_record),
                             done = std::move(done)](StateReply reply) mutable {
    if (reply.status == StateStatus::Missing) return done(std::move(state_from_record));
    auto stored = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
    if (!stored) return done(std::nullopt);
    auto outcome = parse_job_outcome(stored->value);
    if (outcome.phase != job_phase::kDone && outcome.phase != job_phase::kCancelled)
      return done(std::nullopt);
    JobEnd end{std::move(outcome.phase), outcome.tasks_done};
    if (end.phase == job_phase::kCancelled) status_cache_.note_cancelled(job);
    status_cache_.cache_end(job, end);
    StoredJob ended;
    ended.phase = end.phase;
    done(std::move(ended));
  });
}

}  // namespace corkmux

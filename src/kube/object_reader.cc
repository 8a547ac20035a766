#include "object_reader.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "codec.h"
#include "object_keys.h"
#include "store_keys.h"

namespace corkmux::kube {
namespace {

/// Completes the object from the outcome record of its job.
void set_ended(FoundObject& found, const codec::KeyValue& outcome) {
  apply_outcome(found.progress, parse_job_outcome(outcome.value));
  found.progress.revision = std::max(found.progress.revision, outcome.revision);
}

/// Completes the object from the record of its unfinished job and the displayed status.
void set_unfinished(FoundObject& found, StoredJobRecord record, std::uint64_t revision,
                    const codec::JobView& view) {
  found.job_revision = revision;
  found.job_record = std::move(record);
  found.progress.revision = std::max(found.progress.revision, revision);
  found.progress.done = view.done;
  found.progress.running = view.running;
  found.progress.reason = view.reason;
}

}  // namespace

void ObjectReader::read(const std::string& namespace_name, const std::string& name, ReadCallback done) {
  state_.get(object_key(namespace_name, name), [this, done = std::move(done)](StateReply reply) {
    if (reply.status == StateStatus::Missing) return done(std::nullopt, Error::NoSuchObject);
    auto record = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
    auto stored = record ? parse_record(record->value) : std::nullopt;
    if (!stored) return done(std::nullopt, Error::StoreUnavailable);
    read_progress(std::move(*stored), record->revision, [done](std::optional<FoundObject> found) {
      done(std::move(found), Error::StoreUnavailable);
    });
  });
}

void ObjectReader::read_progress(StoredObject stored, std::uint64_t revision, ObjectCallback done) {
  auto found = std::make_shared<FoundObject>();
  found->stored = std::move(stored);
  found->revision = revision;
  found->progress.revision = revision;
  found->progress.tasks = task_count(found->stored);
  const std::string job = found->stored.job;
  state_.get(kJobs + job, [this, found, done = std::move(done)](const StateReply& reply) {
    on_job_record(found, reply, done);
  });
}

void ObjectReader::on_job_record(const FoundObjectPtr& found, const StateReply& reply,
                                 const ObjectCallback& done) {
  if (reply.status == StateStatus::Missing) return read_outcome(found, done);
  auto record = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
  if (!record) return done(std::nullopt);
  StoredJobRecord job_record(std::move(record->value));
  // The outcome record is already stored when the job record is removed or marked cancelled.
  if (job_record.cancelled()) return read_outcome(found, done);
  set_unfinished(*found, std::move(job_record), record->revision,
                 status_cache_.display(found->stored.job, job_phase::kQueued));
  done(std::move(*found));
}

void ObjectReader::read_outcome(const FoundObjectPtr& found, const ObjectCallback& done) {
  state_.get(kFinals + found->stored.job, [found, done](const StateReply& reply) {
    auto outcome = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
    if (!outcome) return done(std::nullopt);
    set_ended(*found, *outcome);
    done(std::move(*found));
  });
}

}  // namespace corkmux::kube

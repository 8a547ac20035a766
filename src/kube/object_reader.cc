#include "object_reader.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "codec.h"
#include "store_keys.h"

namespace corkmux::kube {
namespace {

/// Completes the object from the record of its job's end.
void set_end(FoundObject& found, const codec::KeyValue& end) {
  Progress& progress = found.progress;
  progress.phase = end.value.value("p", "") == "done" ? Progress::Phase::Done : Progress::Phase::Cancelled;
  progress.ended = end.value.value("t", 0.0);
  progress.revision = std::max(progress.revision, end.revision);
}

/// Completes the object from the record of its unfinished job and how that is displayed.
void set_unfinished(FoundObject& found, codec::KeyValue record, const codec::JobView& view) {
  found.job_revision = record.revision;
  found.job_record = std::move(record.value);
  found.progress.revision = std::max(found.progress.revision, record.revision);
  found.progress.done = view.done;
  found.progress.running = view.running;
  found.progress.reason = view.reason;
}

}  // namespace

std::string objects_prefix(const std::string& space) { return kKubeObjects + space + "/jobs/"; }

std::string object_key(const std::string& space, const std::string& name) {
  return objects_prefix(space) + name;
}

void ObjectReader::read(const std::string& space, const std::string& name, ReadCallback done) {
  state_.get(object_key(space, name), [this, done = std::move(done)](StateReply reply) {
    if (reply.status == StateStatus::Missing) return done(std::nullopt, Error::NoSuchObject);
    auto record = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
    auto stored = record ? from_record(record->value) : std::nullopt;
    if (!stored) return done(std::nullopt, Error::StoreUnavailable);
    read_progress(std::move(*stored), record->revision, [done](std::optional<FoundObject> found) {
      done(std::move(found), Error::StoreUnavailable);
    });
  });
}

void ObjectReader::read_progress(Stored stored, std::uint64_t revision, ObjectCallback done) {
  auto found = std::make_shared<FoundObject>();
  found->stored = std::move(stored);
  found->revision = revision;
  found->progress.revision = revision;
  found->progress.tasks = tasks_of(found->stored);
  const std::string job = found->stored.job;
  state_.get(kJobs + job, [this, job, found, done = std::move(done)](StateReply reply) {
    if (!reply.ok() && reply.status != StateStatus::Missing) return done(std::nullopt);
    if (reply.ok()) {
      auto record = codec::parse_value(reply.body);
      if (!record) return done(std::nullopt);
      bool cancelled = record->value.value("c", 0) != 0;
      if (!cancelled) {
        set_unfinished(*found, std::move(*record), status_cache_.display(job, "queued"));
        return done(std::move(*found));
      }
    }
    // Its end was stored when its record went or was marked.
    state_.get(kFinals + job, [found, done](StateReply final) {
      auto end = final.ok() ? codec::parse_value(final.body) : std::nullopt;
      if (!end) return done(std::nullopt);
      set_end(*found, *end);
      done(std::move(*found));
    });
  });
}

}  // namespace corkmux::kube

#include "unfinished_jobs.h"

#include <algorithm>
#include <utility>

#include "constants.h"
#include "job_record.h"
#include "store_keys.h"

namespace corkmux {

void UnfinishedJobs::look_up(std::vector<std::string> jobs, Callback done) {
  Waiting waiting{std::move(jobs), std::move(done), steady_now()};
  if (known(waiting)) return waiting.done(Result::Known);
  waiting_.push_back(std::move(waiting));
  if (!timer_.active() && !reading_) schedule_read();
}

bool UnfinishedJobs::known(const Waiting& waiting) const {
  // Guards against stopping a task whose job was accepted after the jobs were read: only a read that began
  // after the heartbeat came shows that a job is over.
  if (read_at_ >= waiting.since) return true;
  if (steady_now() - read_at_ > constants::kJobReadMaxAge) return false;
  return std::all_of(waiting.jobs.begin(), waiting.jobs.end(),
                     [this](const std::string& job) { return contains(job); });
}

void UnfinishedJobs::schedule_read() {
  timer_.once(reading_since_ + constants::kJobReads - steady_now(), [this] { read(); });
}

/// All unfinished jobs in a few pages: a zone's workers run tasks of most of them, so that asking for each
/// would take far more requests.
void UnfinishedJobs::read() {
  reading_ = true;
  reading_since_ = steady_now();
  found_.clear();
  cancelled_.clear();
  state_.read_all(
      kJobs, "", [this](const codec::KeyValue& record) { take(record); },
      [this](const ReadEnd& end) {
        reading_ = false;
        if (end.ok())
          read_succeeded();
        else
          read_failed(end.status);
      });
}

void UnfinishedJobs::take(const codec::KeyValue& record) {
  auto job = record.key.substr(kJobs.size());
  job.resize(std::min(job.size(), job.find('/')));  // a piece or mark of a job's record counts for the job
  (is_marked_cancelled(record.value) ? cancelled_ : found_).insert(std::move(job));
}

void UnfinishedJobs::read_succeeded() {
  for (const auto& job : cancelled_) found_.erase(job);
  jobs_ = std::move(found_);
  read_at_ = reading_since_;
  for (auto& waiting : std::exchange(waiting_, {})) {
    if (known(waiting))
      waiting.done(Result::Known);
    else
      waiting_.push_back(std::move(waiting));
  }
  if (!waiting_.empty()) schedule_read();
}

/// In time for the workers to try elsewhere; where the service is merely busy they hear of the next read.
void UnfinishedJobs::read_failed(StateStatus status) {
  std::vector<Waiting> patient;
  for (auto& waiting : std::exchange(waiting_, {})) {
    bool may_wait = status == StateStatus::Refused && steady_now() - waiting.since <= constants::kReadTimeout;
    if (may_wait)
      patient.push_back(std::move(waiting));
    else
      waiting.done(Result::Unreadable);
  }
  waiting_ = std::move(patient);
  if (!waiting_.empty()) timer_.once(constants::kRetryPause, [this] { read(); });
}

}  // namespace corkmux

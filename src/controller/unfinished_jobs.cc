#include "unfinished_jobs.h"

#include <algorithm>
#include <utility>

#include "constants.h"
#include "job_record.h"
#include "store_keys.h"

namespace corkmux {

void UnfinishedJobs::look_up(std::vector<std::string> jobs, Callback done) {
  Waiting waiting{std::move(jobs), std::move(done), steady_now()};
  if (has_answer_for(waiting)) return waiting.done(Result::Known);
  waiting_.push_back(std::move(waiting));
  if (!timer_.active() && !reading_) schedule_read();
}

bool UnfinishedJobs::has_answer_for(const Waiting& waiting) const {
  // Guards against stopping a task whose job was accepted after the jobs were read: only a read that began
  // after the heartbeat arrived shows that a job is over.
  if (last_read_at_ >= waiting.started_at) return true;
  if (steady_now() - last_read_at_ > constants::kJobReadMaxAge) return false;
  return std::all_of(waiting.jobs.begin(), waiting.jobs.end(),
                     [this](const std::string& job) { return contains(job); });
}

void UnfinishedJobs::schedule_read() {
  timer_.once(read_started_at_ + constants::kJobReadInterval - steady_now(), [this] { read(); });
}

/// Reads all unfinished jobs in a few pages: the workers of a zone run tasks of most of them, so that a
/// request for each job would take far more requests.
void UnfinishedJobs::read() {
  reading_ = true;
  read_started_at_ = steady_now();
  unfinished_found_.clear();
  cancelled_found_.clear();
  state_.read_all(
      kJobs, "", [this](const codec::KeyValue& record) { add_record(record); },
      [this](const ReadEnd& end) {
        reading_ = false;
        if (end.ok())
          read_succeeded();
        else
          read_failed(end.status);
      });
}

void UnfinishedJobs::add_record(const codec::KeyValue& record) {
  auto job = record.key.substr(kJobs.size());
  job.resize(std::min(job.size(), job.find('/')));  // a piece or mark of a job's record counts as the job
  (is_marked_cancelled(record.value) ? cancelled_found_ : unfinished_found_).insert(std::move(job));
}

void UnfinishedJobs::read_succeeded() {
  for (const auto& job : cancelled_found_) unfinished_found_.erase(job);
  jobs_ = std::move(unfinished_found_);
  last_read_at_ = read_started_at_;
  for (auto& waiting : std::exchange(waiting_, {})) {
    if (has_answer_for(waiting))
      waiting.done(Result::Known);
    else
      waiting_.push_back(std::move(waiting));
  }
  if (!waiting_.empty()) schedule_read();
}

/// Fails the look-ups in time for their workers to try another controller. While the state store only refuses
/// requests because it is busy, look-ups wait for the next read for at most kReadTimeout.
void UnfinishedJobs::read_failed(StateStatus status) {
  std::vector<Waiting> still_waiting;
  for (auto& waiting : std::exchange(waiting_, {})) {
    bool may_wait =
        status == StateStatus::Refused && steady_now() - waiting.started_at <= constants::kReadTimeout;
    if (may_wait)
      still_waiting.push_back(std::move(waiting));
    else
      waiting.done(Result::Unreadable);
  }
  waiting_ = std::move(still_waiting);
  if (!waiting_.empty()) timer_.once(constants::kRetryPause, [this] { read(); });
}

}  // namespace corkmux

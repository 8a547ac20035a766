#include "read_batcher.h"

#include <algorithm>
#include <utility>

namespace corkmux {
namespace c = constants;

ReadBatcher::ReadBatcher(double rate, int jobs_per_batch, std::size_t max_known)
    : rate_(rate),
      allowance_(std::max(1.0, rate * c::kReadBurst)),
      jobs_per_batch_(std::max(1, jobs_per_batch)),
      max_known_(std::max<std::size_t>(1, max_known)) {}

// ---------------------------------------------------------------- known revisions

void ReadBatcher::note_revision(const std::string& job, std::uint64_t revision, bool has_dependencies) {
  // Only jobs that exist are added, so reads of jobs that do not exist cannot evict others.
  if (!known_.insert_or_assign(job, KnownJob{revision, has_dependencies}).second) return;
  known_order_.push_back(job);
  while (known_.size() > max_known_) {
    known_.erase(known_order_.front());
    known_order_.pop_front();
  }
  // forget() leaves the name of the job in known_order_.
  if (known_order_.size() > 2 * max_known_)
    std::erase_if(known_order_, [this](const auto& name) { return !known_.contains(name); });
}

std::optional<std::uint64_t> ReadBatcher::revision(const std::string& job) const {
  auto known = known_.find(job);
  return known == known_.end() ? std::nullopt : std::optional(known->second.revision);
}

void ReadBatcher::forget(const std::string& job) { known_.erase(job); }

// ---------------------------------------------------------------- waiting reads

void ReadBatcher::add(RequestId request, const std::string& job, double now) {
  auto starved = starved_since_.find(job);
  PendingRead read{job, now, starved == starved_since_.end() ? now : starved->second, {request}, 0};
  put(std::move(read), known_.contains(job) ? compares_ : singles_);
}

/// Orders the queue by how long a job has gone without an answer, longest first. Keeps a job from being last
/// again and again while others get answers (invariant 'forgotten'). A read joins a queued read of the same
/// job, since the request is still to be sent.
void ReadBatcher::put(PendingRead read, Queue& queue) {
  auto same = std::find_if(queue.begin(), queue.end(),
                           [&](const PendingRead& other) { return other.job == read.job; });
  if (same != queue.end()) {
    read.requests.insert(read.requests.end(), same->requests.begin(), same->requests.end());
    read.requested_at = std::min(read.requested_at, same->requested_at);
    read.starved_since = std::min(read.starved_since, same->starved_since);
    queue.erase(same);
  }
  auto at = std::upper_bound(
      queue.begin(), queue.end(), read.starved_since,
      [](double starved_since, const PendingRead& other) { return starved_since < other.starved_since; });
  queue.insert(at, std::move(read));
}

std::vector<ReadBatcher::RequestId> ReadBatcher::mark_starved(const PendingRead& read) {
  if (starved_since_.size() < max_known_) starved_since_.emplace(read.job, read.starved_since);
  return read.requests;
}

std::vector<ReadBatcher::RequestId> ReadBatcher::remove_overdue_from(Queue& queue, double now) {
  std::vector<RequestId> expired;
  std::erase_if(queue, [&](const PendingRead& read) {
    if (now - read.requested_at < c::kReadDeadline) return false;
    auto requests = mark_starved(read);
    expired.insert(expired.end(), requests.begin(), requests.end());
    return true;
  });
  return expired;
}

std::vector<ReadBatcher::RequestId> ReadBatcher::remove_overdue(double now) {
  auto expired = remove_overdue_from(compares_, now);
  auto singles = remove_overdue_from(singles_, now);
  expired.insert(expired.end(), singles.begin(), singles.end());
  return expired;
}

// ---------------------------------------------------------------- requests

bool ReadBatcher::can_compare() const { return !compares_.empty() && compares_in_flight_ == 0; }

bool ReadBatcher::can_read_single() const {
  return !singles_.empty() && singles_in_flight_ < c::kMaxSingleReadsInFlight;
}

double ReadBatcher::allowance(double now) const {
  if (!allowance_at_) return allowance_;
  double most = std::max(1.0, rate_ * c::kReadBurst);
  return std::min(most, allowance_ + (now - *allowance_at_) * rate_);
}

std::optional<ReadBatcher::ReadBatch> ReadBatcher::next(double now) {
  const bool compare = can_compare();
  const bool single = can_read_single();
  if (!compare && !single) return std::nullopt;
  allowance_ = allowance(now);
  allowance_at_ = now;
  if (allowance_ < 1) return std::nullopt;
  const bool compare_now = compare && !(single && single_next_);
  single_next_ = compare_now;
  allowance_ -= 1;
  if (!compare_now) return single_read();
  if (auto batch = comparison()) return batch;
  allowance_ += 1;
  return next(now);
}

ReadBatcher::ReadBatch ReadBatcher::single_read() {
  ++singles_in_flight_;
  ReadBatch batch;
  batch.reads.push_back(std::move(singles_.front()));
  singles_.pop_front();
  return batch;
}

/// A batch of as many waiting comparisons as fit. Jobs whose revisions were forgotten meanwhile are read by
/// themselves instead; nullopt if that applies to all of them.
std::optional<ReadBatcher::ReadBatch> ReadBatcher::comparison() {
  ReadBatch batch;
  batch.compare = true;
  while (!compares_.empty() && static_cast<int>(batch.reads.size()) < jobs_per_batch_) {
    PendingRead read = std::move(compares_.front());
    compares_.pop_front();
    auto known = known_.find(read.job);
    if (known == known_.end()) {
      put(std::move(read), singles_);
      continue;
    }
    batch.revisions.push_back(known->second.revision);
    batch.has_dependencies.push_back(known->second.has_dependencies);
    batch.reads.push_back(std::move(read));
  }
  if (batch.reads.empty()) return std::nullopt;
  ++compares_in_flight_;
  return batch;
}

std::optional<double> ReadBatcher::time_until_next(double now) const {
  if (waiting() == 0) return std::nullopt;
  double oldest = now;
  for (const auto* queue : {&compares_, &singles_})
    for (const auto& read : *queue) oldest = std::min(oldest, read.requested_at);
  double wait = oldest + c::kReadDeadline - now;
  if (can_compare() || can_read_single()) wait = std::min(wait, (1 - allowance(now)) / rate_);
  return std::max(0.0, wait);
}

// ---------------------------------------------------------------- how a batch ended

void ReadBatcher::finished(const ReadBatch& batch) {
  int& in_flight = batch.compare ? compares_in_flight_ : singles_in_flight_;
  --in_flight;
}

void ReadBatcher::answered(const ReadBatch& batch) {
  finished(batch);
  for (const auto& read : batch.reads) starved_since_.erase(read.job);
}

void ReadBatcher::put_back(ReadBatch batch) {
  finished(batch);
  for (auto& read : batch.reads) put(std::move(read), batch.compare ? compares_ : singles_);
}

void ReadBatcher::lost(ReadBatch batch) {
  finished(batch);
  for (auto& read : batch.reads) {
    bool single = !batch.compare || ++read.misses >= c::kMissesBeforeSingleRead;
    put(std::move(read), single ? singles_ : compares_);
  }
}

void ReadBatcher::changed(ReadBatch batch, const std::unordered_set<std::string>& jobs) {
  finished(batch);
  for (auto& read : batch.reads) {
    bool has_changed = jobs.contains(read.job);
    if (has_changed) forget(read.job);
    // Keeps comparisons of a job from failing for ever because of other jobs in its batches.
    bool single = has_changed || ++read.misses >= c::kMissesBeforeSingleRead;
    put(std::move(read), single ? singles_ : compares_);
  }
}

void ReadBatcher::too_large(ReadBatch batch) {
  jobs_per_batch_ = std::max(1, jobs_per_batch_ / 2);
  put_back(std::move(batch));
}

std::vector<ReadBatcher::RequestId> ReadBatcher::fail(const ReadBatch& batch) {
  finished(batch);
  std::vector<RequestId> expired;
  for (const auto& read : batch.reads) {
    auto requests = mark_starved(read);
    expired.insert(expired.end(), requests.begin(), requests.end());
  }
  return expired;
}

}  // namespace corkmux

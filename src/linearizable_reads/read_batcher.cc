#include "read_batcher.h"

#include <algorithm>
#include <utility>

#include "linearizable_reads_constants.h"

namespace corkmux {
namespace c = constants;

ReadBatcher::ReadBatcher(double rate, int jobs, std::size_t most_known)
    : rate_(rate),
      left_(std::max(1.0, rate * c::kReadBurst)),
      jobs_(std::max(1, jobs)),
      most_known_(std::max<std::size_t>(1, most_known)) {}

void ReadBatcher::learn(const std::string& job, std::uint64_t revision, bool has_dependencies) {
  // Only jobs that are there get in, so nobody can push them out by asking about others.
  if (!known_.insert_or_assign(job, Known{revision, has_dependencies}).second) return;
  known_order_.push_back(job);
  while (known_.size() > most_known_) {
    known_.erase(known_order_.front());
    known_order_.pop_front();
  }
  // Those forgotten meanwhile leave their names behind.
  if (known_order_.size() > 2 * most_known_)
    std::erase_if(known_order_, [this](const auto& name) { return !known_.count(name); });
}

std::optional<std::uint64_t> ReadBatcher::revision(const std::string& job) const {
  auto known = known_.find(job);
  return known == known_.end() ? std::nullopt : std::optional(known->second.revision);
}

void ReadBatcher::forget(const std::string& job) { known_.erase(job); }

void ReadBatcher::ask(RequestId request, const std::string& job, double now) {
  auto owed = starved_since_.find(job);
  put({job, now, owed == starved_since_.end() ? now : owed->second, {request}, 0}, !known_.count(job));
}

/// Who has gone without an answer for longest is first. Guards against a job that is last again and again
/// while others get theirs ('forgotten'). Whoever has asked the same joins, since the look is still to come.
void ReadBatcher::put(PendingRead read, bool single) {
  auto& queue = single ? reads_ : compares_;
  auto same =
      std::find_if(queue.begin(), queue.end(), [&](const PendingRead& q) { return q.job == read.job; });
  if (same != queue.end()) {
    read.requests.insert(read.requests.end(), same->requests.begin(), same->requests.end());
    read.since = std::min(read.since, same->since);
    read.unanswered = std::min(read.unanswered, same->unanswered);
    queue.erase(same);
  }
  auto at = std::upper_bound(queue.begin(), queue.end(), read.unanswered,
                             [](double t, const PendingRead& q) { return t < q.unanswered; });
  queue.insert(at, std::move(read));
}

double ReadBatcher::allowance(double now) const {
  return at_ < 0 ? left_ : std::min(std::max(1.0, rate_ * c::kReadBurst), left_ + (now - at_) * rate_);
}

std::optional<ReadBatcher::ReadBatch> ReadBatcher::next(double now) {
  const bool can_compare = !compares_.empty() && comparing_ == 0;
  const bool can_read = !reads_.empty() && reading_ < c::kSingleReadsInFlight;
  if (!can_compare && !can_read) return std::nullopt;
  left_ = allowance(now), at_ = now;
  if (left_ < 1) return std::nullopt;
  left_ -= 1;
  ReadBatch look;
  look.compare = can_compare && !(can_read && read_next_);
  read_next_ = look.compare;
  if (!look.compare) {
    ++reading_;
    look.reads.push_back(std::move(reads_.front()));
    reads_.pop_front();
    return look;
  }
  ++comparing_;
  while (!compares_.empty() && static_cast<int>(look.reads.size()) < jobs_) {
    auto known = known_.find(compares_.front().job);
    if (known == known_.end()) {  // forgotten meanwhile
      PendingRead read = std::move(compares_.front());
      compares_.pop_front();
      put(std::move(read), true);
      continue;
    }
    look.revisions.push_back(known->second.revision);
    look.has_dependencies.push_back(known->second.has_dependencies);
    look.reads.push_back(std::move(compares_.front()));
    compares_.pop_front();
  }
  if (!look.reads.empty()) return look;
  --comparing_;
  left_ += 1;
  return next(now);
}

double ReadBatcher::wait(double now) const {
  if (compares_.empty() && reads_.empty()) return -1;
  double oldest = now;
  for (const auto* queue : {&compares_, &reads_})
    for (const auto& q : *queue) oldest = std::min(oldest, q.since);
  double wait = oldest + c::kReadDeadline - now;
  if ((!compares_.empty() && comparing_ == 0) || (!reads_.empty() && reading_ < c::kSingleReadsInFlight))
    wait = std::min(wait, (1 - allowance(now)) / rate_);
  return std::max(0.0, wait);
}

std::vector<ReadBatcher::RequestId> ReadBatcher::give_up(const PendingRead& read) {
  if (starved_since_.size() < most_known_) starved_since_.emplace(read.job, read.unanswered);
  return read.requests;
}

std::vector<ReadBatcher::RequestId> ReadBatcher::overdue(double now) {
  std::vector<RequestId> out;
  for (auto* queue : {&compares_, &reads_})
    std::erase_if(*queue, [&](const PendingRead& q) {
      if (now - q.since < c::kReadDeadline) return false;
      auto requests = give_up(q);
      out.insert(out.end(), requests.begin(), requests.end());
      return true;
    });
  return out;
}

void ReadBatcher::answered(const ReadBatch& look) {
  landed(look);
  for (const auto& q : look.reads) starved_since_.erase(q.job);
}

void ReadBatcher::put_back(ReadBatch look) {
  landed(look);
  for (auto& q : look.reads) put(std::move(q), !look.compare);
}

void ReadBatcher::lost(ReadBatch look) {
  landed(look);
  for (auto& q : look.reads) {
    bool read = !look.compare || ++q.misses >= c::kBatchMissesBeforeRead;
    put(std::move(q), read);
  }
}

void ReadBatcher::changed(ReadBatch look, const std::unordered_set<std::string>& jobs) {
  landed(look);
  for (auto& q : look.reads) {
    bool its = jobs.count(q.job) > 0;
    if (its) forget(q.job);
    // Guards against comparisons that fail for ever because of others in them.
    bool read = its || ++q.misses >= c::kBatchMissesBeforeRead;
    put(std::move(q), read);
  }
}

void ReadBatcher::too_large(ReadBatch look) {
  jobs_ = std::max(1, jobs_ / 2);
  put_back(std::move(look));
}

std::vector<ReadBatcher::RequestId> ReadBatcher::unanswered(const ReadBatch& look) {
  landed(look);
  std::vector<RequestId> out;
  for (const auto& q : look.reads) {
    auto requests = give_up(q);
    out.insert(out.end(), requests.begin(), requests.end());
  }
  return out;
}

}  // namespace corkmux

#include "proof_queue.h"

#include <algorithm>
#include <utility>

#include "constants.h"

namespace corkmux {
namespace c = constants;

ProofQueue::ProofQueue(double rate, int jobs, std::size_t most_known)
    : rate_(rate),
      left_(std::max(1.0, rate * c::kQueryBurst)),
      jobs_(std::max(1, jobs)),
      most_known_(std::max<std::size_t>(1, most_known)) {}

void ProofQueue::learn(const std::string& job, std::uint64_t stamp, bool awaits) {
  // Only jobs that are there get in, so nobody can push them out by asking about others.
  if (!known_.insert_or_assign(job, Known{stamp, awaits}).second) return;
  known_order_.push_back(job);
  while (known_.size() > most_known_) {
    known_.erase(known_order_.front());
    known_order_.pop_front();
  }
  // Those forgotten meanwhile leave their names behind.
  if (known_order_.size() > 2 * most_known_)
    std::erase_if(known_order_, [this](const auto& name) { return !known_.count(name); });
}

std::optional<std::uint64_t> ProofQueue::stamp(const std::string& job) const {
  auto known = known_.find(job);
  return known == known_.end() ? std::nullopt : std::optional(known->second.stamp);
}

void ProofQueue::forget(const std::string& job) { known_.erase(job); }

void ProofQueue::ask(Ticket ticket, const std::string& job, double now) {
  auto owed = owed_.find(job);
  put({job, now, owed == owed_.end() ? now : owed->second, {ticket}, 0}, !known_.count(job));
}

/// Who has gone without an answer for longest is first. Guards against a job that is last again and again
/// while others get theirs ('forgotten'). Whoever has asked the same joins, since the look is still to come.
void ProofQueue::put(Question question, bool read) {
  auto& queue = read ? reads_ : compares_;
  auto same =
      std::find_if(queue.begin(), queue.end(), [&](const Question& q) { return q.job == question.job; });
  if (same != queue.end()) {
    question.tickets.insert(question.tickets.end(), same->tickets.begin(), same->tickets.end());
    question.since = std::min(question.since, same->since);
    question.unanswered = std::min(question.unanswered, same->unanswered);
    queue.erase(same);
  }
  auto at = std::upper_bound(queue.begin(), queue.end(), question.unanswered,
                             [](double t, const Question& q) { return t < q.unanswered; });
  queue.insert(at, std::move(question));
}

double ProofQueue::allowance(double now) const {
  return at_ < 0 ? left_ : std::min(std::max(1.0, rate_ * c::kQueryBurst), left_ + (now - at_) * rate_);
}

std::optional<ProofQueue::Look> ProofQueue::next(double now) {
  const bool can_compare = !compares_.empty() && comparing_ == 0;
  const bool can_read = !reads_.empty() && reading_ < c::kQueryReads;
  if (!can_compare && !can_read) return std::nullopt;
  left_ = allowance(now), at_ = now;
  if (left_ < 1) return std::nullopt;
  left_ -= 1;
  Look look;
  look.compare = can_compare && !(can_read && read_next_);
  read_next_ = look.compare;
  if (!look.compare) {
    ++reading_;
    look.questions.push_back(std::move(reads_.front()));
    reads_.pop_front();
    return look;
  }
  ++comparing_;
  while (!compares_.empty() && static_cast<int>(look.questions.size()) < jobs_) {
    auto known = known_.find(compares_.front().job);
    if (known == known_.end()) {  // forgotten meanwhile
      Question question = std::move(compares_.front());
      compares_.pop_front();
      put(std::move(question), true);
      continue;
    }
    look.stamps.push_back(known->second.stamp);
    look.awaiting.push_back(known->second.awaits);
    look.questions.push_back(std::move(compares_.front()));
    compares_.pop_front();
  }
  if (!look.questions.empty()) return look;
  --comparing_;
  left_ += 1;
  return next(now);
}

double ProofQueue::wait(double now) const {
  if (compares_.empty() && reads_.empty()) return -1;
  double oldest = now;
  for (const auto* queue : {&compares_, &reads_})
    for (const auto& q : *queue) oldest = std::min(oldest, q.since);
  double wait = oldest + c::kQueryTime - now;
  if ((!compares_.empty() && comparing_ == 0) || (!reads_.empty() && reading_ < c::kQueryReads))
    wait = std::min(wait, (1 - allowance(now)) / rate_);
  return std::max(0.0, wait);
}

std::vector<ProofQueue::Ticket> ProofQueue::give_up(const Question& question) {
  if (owed_.size() < most_known_) owed_.emplace(question.job, question.unanswered);
  return question.tickets;
}

std::vector<ProofQueue::Ticket> ProofQueue::overdue(double now) {
  std::vector<Ticket> out;
  for (auto* queue : {&compares_, &reads_})
    std::erase_if(*queue, [&](const Question& q) {
      if (now - q.since < c::kQueryTime) return false;
      auto tickets = give_up(q);
      out.insert(out.end(), tickets.begin(), tickets.end());
      return true;
    });
  return out;
}

void ProofQueue::answered(const Look& look) {
  landed(look);
  for (const auto& q : look.questions) owed_.erase(q.job);
}

void ProofQueue::put_back(Look look) {
  landed(look);
  for (auto& q : look.questions) put(std::move(q), !look.compare);
}

void ProofQueue::lost(Look look) {
  landed(look);
  for (auto& q : look.questions) {
    bool read = !look.compare || ++q.misses >= c::kQueryMisses;
    put(std::move(q), read);
  }
}

void ProofQueue::changed(Look look, const std::unordered_set<std::string>& jobs) {
  landed(look);
  for (auto& q : look.questions) {
    bool its = jobs.count(q.job) > 0;
    if (its) forget(q.job);
    // Guards against comparisons that fail for ever because of others in them.
    bool read = its || ++q.misses >= c::kQueryMisses;
    put(std::move(q), read);
  }
}

void ProofQueue::too_large(Look look) {
  jobs_ = std::max(1, jobs_ / 2);
  put_back(std::move(look));
}

std::vector<ProofQueue::Ticket> ProofQueue::unanswered(const Look& look) {
  landed(look);
  std::vector<Ticket> out;
  for (const auto& q : look.questions) {
    auto tickets = give_up(q);
    out.insert(out.end(), tickets.begin(), tickets.end());
  }
  return out;
}

}  // namespace corkmux

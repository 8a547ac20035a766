#include "dependency_barrier.h"

#include <algorithm>
#include <utility>

namespace corkmux {

double DependencyBarrier::advance(double observed_until, const std::vector<std::string>& pending,
                                  bool outcomes_missing) {
  if (!can_advance(observed_until)) return barrier_at_;
  // A job that was not pending at the last call was cancelled after that call. If an outcome was missing
  // then, the cancel may be older, but not older than the barrier was at that time.
  const double earliest_new_cancel = outcomes_missing_ ? barrier_at_ : observed_until_;
  std::map<std::string, double> pending_since;
  double oldest = outcomes_missing ? earliest_new_cancel : observed_until;
  for (const auto& job : pending) {
    auto previous = pending_since_.find(job);
    const double since = previous == pending_since_.end() ? earliest_new_cancel : previous->second;
    oldest = std::min(oldest, since);
    pending_since.emplace(job, since);
  }
  pending_since_ = std::move(pending_since);
  observed_until_ = observed_until;
  outcomes_missing_ = outcomes_missing;
  barrier_at_ = std::max(barrier_at_, oldest);
  return barrier_at_;
}

}  // namespace corkmux

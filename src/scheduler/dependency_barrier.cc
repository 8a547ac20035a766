#include "dependency_barrier.h"

#include <algorithm>
#include <utility>

namespace corkmux {

double DependencyBarrier::advance(double seen, const std::vector<std::string>& pending, bool unclear) {
  if (!can_advance(seen)) return settled_until_;
  // What was not pending the last time came of a cancel after that; or of one whose job was being looked up,
  // which may be older, though not older than what was settled then.
  const double earliest_new_cancel = unclear_ ? settled_until_ : seen_;
  std::map<std::string, double> pending_since;
  double oldest = unclear ? earliest_new_cancel : seen;
  for (const auto& job : pending) {
    auto known = pending_since_.find(job);
    const double since = known == pending_since_.end() ? earliest_new_cancel : known->second;
    oldest = std::min(oldest, since);
    pending_since.emplace(job, since);
  }
  pending_since_ = std::move(pending_since);
  seen_ = seen;
  unclear_ = unclear;
  settled_until_ = std::max(settled_until_, oldest);
  return settled_until_;
}

}  // namespace corkmux

#include "dependency_barrier.h"

#include <algorithm>
#include <utility>

namespace corkmux {

double DependencyBarrier::look(double seen, const std::vector<std::string>& pending, bool unclear) {
  if (!news(seen)) return at_;
  // What was not there at the last look came of a cancel after it; or of one whose job was being looked up,
  // which may be older, though not older than what was settled then.
  const double fresh = unclear_ ? at_ : seen_;
  std::map<std::string, double> since;
  double oldest = unclear ? fresh : seen;
  for (const auto& job : pending) {
    auto known = since_.find(job);
    double at = known == since_.end() ? fresh : known->second;
    oldest = std::min(oldest, at);
    since.emplace(job, at);
  }
  since_ = std::move(since);
  seen_ = seen;
  unclear_ = unclear;
  at_ = std::max(at_, oldest);
  return at_;
}

}  // namespace corkmux

#include "dependency_barrier_publisher.h"

#include "dependency_barrier_record.h"
#include "store_keys.h"

namespace corkmux {

DependencyBarrierPublisher::DependencyBarrierPublisher(const Settings& settings, StateClient& state,
                                                       const Term& term, const Scheduler& scheduler,
                                                       const JobWatcher& job_watcher, double known)
    : write_interval_s_(kWriteShare * settings.cancel_s),
      state_(state),
      term_(term),
      scheduler_(scheduler),
      job_watcher_(job_watcher),
      barrier_(known) {}

std::optional<double> DependencyBarrierPublisher::update() {
  double seen = job_watcher_.seen_at();
  if (!barrier_.can_advance(seen) || job_watcher_.joining()) return std::nullopt;
  double barrier_at = barrier_.advance(seen, scheduler_.dependents_of_cancelled(),
                                       !scheduler_.unknown_dependencies().empty());
  if (barrier_at != kLongAgo && scheduler_.has_dependencies()) store(barrier_at);
  return barrier_at;
}

void DependencyBarrierPublisher::store(double barrier_at) {
  double now = steady_now();
  if (now - written_at_ < write_interval_s_) return;
  written_at_ = now;
  state_.transaction({{kLeaderKey, term_.revision}},
                     {{kDependencyBarrierKey, dependency_barrier_to_json(barrier_at), 0}}, [](StateReply) {});
}

}  // namespace corkmux

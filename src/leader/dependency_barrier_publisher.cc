#include "dependency_barrier_publisher.h"

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
  codec::Json record{{"t", wall_now() - (now - barrier_at)}};
  state_.transaction({{kLeaderKey, term_.revision}}, {{kDependencyBarrierKey, std::move(record), 0}},
                     [](StateReply) {});
}

}  // namespace corkmux

#include "dependency_barrier_publisher.h"

#include "dependency_barrier_record.h"
#include "store_keys.h"

namespace corkmux {

DependencyBarrierPublisher::DependencyBarrierPublisher(const Settings& settings, StateClient& state,
                                                       const Term& term, const Scheduler& scheduler,
                                                       const JobWatcher& job_watcher,
                                                       double initial_barrier_at)
    : write_interval_s_(kWriteShare * settings.cancel_s),
      state_(state),
      term_(term),
      scheduler_(scheduler),
      job_watcher_(job_watcher),
      barrier_(initial_barrier_at) {}

std::optional<double> DependencyBarrierPublisher::update() {
  double observed_until = job_watcher_.observed_until();
  if (!barrier_.can_advance(observed_until) || job_watcher_.joining()) return std::nullopt;
  double barrier_at = barrier_.advance(observed_until, scheduler_.dependents_of_cancelled(),
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

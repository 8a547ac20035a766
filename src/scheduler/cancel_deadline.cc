#include "cancel_deadline.h"

#include "constants.h"
#include "scheduler_config.h"

namespace corkmux {
namespace {

/// Share of keepalive() for which a raised token may take to reach the worker. The rest is for the next
/// election and for the worker's next heartbeat to its lease proxy.
constexpr double kFenceWaitShare = 0.5;

/// Whether the worker's lease may be kept by others than this leader: by a lease proxy that it has read of,
/// or by one that it could not read of.
bool lease_kept_by_others(const ClusterState& state, const WorkerConnection& worker, double now) {
  const double lease_s = state.config().lease_s * (1 + constants::kClockDrift);
  return now < worker.renewed_by_proxy_until ||
         now > worker.last_reply_at + lease_s + constants::kTimeoutSafetyMargin;
}

bool may_still_arrive(const ClusterState& state, const ActiveTask& task, double now) {
  // A launch of an earlier term is below the tokens of this one, which lease proxies pass on.
  const bool sent_in_this_term = task.attempt > state.sequence().base();
  if (task.stage != ActiveTask::Stage::Sent || !sent_in_this_term) return false;
  const Machine* machine = state.machine(task.machine);
  if (!machine || machine->commands.dispatch_in_flight) return false;
  const bool fenced = task.minimum_token <= machine->worker.observed_token;
  return !fenced && lease_kept_by_others(state, machine->worker, now);
}

}  // namespace

bool is_cancel_overdue(const Job& job, double cancel_s, double now) {
  return job.cancelled_at && now - *job.cancelled_at > cancel_s;
}

std::optional<TaskId> find_unfenced_launch(const ClusterState& state,
                                           const std::map<std::string, std::uint64_t>& cancelled,
                                           double now) {
  const double wait_s = kFenceWaitShare * state.config().keepalive();
  for (const auto& [id, order] : cancelled) {
    const Job* job = state.job(id);
    if (!job || !job->cancelled_at || now - *job->cancelled_at < wait_s) continue;
    for (const auto& [index, task] : job->active)
      if (may_still_arrive(state, task, now)) return TaskId{id, index};
  }
  return std::nullopt;
}

}  // namespace corkmux

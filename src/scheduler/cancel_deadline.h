// Decides whether the tasks of cancelled jobs still end within the protocol's `cancel_s`.
//
// Pure functions of the cluster's state and the time. They change nothing: stopping tasks, logging and ending
// the term are left to the callers.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "cluster_state.h"
#include "scheduler_constants.h"

namespace corkmux {

/// Whether a task of the job that is still on a machine violates the protocol: the leader has known the
/// cancel for longer than `cancel_s`.
bool is_cancel_overdue(const Job& job, double cancel_s, double now);

/// A launch of a cancelled job that the leader's own commands cannot fence in time; nullopt: there is none.
/// The leader has sent it without an answer and has raised the machine's token, but a lease proxy renews the
/// worker's lease, so that the worker neither learns of that token nor begins a new epoch: whenever the
/// launch arrives, it is executed. Lease proxies pass on the lowest token of the leader's term, so a new term
/// fences it. `cancelled`: jobs that have ended or been cancelled and may still have tasks, by id.
std::optional<TaskId> find_unfenced_launch(const ClusterState& state,
                                           const std::map<std::string, std::uint64_t>& cancelled, double now);

}  // namespace corkmux

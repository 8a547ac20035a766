// Inputs for tests of the scheduler: a machine type, heartbeats and jobs.
#pragma once
#include <string>
#include <vector>

#include "scheduler.h"

namespace corkmux {

/// 16 CPUs, 64 GB, no accelerators.
inline MachineType plain_type(const std::vector<std::string>& zones) {
  return {"plain", {16, 0, 64}, 50, 1, 1, 1, 10, zones};
}

/// The first heartbeat of a worker on a machine of plain_type().
inline Heartbeat first_heartbeat(const std::string& machine, const std::string& zone = "a") {
  Heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.address = "address-of-" + machine;
  heartbeat.type = "plain";
  heartbeat.zone = zone;
  heartbeat.worker_epoch = 1;
  heartbeat.seq = 1;
  return heartbeat;
}

/// Sends the worker's first heartbeat and one with the token of the reply, so that tasks can be placed on it.
inline void join(Scheduler& scheduler, Heartbeat heartbeat, double now = 0) {
  const auto first = scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
  ++heartbeat.seq;
  heartbeat.fencing_token = first.fencing_token;
  scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
}

/// An array job of `tasks` tasks with `cpus` CPUs each.
inline JobSpec array_spec(const std::string& id, const std::string& team, int tasks, double cpus) {
  JobSpec spec;
  spec.id = id;
  spec.team = team;
  spec.kind = JobKind::Array;
  spec.tasks = tasks;
  spec.need = {cpus, 0, 1};
  spec.image = "i";
  return spec;
}

}  // namespace corkmux

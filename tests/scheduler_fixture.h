// What tests of the scheduler feed it: a machine type, workers' heartbeats, jobs.
#pragma once
#include <string>
#include <vector>

#include "scheduler.h"

namespace corkmux {

/// 16 CPUs, 64 GB, no accelerators.
inline MachineType plain_type(const std::vector<std::string>& zones) {
  return {"plain", {16, 0, 64}, 50, 1, 1, 1, 10, zones};
}

/// The first heartbeat of a worker on such a machine.
inline Heartbeat first_heartbeat(const std::string& machine, const std::string& zone = "a") {
  Heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.address = "x";
  heartbeat.type = "plain";
  heartbeat.zone = zone;
  heartbeat.worker_epoch = 1;
  heartbeat.seq = 1;
  return heartbeat;
}

/// The worker sends its first heartbeat and one that shows the token of the answer: it can be placed on.
inline void join(Scheduler& scheduler, Heartbeat heartbeat, double now = 0) {
  const auto first = scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
  ++heartbeat.seq;
  heartbeat.fencing_token = first.fencing_token;
  scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
}

/// An array of that many tasks, each on so many CPUs.
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

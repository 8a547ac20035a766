// The scheduler's modules up to TaskLifecycle, composed as in Scheduler, for tests of a single module without
// heartbeats, scheduling cycles or a state store.
#pragma once
#include <string>
#include <vector>

#include "failure_tracker.h"
#include "freed_capacity.h"
#include "reserved_capacity.h"
#include "scheduler_fixture.h"
#include "task_lifecycle.h"
#include "task_record_store.h"

namespace corkmux {

struct SchedulerModules {
  ClusterState state{config(), 1, 0};
  FreedCapacity freed_capacity;
  ReservedCapacity reserved_capacity;
  FailureTracker failures{state};
  TaskRecordStore records{state};
  TaskLifecycle lifecycle{state, records, failures, freed_capacity, reserved_capacity};
  std::uint64_t revision = 0;

  SchedulerModules() { state.set_catalog({plain_type({"a"})}); }
  static SchedulerConfig config() {
    SchedulerConfig config;
    config.zones = {"a"};
    config.teams = {{"x", 0, 0, 0, 0}, {"y", 0, 0, 0, 0}};
    return config;
  }
  /// Adds a machine whose worker has just sent a heartbeat with a token of this term.
  Machine& add_up_machine(const std::string& name, double now = 0) {
    Machine& machine = state.add_machine(name, now).machine;
    machine.type = "plain";
    machine.zone = "a";
    state.set_address(machine, "address-of-" + name);
    machine.size = state.type("plain")->size;
    machine.free = machine.size;
    machine.state = MachineState::Up;
    machine.worker.epoch = 1;
    machine.worker.last_heartbeat_at = now;
    machine.worker.last_reply_at = now;
    machine.worker.term_token_observed_at = now;
    machine.worker.observed_token = machine.worker.fencing_token;
    state.reindex(machine, now);
    return machine;
  }
  Job& add_job(const JobSpec& spec, double accepted_at = 0) {
    return state.add_job(spec, ++revision, accepted_at).job;
  }
  /// Assigns the task and stores the assignment.
  ActiveTask& launch(Job& job, int index, Machine& machine, double now = 0) {
    lifecycle.assign(job, index, machine, state.sequence().next().value(), now);
    lifecycle.records_written(records.next_writes(12, true, now), ++revision, now);
    return job.active.at(index);
  }
  /// Assigns the task and sets it to running.
  ActiveTask& run(Job& job, int index, Machine& machine, double now = 0) {
    ActiveTask& task = launch(job, index, machine, now);
    machine.commands.outbox.take();
    task.stage = ActiveTask::Stage::Running;
    task.minimum_token = 0;
    return task;
  }
};

}  // namespace corkmux

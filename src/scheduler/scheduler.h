// The scheduler: the front of the modules that hold the cluster's state and decide on it.
//
// Owns the modules, each of which owns its part of the state, see their headers. It forwards and decides
// nothing. All are functions of state and time: no input or output, no clock of their own. The Leader actor
// feeds it jobs, heartbeats, results of the state service and the clock, and carries out what it asks for.
// All calls are made on the leader's actor.
#pragma once
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "arrival_tracker.h"
#include "candidate_search.h"
#include "cluster_state.h"
#include "command_queue.h"
#include "dependency_graph.h"
#include "failure_tracker.h"
#include "freed_capacity.h"
#include "guarantee_claims.h"
#include "heartbeat_reconciler.h"
#include "machine_lifecycle.h"
#include "machine_reservations.h"
#include "placement.h"
#include "preemption.h"
#include "random_source.h"
#include "reserved_capacity.h"
#include "scheduler_config.h"
#include "scheduling_cycle.h"
#include "task_lifecycle.h"
#include "task_record_store.h"

namespace corkmux {

class Scheduler {
 public:
  using Loaded = RecordLoadResult;
  using Outcome = JobOutcome;
  using Channel = HeartbeatChannel;
  using HeartbeatResult = corkmux::HeartbeatResult;
  using DispatchOutcome = corkmux::DispatchOutcome;

  Scheduler(SchedulerConfig config, std::uint64_t term, double now, std::uint64_t seed);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // --- jobs ---
  /// The job's record as it is stored; `age_s` since it was accepted.
  void upsert_job(const JobSpec& spec, std::uint64_t revision, bool cancelled, double now, double age_s = 0);
  /// The job's end is stored, or its record is gone.
  void forget_job(const std::string& id);
  Job* job(const std::string& id) { return state_.job(id); }
  const std::unordered_map<std::string, Job>& jobs() const { return state_.jobs(); }
  /// Tasks of the job that run or save.
  int running(const Job& job) const;
  /// Why it waits, for its user; empty if it does not.
  std::string reason(const Job& job) const;
  /// Jobs whose displayed state changed since the last call.
  std::unordered_set<std::string> take_changed() { return state_.take_changed(); }
  /// Jobs whose end can be stored now: every task done, or cancelled and off every machine.
  std::vector<std::string> finished_jobs() const { return lifecycle_.finished_jobs(); }
  /// s since there was last any unfinished job.
  double idle_for(double now) const { return jobs().empty() ? arrivals_.idle_for(now) : 0; }
  /// s between jobs as they have come of late; 0 while too few have.
  double arrival_gap() const { return arrivals_.gap(); }
  Resources team_use(const std::string& team) const { return state_.team_use(team); }

  // --- dependencies between jobs ---
  /// How a job ended, as it is stored.
  void record_outcome(const std::string& id, Outcome how, double ended_at) {
    dependencies_.record_outcome(id, how, ended_at);
  }
  /// Dependencies of which nothing is known, to be looked up in the store.
  const std::set<std::string>& unknown_dependencies() const { return dependencies_.unknown_outcomes(); }
  /// Whether any job depends on others.
  bool has_dependencies() const { return dependencies_.any(); }
  /// Jobs that need a cancelled one and whose end is not stored yet.
  std::vector<std::string> dependents_of_cancelled() const { return dependencies_.dependents_of_cancelled(); }

  // --- workers ---
  HeartbeatResult on_heartbeat(const Heartbeat& heartbeat, Channel channel, double now) {
    return reconciler_.reconcile(heartbeat, channel, now);
  }
  /// The worker got the answer to its heartbeat, which renews its lease.
  void heartbeat_answered(const std::string& machine, double now);
  /// Commands cannot be sent to the worker: launches go with the answers for a while.
  void set_unreachable(const std::string& machine, double now);
  bool has_commands(const Machine& machine) const { return commands_.has_commands(machine); }
  /// Machines that commands can be sent to now; only those that something has changed for are looked at.
  std::vector<std::string> machines_with_commands() { return commands_.machines_with_commands(); }
  /// What is to be sent to the machine; dispatch_done() has to follow.
  CommandBatch take_commands(const std::string& machine, double now) { return commands_.take(machine, now); }
  void dispatch_done(const std::string& machine, const CommandBatch& batch, DispatchOutcome outcome,
                     double now) {
    commands_.done(machine, batch, outcome, now);
  }

  // --- machines ---
  void set_catalog(const std::vector<MachineType>& types) { state_.set_catalog(types); }
  const std::vector<MachineType>& catalog() const { return state_.catalog(); }
  const MachineType* type(const std::string& name) const { return state_.type(name); }
  const std::map<std::string, Machine>& machines() const { return state_.machines(); }
  Machine* machine(const std::string& name) { return state_.machine(name); }
  /// The machine was asked for.
  void machine_provisioned(const std::string& name, const std::string& type, const std::string& zone,
                           bool spot, double now) {
    machines_.machine_provisioned(name, type, zone, spot, now);
  }
  /// The cloud's list of machines.
  void machines_listed(const std::vector<ListedMachine>& list, double now) {
    machines_.machines_listed(list, now);
  }
  /// The cloud has taken the machines back.
  void machines_deleted(const std::vector<std::string>& names, double now) {
    machines_.machines_deleted(names, now);
  }
  /// The machine takes no new work and is to be returned.
  void decommission(const std::string& machine, double now) { machines_.decommission(machine, now); }
  /// Machines to be returned to the cloud.
  std::vector<std::string> decommissioning() const { return machines_.decommissioning(); }
  bool usable(const Machine& machine, double now) const { return state_.usable(machine, now); }
  /// Machines with tasks whose leases have run out unless a lease proxy has renewed them: to be asked before
  /// the tasks count as lost.
  std::vector<std::string> machines_with_expired_leases(double now) const {
    return machines_.machines_with_expired_leases(now);
  }
  /// A lease proxy may have renewed the worker's lease until then.
  void renewed_by_proxy(const std::string& machine, double until) {
    machines_.renewed_by_proxy(machine, until);
  }
  /// The machine's lease has run out for certain: its tasks are lost.
  void lease_expired(const std::string& machine, double now) { machines_.lease_expired(machine, now); }
  /// Whether some machine has been silent for longer than heartbeats explain: a lease proxy may answer it.
  bool any_silent() const { return machines_.any_silent(); }

  // --- time and placement ---
  void tick(double now);
  /// The process stood still until now: machines were not silent, we did not listen.
  void process_stalled(double now) { machines_.process_stalled(now); }
  /// One scheduling cycle.
  void schedule(double now) { cycle_.run(now); }
  bool wants_cycle() const { return state_.wants_cycle(); }

  // --- task records in the state service ---
  /// A stored record; those in format V2 in key order and before those in V1.
  Loaded load_record(const std::string& key, const nlohmann::json& value, std::uint64_t revision) {
    return records_.load(key, value, revision);
  }
  /// All records have been given.
  void records_loaded();
  /// From now on records are written in format V2: every controller reads it.
  void use_v2_records() { records_.use_format(RecordFormat::V2); }
  bool uses_v2_records() const { return records_.format() == RecordFormat::V2; }
  /// A record was refused as too large although it kept to the limits that we know of.
  void records_refused() { records_.halve_record_size(); }
  /// What launches wait for comes first; the rest is written while there are changes to spare, or once it has
  /// waited for a while.
  std::vector<TaskRecordWrite> next_writes(int most, bool spare, double now) {
    return records_.next_writes(most, spare, now);
  }
  /// The batch is stored under that revision: what it assigns may be sent.
  void records_written(const std::vector<TaskRecordWrite>& batch, std::uint64_t revision, double now) {
    lifecycle_.records_written(batch, revision, now);
  }
  /// None of the batch is known to be stored.
  void write_failed(const std::vector<TaskRecordWrite>& batch) { records_.write_failed(batch); }
  /// The stored record has another revision than was thought.
  void set_record_revision(const TaskRecordWrite& write, std::uint64_t revision) {
    records_.set_revision(write, revision);
  }
  /// The keys of a job's records, for their removal.
  std::vector<std::string> record_keys(const Job& job) const { return records_.keys(job); }
  /// Records that others have replaced, to be removed.
  std::vector<std::string> take_replaced() { return records_.take_replaced(); }

  // --- for the log and for tests ---
  const SchedulerConfig& config() const { return state_.config(); }
  /// Jobs, buckets of free capacity, machines and tasks looked at by cycles so far: the work done, counted
  /// and not timed.
  std::uint64_t items_examined() const {
    return cycle_.items_examined() + claims_.items_examined() + preemption_.items_examined() +
           placement_.items_examined() + search_.items_examined() + job_index().items_examined();
  }
  const JobIndex& job_index() const { return state_.job_index(); }
  const CapacityIndex& capacity_index() const { return state_.capacity_index(); }
  /// What the index of free capacity has to say of a machine.
  MachineCapacity machine_capacity(const Machine& machine, double now) const {
    return state_.machine_capacity(machine, now);
  }
  /// One line per event worth an operator's attention; the actor logs them.
  std::vector<std::string> take_notes() { return state_.take_notes(); }
  /// One line per placed gang, when the configuration asks for it.
  std::vector<std::string> take_placement_details() { return placement_.take_details(); }

 private:
  // Each module after those it needs.
  ClusterState state_;
  ArrivalTracker arrivals_;
  FreedCapacity freed_capacity_;
  ReservedCapacity reserved_capacity_;
  FailureTracker failures_{state_};
  TaskRecordStore records_{state_};
  TaskLifecycle lifecycle_{state_, records_, failures_, freed_capacity_, reserved_capacity_};
  CommandQueue commands_{state_, lifecycle_};
  MachineLifecycle machines_{state_, lifecycle_, failures_};
  HeartbeatReconciler reconciler_{state_, records_, lifecycle_, commands_, machines_};
  DependencyGraph dependencies_{state_, lifecycle_};
  RandomSource random_;
  MachineReservations reservations_{state_, reserved_capacity_};
  CandidateSearch search_{state_, reservations_};
  Placement placement_{state_, search_, random_, freed_capacity_, lifecycle_};
  Preemption preemption_{state_, search_, random_};
  GuaranteeClaims claims_{state_, search_, preemption_};
  SchedulingCycle cycle_{state_, reservations_, search_, placement_, preemption_, claims_};
};

}  // namespace corkmux

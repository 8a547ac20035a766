// The scheduler: the facade of the modules that hold the cluster's state and make scheduling decisions.
//
// Owns the modules, each of which owns its part of the state, see their headers. It forwards calls and makes
// no decisions. All modules are functions of state and time: they do no input or output and read no clock.
// The Leader actor passes in jobs, heartbeats, results of the state store and the time, and executes the
// requested writes, commands and machine changes. All calls are made on the leader's actor.
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
#include "cancel_deadline.h"
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
  /// Adds or updates a job from its stored record, accepted `age_s` seconds ago.
  void upsert_job(const JobSpec& spec, std::uint64_t revision, bool cancelled, double now, double age_s = 0);
  /// Removes the job: its end is stored, or its record is gone.
  void forget_job(const std::string& id);
  Job* job(const std::string& id) { return state_.job(id); }
  const std::unordered_map<std::string, Job>& jobs() const { return state_.jobs(); }
  /// The number of the job's tasks that run or save.
  int running(const Job& job) const;
  /// Why the job waits, as a text for its user; empty if it does not wait.
  std::string reason(const Job& job) const;
  /// Jobs whose displayed state changed since the last call.
  std::unordered_set<std::string> take_changed() { return state_.take_changed(); }
  /// Jobs whose end can be stored now: every task is done, or the job is cancelled and off every machine.
  std::vector<std::string> finished_jobs() const { return lifecycle_.finished_jobs(); }
  /// s since the last time that an unfinished job existed.
  double idle_for(double now) const { return jobs().empty() ? arrivals_.idle_for(now) : 0; }
  /// s between recent job submissions; 0 while there are too few.
  double arrival_gap() const { return arrivals_.gap(); }
  Resources team_use(const std::string& team) const { return state_.team_use(team); }

  // --- dependencies between jobs ---
  /// Records the stored outcome of a job that has ended.
  void record_outcome(const std::string& id, Outcome outcome, double ended_at) {
    dependencies_.record_outcome(id, outcome, ended_at);
  }
  /// Dependencies with an unknown outcome, to be looked up in the state store.
  const std::set<std::string>& unknown_dependencies() const { return dependencies_.unknown_outcomes(); }
  /// Whether any job depends on others.
  bool has_dependencies() const { return dependencies_.any(); }
  /// Jobs that depend on a cancelled job and whose end is not stored yet.
  std::vector<std::string> dependents_of_cancelled() const { return dependencies_.dependents_of_cancelled(); }

  // --- workers ---
  /// Applies a worker's heartbeat and returns the reply.
  HeartbeatResult on_heartbeat(const Heartbeat& heartbeat, Channel channel, double now) {
    return reconciler_.reconcile(heartbeat, channel, now);
  }
  /// The reply to the worker's heartbeat was sent, which renews the worker's lease.
  void heartbeat_answered(const std::string& machine, double now);
  /// The worker is unreachable: until the next probe, launches go with the replies to its heartbeats.
  void set_unreachable(const std::string& machine, double now);
  bool has_commands(const Machine& machine) const { return commands_.has_commands(machine); }
  /// Machines that commands can be sent to now. Checks only machines marked for dispatch since the last call.
  std::vector<std::string> machines_with_commands() { return commands_.machines_with_commands(); }
  /// Takes the commands to send to the machine. The caller has to call dispatch_done() with the outcome.
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
  /// Adds a machine that was requested from the cloud.
  void machine_provisioned(const std::string& name, const std::string& type, const std::string& zone,
                           bool spot, double now) {
    machines_.machine_provisioned(name, type, zone, spot, now);
  }
  /// Applies the cloud's list of machines.
  void machines_listed(const std::vector<ListedMachine>& list, double now) {
    machines_.machines_listed(list, now);
  }
  /// The cloud has deleted the machines: their tasks are lost.
  void machines_deleted(const std::vector<std::string>& names, double now) {
    machines_.machines_deleted(names, now);
  }
  /// Stops placing tasks on the machine and lists it for its return.
  void decommission(const std::string& machine, double now) { machines_.decommission(machine, now); }
  /// Machines to be returned to the cloud.
  std::vector<std::string> decommissioning() const { return machines_.decommissioning(); }
  bool usable(const Machine& machine, double now) const { return state_.usable(machine, now); }
  /// Machines with tasks whose leases have expired unless a lease proxy has renewed them. The lease proxies
  /// have to be queried before the tasks count as lost. Sorted by name.
  std::vector<std::string> machines_with_expired_leases(double now) const {
    return machines_.machines_with_expired_leases(now);
  }
  /// A lease proxy may have renewed the worker's lease until then.
  void renewed_by_proxy(const std::string& machine, double until) {
    machines_.renewed_by_proxy(machine, until);
  }
  /// The machine's lease has certainly expired: its tasks are lost.
  void lease_expired(const std::string& machine, double now) { machines_.lease_expired(machine, now); }
  /// Whether a machine was silent at the last tick: a lease proxy may be renewing its lease.
  bool any_silent() const { return machines_.any_silent(); }

  // --- fencing tokens and attempts ---
  /// The lowest term that the state store has to reserve for this leader now, if any.
  std::optional<std::uint64_t> term_to_reserve() const { return state_.sequence().term_to_reserve(); }
  /// Continues with the tokens and attempts of a term that the state store has reserved for this leader.
  void continue_in_term(std::uint64_t term) { state_.sequence().continue_in(term); }
  /// Whether the leader has to begin a new term because tokens of this one are used up or superseded.
  bool needs_new_leader_term() const { return state_.sequence().needs_new_leader_term(); }

  /// A launch of a cancelled job that only a new term fences in time, if any.
  std::optional<TaskId> find_unfenced_launch(double now) const {
    return corkmux::find_unfenced_launch(state_, lifecycle_.ending(), now);
  }

  // --- time and placement ---
  void tick(double now);
  /// The process was stalled until now and received no heartbeats, so machines do not count as silent.
  void process_stalled(double now) { machines_.process_stalled(now); }
  /// Runs one scheduling cycle.
  void schedule(double now) {
    dependencies_.refresh_urgency();
    cycle_.run(now);
  }
  bool cycle_requested() const { return state_.cycle_requested(); }

  // --- task records in the state store ---
  /// Loads a stored record. Records in format V2 have to be loaded in key order and before those in V1.
  Loaded load_record(const std::string& key, const nlohmann::json& value, std::uint64_t revision) {
    return records_.load(key, value, revision);
  }
  /// All records have been loaded.
  void records_loaded();
  /// Writes records in format V2 from now on, once every controller can read it.
  void use_v2_records() { records_.use_format(RecordFormat::V2); }
  bool uses_v2_records() const { return records_.format() == RecordFormat::V2; }
  /// The state store refused a record as too large although it is within the configured limits.
  void records_refused() { records_.halve_record_size(); }
  /// The next records to write, `max_writes` at most. Records that launches wait for come first; the others
  /// are included if `spare` allows, or once they have waited for a while.
  std::vector<TaskRecordWrite> next_writes(int max_writes, bool spare, double now) {
    return records_.next_writes(max_writes, spare, now);
  }
  /// The batch is stored under that revision: launches of the tasks that it assigns may be sent.
  void records_written(const std::vector<TaskRecordWrite>& batch, std::uint64_t revision, double now) {
    lifecycle_.records_written(batch, revision, now);
  }
  /// The write failed: no record of the batch is known to be stored.
  void write_failed(const std::vector<TaskRecordWrite>& batch) { records_.write_failed(batch); }
  /// The stored record has another revision than the scheduler assumed.
  void set_record_revision(const TaskRecordWrite& write, std::uint64_t revision) {
    records_.set_revision(write, revision);
  }
  /// The keys of a job's records, for their removal.
  std::vector<std::string> record_keys(const Job& job) const { return records_.keys(job); }
  /// Keys of records that other records have replaced, to be removed.
  std::vector<std::string> take_replaced() { return records_.take_replaced(); }

  // --- for the log and for tests ---
  const SchedulerConfig& config() const { return state_.config(); }
  /// Jobs, buckets of free capacity, machines and tasks examined by scheduling cycles so far: a measure of
  /// work that does not depend on the speed of the machine.
  std::uint64_t items_examined() const {
    return cycle_.items_examined() + claims_.items_examined() + preemption_.items_examined() +
           placement_.items_examined() + search_.items_examined() + job_index().items_examined();
  }
  /// Members of gangs examined because another member ended, see TaskLifecycle.
  std::uint64_t tasks_examined() const { return lifecycle_.tasks_examined(); }
  const JobIndex& job_index() const { return state_.job_index(); }
  const CapacityIndex& capacity_index() const { return state_.capacity_index(); }
  /// The machine's capacity as the index of free capacity has to hold it.
  MachineCapacity machine_capacity(const Machine& machine, double now) const {
    return state_.machine_capacity(machine, now);
  }
  /// One line per event that an operator should see; the Leader actor logs them.
  std::vector<std::string> take_notes() { return state_.take_notes(); }
  /// One line per placed gang, if SchedulerConfig::details is set.
  std::vector<std::string> take_placement_details() { return placement_.take_details(); }

 private:
  // Each module is declared after the modules that it depends on.
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

// The leader's book of jobs, tasks and machines, and every decision on them, as functions of state and time.
// It does no input or output: the Leader actor feeds it reports, store results and the clock, and carries out
// what it asks for. Tests drive it against a slow plain model.
#pragma once
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "candidate_search.h"
#include "cluster_state.h"
#include "constants.h"
#include "guarantee_claims.h"
#include "machine_reservations.h"
#include "placement.h"
#include "preemption.h"
#include "random_source.h"
#include "scheduler_config.h"
#include "scheduling_cycle.h"
#include "task_record.h"
#include "time_constants.h"

namespace corkmux {

struct CommandBatch {
  std::uint64_t fencing_token = 0, worker_epoch = 0;
  std::vector<TaskCommand> commands;
  std::vector<TaskId> launches;
  std::vector<std::uint64_t> attempts;
};

class Scheduler : private TaskAssigner {
 public:
  Scheduler(SchedulerConfig config, std::uint64_t term, double now, std::uint64_t seed);

  // --- loading and the job list ---
  void set_catalog(const std::vector<MachineType>& types) { state_.set_catalog(types); }
  void put_job(const JobSpec& spec, std::uint64_t revision, bool cancelled, double now, double age_s = 0);
  enum class Loaded { Yes, Garbage, Unknown };
  /// A record of tasks, those of the second form in key order and before the first form's. Garbage: it says
  /// nothing any more. Unknown: a newer version wrote it.
  Loaded load_record(const std::string& key, const nlohmann::json& value, std::uint64_t revision);
  /// All records have been given.
  void loaded();
  void forget_job(const std::string& id);

  // --- jobs that await jobs (cluster_awaits.cc) ---
  enum class Outcome { Done, Cancelled };
  /// How a job ended, as it is stored.
  void outcome(const std::string& id, Outcome how, double ended_at);
  /// Awaited jobs of which nothing is known, to be looked up in the store.
  const std::set<std::string>& unknown() const { return unknown_; }
  /// Whether any job awaits others.
  bool has_dependencies() const { return !dependents_.empty(); }
  /// Jobs that need a cancelled one and whose end is not stored yet.
  std::vector<std::string> dependents_of_cancelled() const;

  // --- workers ---
  enum class Channel { Heartbeat, CommandBatch };
  struct HeartbeatResult {
    bool superseded = false;  // the worker obeys a higher term than ours
    std::vector<TaskCommand> commands;
    std::uint64_t fencing_token = 0;
  };
  HeartbeatResult on_heartbeat(const Heartbeat& heartbeat, Channel channel, double now);
  /// The commands a report's answer carries: what on_heartbeat gave plus launches for machines we cannot
  /// reach.
  void answered(const std::string& machine, double now);
  /// Its reports come a way on which we cannot send it orders: launches go with the answers for a while.
  void set_unreachable(const std::string& machine, double now);
  bool has_commands(const Machine& m) const;
  /// Machines that commands can be sent to now; only those that something has changed for are looked at.
  std::vector<std::string> machines_with_commands();
  CommandBatch take_commands(const std::string& machine, double now);
  enum class DispatchOutcome { Executed, Refused, Unsent, Unanswered };
  void dispatch_done(const std::string& machine, const CommandBatch& command_batch, DispatchOutcome outcome,
                     double now);

  // --- time and placement ---
  void tick(double now);
  /// The process stood still until now: machines were not silent, we did not listen.
  void process_stalled(double now);
  /// Machines with tasks whose leases have run out, unless a keeper has answered them: to be asked before the
  /// tasks count as gone.
  std::vector<std::string> machines_with_expired_leases(double now) const;
  void renewed_by_proxy(const std::string& machine, double until);
  /// Whether some machine has been silent for longer than its reports explain: a keeper may be answering it.
  bool any_silent() const { return any_silent_; }
  void lease_expired(const std::string& machine, double now);
  /// One scheduling cycle.
  void schedule(double now) { cycle_.run(now); }

  // --- the store ---
  /// From now on records are written in the second form: every controller reads it.
  void use_v2_records() { uses_v2_records_ = true; }
  bool uses_v2_records() const { return uses_v2_records_; }
  /// A record was refused as too large although it kept to the limits that we know of.
  void records_refused();
  /// What launches wait for comes first; the rest is written while there are changes to spare, or once it has
  /// waited for a while.
  std::vector<TaskRecordWrite> next_writes(int most, bool spare, double now);
  void written(const std::vector<TaskRecordWrite>& batch, std::uint64_t revision, double now);
  void write_failed(const std::vector<TaskRecordWrite>& batch);
  void set_record_revision(const TaskRecordWrite& write, std::uint64_t revision);
  /// The keys of a job's records, for their removal.
  std::vector<std::string> record_keys(const Job& job) const;
  /// Records that others have replaced.
  std::vector<std::string> take_replaced() { return std::exchange(replaced_, {}); }
  /// Jobs whose end can be stored now: every task done, or cancelled and off every machine.
  std::vector<std::string> finished_jobs() const;

  // --- machines ---
  void provisioned(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                   double now);
  void listed(const std::vector<ListedMachine>& machines, double now);
  void deleted(const std::vector<std::string>& names, double now);
  void decommission(const std::string& machine, double now);
  std::vector<std::string> decommissioning() const;

  Job* job(const std::string& id) { return state_.job(id); }
  const std::map<std::string, Machine>& machines() const { return state_.machines(); }
  Machine* machine(const std::string& name) { return state_.machine(name); }
  const std::unordered_map<std::string, Job>& jobs() const { return state_.jobs(); }
  const std::vector<MachineType>& catalog() const { return state_.catalog(); }
  const MachineType* type(const std::string& name) const { return state_.type(name); }
  const SchedulerConfig& config() const { return state_.config(); }
  /// s since there was last any unfinished job.
  double idle_for(double now) const { return state_.jobs().empty() ? now - last_job_at_ : 0; }
  /// s between jobs as they have come of late; 0 while too few have.
  double arrival_gap() const { return arrival_gap_; }
  Resources team_use(const std::string& team) const { return state_.team_use(team); }
  bool usable(const Machine& machine, double now) const { return state_.usable(machine, now); }
  std::string reason(const Job& job) const;
  int running(const Job& job) const;
  /// Jobs whose displayed state changed since the last call.
  std::unordered_set<std::string> take_changed() { return state_.take_changed(); }
  bool wants_cycle() const { return state_.wants_cycle(); }
  /// Jobs, buckets of free capacity, machines and tasks looked at by scheduling cycles so far: the work done,
  /// counted not timed.
  std::uint64_t steps() const {
    return cycle_.steps() + claims_.steps() + preemption_.steps() + placement_.steps() + search_.steps() +
           job_index().steps();
  }
  const JobIndex& job_index() const { return state_.job_index(); }
  const CapacityIndex& capacity_index() const { return state_.capacity_index(); }
  /// What the index of room has to say of a machine.
  MachineCapacity machine_capacity(const Machine& machine, double now) const {
    return state_.machine_capacity(machine, now);
  }
  /// One line per event worth an operator's attention; the actor logs them.
  std::vector<std::string> take_notes() { return state_.take_notes(); }
  /// One line per placed gang, when the configuration asks for it.
  std::vector<std::string> take_details() { return placement_.take_details(); }

 private:
  void assign(Job& job, int index, Machine& m, std::uint64_t attempt, double now) override;
  void unassign(Job& job, int index, double now);
  void exited(Job& job, int index, const TaskStatus& heartbeat, Machine& m, double now);
  void task_done(Job& job, int index, double now);
  void gone(const TaskId& key, const char* why, double now);
  void lose_all_tasks(Machine& m, const char* why, double now, std::uint64_t before_epoch = kTokenOfNoWorker);
  void abort_gang(Job& job, double now) override;
  void drain(Machine& m, double now);
  // (cluster_blame.cc)
  void failed(Machine& m, Job& job, double now);
  void went_well(Machine& m, Job& job);
  /// Weighs what failed on it; a machine that counts as faulty is drained and returned.
  void judge_machine(Machine& m, double now);
  double failure_weight(const Machine& m, const std::string& without_job) const;
  /// The job is over: what it says against machines stands, or falls with it.
  void settle_job_failures(Job& job);
  enum class Urgency { Launch, Rest };
  struct Dirty {
    std::string job;
    int from = 0;
    double since = 0;
  };
  void mark_dirty(Job& job, int index, Urgency urgency, double now);
  std::pair<const int, TaskRecord>& record_of(Job& job, int index);
  nlohmann::json first_format(const Job& job, int from, int count) const;
  nlohmann::json uses_v2_records(const Job& job, int from, int count) const;
  void split(Job& job, int from, TaskRecord& shard);
  std::deque<Dirty>& queue_of(const TaskRecord& s) {
    return s.urgent_generation > s.persisted_generation ? urgent_ : rest_;
  }
  void load_task(Job& job, int index, ActiveTask a);
  void load_done(Job& job, int index);
  void load_second(Job& job, int from, int count, const nlohmann::json& value, std::uint64_t revision);
  void flush_loading();
  void await(Job& job);
  void met(Job& job, const std::string& awaited, double at);
  void cancel_dependents(const std::string& id);
  void dependency_met(const std::string& id, const std::string& awaited);
  static std::string waiting_for(const Job& job);
  void inherit(Job& job);
  double step_s(const Job& job) const;
  ClusterState state_;
  MachineReservations reservations_;
  RandomSource random_;
  CandidateSearch search_;
  Placement placement_;
  Preemption preemption_;
  GuaranteeClaims claims_;
  SchedulingCycle cycle_;
  double listened_since_ = kLongAgo;  // silence before it is our own
  /// zone -> its silent machines are attributed to the network until then
  std::map<std::string, double> cut_until_;
  std::set<std::string> returned_;   // late reports and old lists still speak of them
  std::deque<Dirty> urgent_, rest_;  // shards to write, oldest first
  bool uses_v2_records_ = false;
  std::size_t record_room_;  // bytes
  std::vector<std::string> replaced_;
  /// Its end may be there to store, after those of all that came before; whether that is news.
  bool ends(const std::string& job) { return ending_.try_emplace(job, ++endings_).second; }
  std::map<std::string, std::uint64_t> ending_;  // such jobs, by when they came
  std::uint64_t endings_ = 0;
  std::string loading_job_;
  std::map<int, std::pair<nlohmann::json, std::uint64_t>> loading_;
  std::unordered_map<std::string, std::vector<std::string>> dependents_;  // awaited -> unfinished jobs
  std::set<std::string> unknown_;
  std::unordered_map<std::string, std::pair<Outcome, double>> outcomes_;
  std::deque<std::string> outcome_order_;
  double last_job_at_ = 0, last_arrival_ = -1, arrival_gap_ = 0;
  bool any_silent_ = false;
};

}  // namespace corkmux

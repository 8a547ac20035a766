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
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cluster_state.h"
#include "constants.h"
#include "reserved_capacity.h"
#include "scheduler_config.h"
#include "task_record.h"
#include "time_points.h"

namespace corkmux {

struct CommandBatch {
  std::uint64_t fencing_token = 0, worker_epoch = 0;
  std::vector<TaskCommand> commands;
  std::vector<TaskId> launches;
  std::vector<std::uint64_t> attempts;
};

class Scheduler {
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
  void schedule(double now);

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
  /// Jobs, kinds of room, machines and tasks looked at by passes so far: the work done, counted not timed.
  std::uint64_t steps() const { return steps_ + job_index().steps(); }
  const JobIndex& job_index() const { return state_.job_index(); }
  const CapacityIndex& capacity_index() const { return state_.capacity_index(); }
  /// What the index of room has to say of a machine.
  MachineCapacity machine_capacity(const Machine& machine, double now) const {
    return state_.machine_capacity(machine, now);
  }
  /// One line per event worth an operator's attention; the actor logs them.
  std::vector<std::string> take_notes() { return state_.take_notes(); }
  /// One line per placed gang, when the configuration asks for it.
  std::vector<std::string> take_details() { return std::exchange(details_, {}); }

 private:
  void assign(Job& job, int index, Machine& m, std::uint64_t attempt, double now);
  void unassign(Job& job, int index, double now);
  void exited(Job& job, int index, const TaskStatus& heartbeat, Machine& m, double now);
  void task_done(Job& job, int index, double now);
  void gone(const TaskId& key, const char* why, double now);
  void lose_all_tasks(Machine& m, const char* why, double now, std::uint64_t before_epoch = kTokenOfNoWorker);
  void abort_gang(Job& job, double now);
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
  /// For the job that its `fetch_s` is about.
  double utility(const Machine& m, double now) const;
  double weight(const Job& job) const;
  bool place_gang(Job& job, bool include_suspect, double now);
  /// Keeps a zone's free machines for a gang that is due, where the rest it needs is about to be free.
  void hold_zone_for_gang(const Job& job, double now);
  /// How long a job has until it misses its next start aim, and how many it has missed; none for one that has
  /// started.
  struct StartAim {
    int missed = 0;
    bool due = false;    // most of its time is over
    double at = kNever;  // when it will be missed
  };
  /// A large array or service of which nothing has begun though it has waited for long.
  bool overdue(const Job& job, double now) const;
  StartAim start_aim(const Job& job, double now) const;
  int place_tasks(Job& job, int budget, double now);
  bool preempt_for(Job& job, double now);
  /// Machines on which work could be stopped for a job, by zone if it keeps to one: a bounded number.
  std::map<std::string, std::vector<Machine*>> stop_candidates(const Job& job, double now);
  void preempt(const TaskId& victim, const std::string& why);
  /// Stops what other teams run beyond their guarantees for a job within its team's, see reclaim.h.
  bool reclaim(Job& job, double now);
  struct QuotaReclaimCase;
  QuotaReclaimCase reclaim_case(const Job& job, double now);
  void keep_reclaimed(const Job& job, const QuotaReclaimCase& c, const std::vector<int>& chosen, double now);
  /// Until then the machine takes no other job's work.
  void nominate(Machine& m, const Job& job, double until, double now);
  void keep_promises(double now);
  bool saves_when_stopped(const JobSpec& spec) const;
  bool open_to(const Job& job, const Machine& m, double now) const;
  /// How long each waiting job will have waited, and whom the floor holds by that. In the order of the bids.
  void update_reserved_capacity(const std::vector<const Job*>& order, double now);
  bool is_starving(const Job& job) const {
    return reserved_capacity_.holds(job.spec.job_class, job.spec.team);
  }
  /// Whether machines like that are kept for others than this job.
  bool excluded_by_reservation(const Job& job, const std::string& type, int reservation_tier) const;

  /// Machines that a task fits on and that are alike to a placement: a level, less some of its machines, or a
  /// single one.
  struct Slot {
    const CapacityIndex::Pool* pool = nullptr;
    const CapacityIndex::CapacityBucket* level = nullptr;
    Machine* one = nullptr;
    std::vector<std::size_t> without;  // positions in the level, rising
    std::size_t count = 0;             // of machines
    int times = 0;                     // how often the task fits on each
  };
  struct ZoneCapacity {
    double slack = 0, heat = 0, fetch_s = 1e9;
    double machines = 0;
    int places = 0;
  };
  std::vector<Slot> fitting(const Job& job, bool include_suspect, double now,
                            const std::string* zone = nullptr);
  void level_slots(const Job& job, const CapacityIndex::Pool& pool,
                   const CapacityIndex::CapacityBuckets& levels,
                   const std::map<const CapacityIndex::CapacityBucket*, std::vector<std::size_t>>& failed,
                   double most_gpus, std::vector<Slot>& out);
  std::map<std::string, ZoneCapacity> free_capacity_by_zone(const JobSpec& spec,
                                                            const std::vector<Slot>& slots, double now) const;
  std::vector<std::string> draw_zones(const JobSpec& spec, const std::map<std::string, ZoneCapacity>& zones);
  /// Of 0 and up to `all`, at most `most`, drawn without any twice.
  std::vector<std::size_t> sample(std::size_t all, std::size_t most);
  Machine* pick(const JobSpec& spec, const std::vector<Slot>& slots, double now);
  /// Room only shrinks within a pass: what found none leaves none for the like of it.
  bool known_not_to_fit(const Job& job, double now) const;
  void note_not_fitting(const Job& job, double now);
  ClusterState state_;
  double listened_since_ = kLongAgo;  // silence before it is our own
  std::mt19937_64 rng_;
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
  std::vector<std::string> details_;
  double last_job_at_ = 0, last_arrival_ = -1, arrival_gap_ = 0;
  using Shape = std::tuple<double, double, double, bool, bool, bool, bool, int, std::string,
                           std::vector<std::string>, bool>;
  Shape shape(const Job& job) const;
  std::map<Shape, int> not_fitting_;  // of this pass: the fewest tasks at once that found no room
  std::uint64_t steps_ = 0;
  /// CPUs and accelerators that tasks have given back in a zone of late, decaying.
  struct Freed {
    Resources sum;
    double at = kLongAgo;
  };
  void note_freed(const std::string& zone, const Resources& need, double now);
  std::map<std::string, Freed> freed_;
  std::map<std::string, std::string> held_zones_;  // of this pass: zone -> the job it is kept for
  ReservedCapacity reserved_capacity_;
  std::set<std::string> reserved_types_;  // of machines that those it holds can use
  std::vector<std::string> logged_starving_;
  bool accelerators_wanted_ = false;
  bool any_silent_ = false;
  std::optional<Priority> accelerator_users_;
};

}  // namespace corkmux

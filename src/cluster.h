// The leader's book of jobs, tasks and machines, and every decision on them, as functions of state and time.
// It does no input or output: the Leader actor feeds it reports, store results and the clock, and carries out
// what it asks for. Tests drive it against a slow plain model.
#pragma once
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

#include "constants.h"
#include "types.h"

namespace corkmux {

struct ClusterConfig {
  double report_s = 3, lease_s = 30, gang_wait_s = 30, gang_peer_s = 8, cancel_s = 60;
  double value_kb = 16;
  int txn_ops = 12;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::map<std::string, std::vector<double>> start_within;  // s, per class: the aims on starting, rising
  std::map<std::string, double> finish_within;              // s, per class: the tightest aim on finishing
  /// s a holder without contact to the state service goes on answering workers, see rule_keepalive().
  double keepalive() const;
  int tasks_per_shard() const;
  bool details = false;  // keep lines for the debug log, see take_details()
};

enum class TaskPhase : std::uint8_t { Queued, Active, Done };

/// A task that is, or may be, on a machine. It stays until there is proof that its place is empty.
struct ActiveTask {
  enum class Stage { Assigned, Sent, Recovered, Fetching, Waiting, Running, Saving };
  std::uint64_t attempt = 0;
  std::string machine, zone;  // the zone is stored too: a new leader may not know the machine yet
  std::uint64_t session = 0;
  Stage stage = Stage::Assigned;
  std::uint64_t gen = 0;        // shard generation that stores this assignment
  std::uint64_t fence = 0;      // absence counts only in reports that carry at least this token
  std::uint64_t after_seq = 0;  // and only beyond this sequence number, for launches in a report's answer
  double since = 0, lapse_at = 0;
  bool stop = false;
  double grace_s = 0;
};

struct Shard {
  std::uint64_t version = 0, gen = 0, written_gen = 0;
  bool in_flight = false;
};

struct Job {
  JobSpec spec;
  std::uint64_t version = 0;  // of its record in the state service
  std::uint64_t order = 0;    // acceptance order
  bool cancelled = false, finalizing = false, draining = false;
  std::vector<TaskPhase> phase;
  int done = 0, queued = 0, cursor = 0, failures = 0;
  double not_before = 0, accepted_at = 0, room_made_at = -1e9;
  std::map<int, ActiveTask> active;
  std::map<int, Shard> shards;
  std::set<std::string> failed_on;
  std::string why, why_told;
};

struct Machine {
  std::string name, address, type, zone;
  bool spot = false;
  Resources size, free;
  std::uint64_t session = 0, seq = 0, token_seen = 0, token = 0;
  double last_heard = -1e9, last_answered = -1e9, fenced_at = -1e9, last_launch = -1e9;
  double kept_until = -1e9;  // a keeper (see keeper.h) may have answered it until then
  double gone_at = -1;       // time the cloud takes it, -1: unknown
  double rented_at = -1e9;   // when asked for or first seen
  double idle_since = -1e9;
  double suspect_until = -1e9, full_until = -1e9, probe_at = -1e9;
  bool up = false, doomed = false, direct = true, orders_in_flight = false, sick = false;
  std::string last_error_job;
  int errors = 0, heat = 0;
  double fetch_s = 0;  // of the image of the job that fitting() was last asked about
  double slack_slope = 0, heat_slope = 0, seen_slack = 1, seen_heat = 0, seen_at = -1e9;
  std::set<std::pair<std::string, int>> tasks;
  std::deque<std::string> images;  // most recent first
  std::map<std::string, double> image_gb;
  std::string room_for;  // a more urgent job for which work is being stopped here
  double room_until = -1e9;
  std::vector<std::pair<std::string, int>> outbox;  // launches whose assignment is stored
  bool wants_orders = false;                        // a stop should not wait for the next report
};

struct Orders {
  std::uint64_t token = 0, session = 0;
  std::vector<Command> commands;
  std::vector<std::pair<std::string, int>> launches;
  std::vector<std::uint64_t> attempts;
};

struct ShardWrite {
  std::string job;
  int shard = 0;
  std::uint64_t version = 0, gen = 0;
  nlohmann::json value;
};

class Cluster {
 public:
  Cluster(ClusterConfig config, std::uint64_t term, double now, std::uint64_t seed);

  // --- loading and the job list ---
  void set_catalog(const std::vector<MachineType>& types);
  void put_job(const JobSpec& spec, std::uint64_t version, bool cancelled, double now, double age_s = 0);
  /// False when the shard belongs to no job.
  bool load_shard(const std::string& job, int shard, const nlohmann::json& value, std::uint64_t version);
  void forget_job(const std::string& id);

  // --- workers ---
  enum class Channel { Report, Orders };
  struct ReportResult {
    bool superseded = false;  // the worker obeys a higher term than ours
    std::vector<Command> commands;
    std::uint64_t token = 0;
  };
  ReportResult on_report(const Report& report, Channel channel, double now);
  /// The commands a report's answer carries: what on_report gave plus launches for machines we cannot reach.
  void answered(const std::string& machine, double now);
  /// Its reports come a way on which we cannot send it orders: launches go with the answers for a while.
  void beyond_reach(const std::string& machine, double now);
  bool has_orders(const Machine& m) const;
  /// Machines that commands can be sent to now; only those that something has changed for are looked at.
  std::vector<std::string> with_orders();
  Orders take_orders(const std::string& machine, double now);
  enum class OrdersOutcome { Executed, Refused, Unsent, Unanswered };
  void orders_done(const std::string& machine, const Orders& orders, OrdersOutcome outcome, double now);

  // --- time and placement ---
  void tick(double now);
  /// Machines with tasks whose leases have run out, unless a keeper has answered them: to be asked before the
  /// tasks count as gone.
  std::vector<std::string> lapsed(double now) const;
  void kept(const std::string& machine, double until);
  void lease_over(const std::string& machine, double now);
  void plan(double now);

  // --- the store ---
  std::vector<ShardWrite> next_writes(int most);
  void written(const std::vector<ShardWrite>& batch, std::uint64_t revision, double now);
  void write_failed(const std::vector<ShardWrite>& batch);
  void shard_version(const std::string& job, int shard, std::uint64_t version);
  /// Jobs whose end can be stored now: every task done, or cancelled and off every machine.
  std::vector<std::string> finished_jobs() const;

  // --- machines ---
  void rented(const std::string& name, const std::string& type, const std::string& zone, bool spot,
              double now);
  void listed(const std::vector<ListedMachine>& machines, double now);
  void deleted(const std::vector<std::string>& names, double now);
  void doom(const std::string& machine, double now);
  std::vector<std::string> doomed() const;

  Job* job(const std::string& id);
  const std::map<std::string, Machine>& machines() const { return machines_; }
  Machine* machine(const std::string& name);
  const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
  const std::vector<MachineType>& catalog() const { return types_; }
  const MachineType* type(const std::string& name) const;
  const ClusterConfig& config() const { return config_; }
  /// s since there was last any unfinished job.
  double lull(double now) const { return jobs_.empty() ? now - last_job_at_ : 0; }
  /// s between jobs as they have come of late; 0 while too few have.
  double arrival_gap() const { return arrival_gap_; }
  Resources team_use(const std::string& team) const;
  bool usable(const Machine& m, double now) const;
  bool allowed(const JobSpec& spec, const Machine& m) const;
  std::string reason(const Job& job) const;
  int running(const Job& job) const;
  /// Jobs whose displayed state changed since the last call.
  std::unordered_set<std::string> take_changed() { return std::exchange(changed_, {}); }
  bool want_plan() const { return want_plan_; }
  /// Machines and tasks looked at by placement and preemption so far: the work done, counted not timed.
  std::uint64_t steps() const { return steps_; }
  /// One line per event worth an operator's attention; the actor logs them.
  std::vector<std::string> take_notes() { return std::exchange(notes_, {}); }
  /// One line per placed gang, when the configuration asks for it.
  std::vector<std::string> take_details() { return std::exchange(details_, {}); }

 private:
  using TaskKey = std::pair<std::string, int>;
  void assign(Job& job, int index, Machine& m, std::uint64_t attempt, double now);
  void unassign(Job& job, int index, double now);
  void exited(Job& job, int index, const TaskReport& report, Machine& m, double now);
  void task_done(Job& job, int index, double now);
  void gone(const TaskKey& key, const char* why, double now);
  void all_gone(Machine& m, const char* why, double now, std::uint64_t before_session = ~0ull);
  void abort_gang(Job& job, double now);
  void stop_task(Job& job, int index, double grace_s);
  void drain(Machine& m, double now);
  void machine_error(Machine& m, Job& job, double now);
  void dirty(Job& job, int index);
  nlohmann::json shard_value(const Job& job, int shard) const;
  double fetch_time(const JobSpec& spec, const Machine& m) const;
  void note_image(Machine& m, const JobSpec& spec);
  double slack(const Machine& m, const Resources& free) const;
  /// For the job that fitting() was last asked about.
  double utility(const Machine& m, const Resources& free, int extra_heat, double now) const;
  bool within_limit(const std::string& team, const Resources& more) const;
  double weight(const Job& job, bool guaranteed) const;
  std::unordered_set<std::string> guaranteed_jobs() const;
  bool place_gang(Job& job, bool doubtful_too, double now);
  int place_tasks(Job& job, int budget, double now);
  bool make_room(Job& job, const std::unordered_set<std::string>& guaranteed, double now);
  void preempt(const TaskKey& victim, const Job& by);
  std::vector<std::string> draw_zones(const JobSpec& spec, const std::vector<Machine*>& fitting, double now);
  Machine* pick(const JobSpec& spec, std::vector<Machine*>& candidates,
                const std::unordered_map<Machine*, int>& planned, double now);
  std::vector<Machine*> fitting(const Job& job, bool doubtful_too, double now);
  /// Room only shrinks within a pass: what found none leaves none for the like of it.
  bool known_not_to_fit(const Job& job, double now) const;
  void note_not_fitting(const Job& job, double now);
  std::uint64_t next_number() { return (term_ << constants::kTermShift) | ++counter_; }

  ClusterConfig config_;
  std::uint64_t term_, counter_ = 0;
  double started_;
  std::mt19937_64 rng_;
  std::vector<MachineType> types_;
  std::unordered_map<std::string, Job> jobs_;
  std::map<std::string, Machine> machines_;
  std::set<std::string> to_order_;  // may have orders; every change that can give a machine some puts it here
  std::map<std::string, double>
      cut_until_;                   // zone -> its silent machines are blamed on the network until then
  std::set<std::string> returned_;  // late reports and old lists still speak of them
  std::map<std::string, Resources> use_;
  std::map<std::string, Team> teams_;
  std::vector<std::pair<std::string, int>> dirty_;  // shards to write, oldest first
  std::unordered_set<std::string> changed_;
  std::vector<std::string> notes_, details_;
  double last_job_at_ = 0, last_arrival_ = -1, arrival_gap_ = 0;
  using Shape =
      std::tuple<double, double, double, bool, bool, bool, bool, int, std::string, std::vector<std::string>>;
  static Shape shape(const JobSpec& spec);
  std::map<Shape, int> not_fitting_;  // of this pass: the fewest tasks at once that found no room
  std::uint64_t steps_ = 0;
  bool want_plan_ = true, accelerators_wanted_ = false;
  std::optional<Priority> accelerator_users_;
};

}  // namespace corkmux

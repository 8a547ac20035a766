// The scheduler's data on a machine, without logic. Each part names the module that writes it.
#pragma once
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "capacity_index.h"
#include "insertion_ordered_set.h"
#include "model.h"
#include "task.h"
#include "time_constants.h"

namespace corkmux {
namespace constants {

inline constexpr double kNominationTime = 8.0;  // s a machine stays nominated for a job
/// Tasks that a worker can report: a heartbeat may have 64 KiB, of which a task takes 160 bytes at most.
inline constexpr int kMaxTasksOnMachine = 384;
/// Machines with more task slots than that count as equal, so that the first few tasks on a machine do not
/// set it apart from others with the same free capacity.
inline constexpr int kTaskSlotsCounted = 256;

}  // namespace constants

/// Whether a heartbeat of the machine's worker has been received.
enum class MachineState {
  Expected,  // provisioned, listed by the cloud or named by a task record; no heartbeat received yet
  Up,        // a heartbeat was received
};

/// Whether a machine is kept or is being returned to the cloud.
enum class MachineService {
  InService,
  Decommissioning,  // gets no new tasks and will be returned to the cloud
};

/// Whether failures mark a machine as faulty, see FailureTracker.
enum class MachineHealth { Healthy, Faulty };

/// How commands reach a worker.
enum class CommandChannel {
  Direct,            // in requests to the worker
  HeartbeatReplies,  // in replies to its heartbeats, because it was unreachable; until the next probe
};

/// The state of a machine's worker. Written by HeartbeatReconciler, except where a field names another
/// module.
struct WorkerConnection {
  std::uint64_t epoch = 0;
  std::uint64_t seq = 0;             // of the last heartbeat
  std::uint64_t observed_token = 0;  // the highest token that the worker has reported
  std::uint64_t fencing_token = 0;   // carried by the next commands; ClusterState raises it too
  std::uint64_t required_token = 0;  // to be reported before a task is placed there; written by ClusterState
  std::uint64_t last_launch_token = 0;  // of the last batch with launches; written by CommandQueue
  int other_tasks = 0;                  // in the last heartbeat, not assigned: ended, or to be stopped
  double last_heartbeat_at = kLongAgo;
  double last_reply_at = kLongAgo;   // last reply of the leader; written by Scheduler::heartbeat_answered
  double last_launch_at = kLongAgo;  // written by CommandQueue
  double term_token_observed_at = kLongAgo;  // when the worker first reported a token of this term
  double renewed_by_proxy_until = kLongAgo;  // a lease proxy may have renewed the worker's lease
                                             // until then; written by MachineLifecycle
};

/// Commands for a worker. Written by CommandQueue; TaskLifecycle fills the outbox, ClusterState marks stops.
struct WorkerCommands {
  CommandChannel channel = CommandChannel::Direct;
  double next_probe_at = kLongAgo;  // when sending to the worker is retried
  bool dispatch_in_flight = false;
  bool needs_dispatch = false;         // a stop has to be sent before the next heartbeat
  InsertionOrderedSet<TaskId> outbox;  // launches whose assignment is stored
};

/// A more urgent job for which tasks on the machine are preempted. Written by Preemption.
struct Nomination {
  std::string job;
  double until = kLongAgo;  // until then no other job is placed on the machine
};

/// A machine's load and its rate of change, as of the last heartbeat. Written by HeartbeatReconciler;
/// TaskLifecycle adds a starting task as soon as it is assigned.
struct MachineLoad {
  int heat = 0;            // tasks that are assigned but not running yet
  double slack_slope = 0;  // per s, smoothed
  double heat_slope = 0;   // per s, smoothed
  double observed_slack = 1;
  double observed_heat = 0;
  double observed_at = kLongAgo;
};

/// The failures of tasks on a machine. Written by FailureTracker.
struct FailuresOnMachine {
  /// Failures of one job since the machine last completed a task.
  struct JobFailures {
    int failed_tasks = 0;
    bool completed_any = false;  // the job has ended since and had completed a task
  };
  std::map<std::string, JobFailures> by_job;
  double since = kLongAgo;
  double cordoned_until = kLongAgo;  // until then the machine is avoided
};

struct Machine {
  // Identity and size, as the cloud and the worker report them. Written by MachineLifecycle and
  // HeartbeatReconciler.
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources size;
  double provisioned_at = kLongAgo;  // when it was requested or first seen
  std::optional<double> reclaim_at;  // when the cloud reclaims it
  // These three states are independent of each other.
  MachineState state = MachineState::Expected;
  MachineService service = MachineService::InService;
  MachineHealth health = MachineHealth::Healthy;

  WorkerConnection worker;
  WorkerCommands commands;

  // Tasks and images on the machine. Written by ClusterState as tasks are assigned and removed.
  Resources free;
  std::set<TaskId> tasks;
  std::array<int, 4> stoppable{};  // tasks of arrays and services not yet stopped, by priority
  int stopping = 0;                // tasks for which a stop was requested
  double idle_since = kLongAgo;
  std::deque<std::string> images;  // most recently used first
  std::map<std::string, double> image_gb;

  // Inputs to the placement of tasks.
  double no_capacity_until = kLongAgo;  // the worker lacked free capacity; written by TaskLifecycle
  Nomination nomination;
  MachineLoad load;
  FailuresOnMachine failures;
  CapacityIndex::IndexEntry index_entry;  // written by CapacityIndex

  bool is_up() const { return state == MachineState::Up; }
  bool is_decommissioning() const { return service == MachineService::Decommissioning; }
  bool is_faulty() const { return health == MachineHealth::Faulty; }
  /// Whether commands are sent to the worker instead of with heartbeat replies.
  bool takes_commands_directly() const { return commands.channel == CommandChannel::Direct; }
  /// The free share of the machine's scarcest resource if `unused` were free, 0 to 1.
  double slack(const Resources& unused) const;
  double slack() const { return slack(free); }
  bool holds_image(const std::string& image) const;
  /// How many more tasks the worker can report, see kMaxTasksOnMachine.
  int task_slots() const;
};

/// How many tasks of this need a machine takes, by its free capacity and its task slots.
int tasks_fitting(const Resources& need, const Resources& free, int task_slots);
/// Whether a job may use machines of that type and zone, spot machines or not.
bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot);
bool allowed(const JobSpec& spec, const Machine& machine);

}  // namespace corkmux

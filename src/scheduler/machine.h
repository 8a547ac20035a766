// A machine as the scheduler holds it, as plain data: each part names the module that writes it.
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
#include "model.h"
#include "task.h"
#include "time_constants.h"

namespace corkmux {
namespace constants {

inline constexpr double kNominationTime = 8.0;  // s a machine stays nominated for a job

}  // namespace constants

/// Whether a machine's worker has been heard.
enum class MachineState {
  Expected,  // asked for, listed by the cloud or named by a task's record; no heartbeat of it yet
  Up,        // it has sent a heartbeat
};

/// Whether a machine is to stay.
enum class MachineService {
  InService,
  Decommissioning,  // takes no new work and is to be returned to the cloud
};

/// What failures say of a machine, see FailureTracker.
enum class MachineHealth { Sound, Faulty };

/// How commands reach a worker.
enum class CommandChannel {
  Direct,            // they are sent to it
  HeartbeatAnswers,  // it was not reached: they go with the answers to its heartbeats until the next probe
};

/// What is known of a machine's worker. Written by HeartbeatReconciler, but where said otherwise.
struct WorkerConnection {
  std::uint64_t epoch = 0;
  std::uint64_t seq = 0;                // of the last heartbeat
  std::uint64_t observed_token = 0;     // the highest that the worker has reported
  std::uint64_t fencing_token = 0;      // that its next commands carry; ClusterState raises it too
  std::uint64_t required_token = 0;     // to be observed before anything is placed there; ClusterState's
  std::uint64_t last_launch_token = 0;  // of the last commands with launches; CommandQueue's
  double last_heard = kLongAgo;
  double last_answered = kLongAgo;            // by the leader; Scheduler::heartbeat_answered
  double last_launch = kLongAgo;              // CommandQueue's
  double fencing_token_raised_at = kLongAgo;  // when the worker first showed a token of this term
  double renewed_by_proxy_until = kLongAgo;   // a lease proxy may have renewed its lease until then;
                                              // MachineLifecycle's
};

/// Commands for a worker. Written by CommandQueue; TaskLifecycle fills the outbox, ClusterState marks stops.
struct WorkerCommands {
  CommandChannel channel = CommandChannel::Direct;
  double next_probe_at = kLongAgo;  // when sending is tried again
  bool dispatch_in_flight = false;
  bool needs_dispatch = false;  // a stop should not wait for the next heartbeat
  std::vector<TaskId> outbox;   // launches whose assignment is stored
};

/// A more urgent job that work is being stopped for on a machine. Written by Preemption.
struct Nomination {
  std::string job;
  double until = kLongAgo;  // no other job is placed there until then
};

/// How busy a machine is and how that changes, as of its last heartbeat. Written by HeartbeatReconciler;
/// TaskLifecycle counts an assigned task at once.
struct MachineLoad {
  int heat = 0;            // tasks that start
  double slack_slope = 0;  // per s, smoothed
  double heat_slope = 0;   // per s, smoothed
  double observed_slack = 1;
  double observed_heat = 0;
  double observed_at = kLongAgo;
};

/// What failed on a machine. Written by FailureTracker.
struct FailuresOnMachine {
  /// Of one job since the machine last completed anything.
  struct OfJob {
    int times = 0;
    bool well = false;  // the job has ended since, as one that does well
  };
  std::map<std::string, OfJob> by_job;
  double since = kLongAgo;
  double cordoned_until = kLongAgo;  // it is avoided until then
};

struct Machine {
  // What it is. The cloud's and the worker's word, taken in by MachineLifecycle and HeartbeatReconciler.
  std::string name;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  Resources size;
  double provisioned_at = kLongAgo;  // when asked for or first seen
  std::optional<double> gone_at;     // when the cloud takes it back
  // Three independent facts.
  MachineState state = MachineState::Expected;
  MachineService service = MachineService::InService;
  MachineHealth health = MachineHealth::Sound;

  WorkerConnection worker;
  WorkerCommands commands;

  // What runs there. Changed by ClusterState as tasks come and go.
  Resources free;
  std::set<TaskId> tasks;
  std::array<int, 4> stoppable{};  // tasks of arrays and services not yet stopped, by priority
  int stopping = 0;                // tasks that are
  double idle_since = kLongAgo;
  std::deque<std::string> images;  // most recent first
  std::map<std::string, double> image_gb;

  // Where new work goes.
  double no_capacity_until = kLongAgo;  // the worker had no room; TaskLifecycle's
  Nomination nomination;
  MachineLoad load;
  FailuresOnMachine failures;
  CapacityIndex::IndexEntry index_entry;  // CapacityIndex's

  bool is_up() const { return state == MachineState::Up; }
  bool is_decommissioning() const { return service == MachineService::Decommissioning; }
  bool is_faulty() const { return health == MachineHealth::Faulty; }
  /// Whether commands are sent to its worker.
  bool takes_commands_directly() const { return commands.channel == CommandChannel::Direct; }
  /// The share of it that would be free with so much unused, 0 to 1.
  double slack(const Resources& unused) const;
  double slack() const { return slack(free); }
  bool holds_image(const std::string& image) const;
};

/// Whether a job may use machines of that type, zone and kind.
bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot);
bool allowed(const JobSpec& spec, const Machine& machine);

}  // namespace corkmux

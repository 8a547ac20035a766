// Stand-in for one machine's worker as the protocol defines it: heartbeats to one controller at a time,
// commands from controllers, fencing tokens, worker epochs, the worker's lease and reclaim notices of spot
// machines. Its tasks are executed by TaskExecutor. Runs on any Loop.
#pragma once
#include <map>
#include <memory>
#include <random>
#include <string>

#include "codec.h"
#include "http.h"
#include "job_registry.h"
#include "machine_facts.h"
#include "task_executor.h"
#include "time_constants.h"

namespace corkmux::simulation {

/// Durations of the protocol, in seconds.
struct WorkerTimes {
  double heartbeat_s = 2;  // between heartbeats, on average
  double lease_s = 20;
  double gang_wait_s = 30;  // for which a gang's member waits for the others
  double gang_peer_s = 8;   // for which a gang's member outlives the loss of another
};

/// The worker of one machine.
class Worker {
 public:
  /// `controllers`: addresses by label. `listen`: the address at which the worker takes commands.
  Worker(Loop& loop, MachineFacts facts, WorkerTimes times, std::map<std::string, std::string> controllers,
         JobRegistry& registry, const std::string& listen);
  /// The host:port at which the worker takes commands.
  std::string address() const { return ip_ + ":" + std::to_string(server_.port()); }
  const MachineFacts& facts() const { return facts_; }
  /// Number of tasks in its heartbeats, including ended tasks that are not cleared yet.
  int tasks() const { return static_cast<int>(executor_.tasks().size()); }
  int running() const;
  /// The machine's resources that no unended task uses.
  Resources free() const { return executor_.free(); }
  std::uint64_t worker_epoch() const { return worker_epoch_; }

  /// While faulty, every task that starts fails.
  void set_faulty(bool faulty) { executor_.set_faulty(faulty); }
  /// Notifies the worker that the cloud reclaims the machine in `in_s` seconds.
  void announce_reclaim(double in_s);
  /// Notes that the machine stalls from now on; until it resumes, other members of its gangs may detect it.
  void hang() { executor_.hang(); }
  bool hangs() const { return executor_.hangs(); }
  /// When the lease ends unless a heartbeat is answered, in seconds of the worker's steady clock.
  double lease_expires_at() const { return leased_from_ + times_.lease_s; }
  /// Ends all tasks if the lease has expired. Also called for a machine that hangs, since the protocol
  /// lets such a machine resume within its lease.
  void expire_lease();
  /// Ends the machine and all its tasks.
  void terminate(const std::string& why);

 private:
  // Heartbeats
  void send_heartbeat();
  void heartbeat_answered(const http::Result& result, double sent_at, std::uint64_t epoch);
  /// Switches to the controller that a redirect names.
  void follow_redirect(const std::string& controller);
  void try_next_controller();
  /// Moves the next heartbeat forward to the earliest allowed time, to report a change.
  void hasten_heartbeat();
  codec::Json heartbeat();
  double random_between(double from, double to);

  // Commands
  void serve(http::Server::ConnectionId id, const http::Request& request);
  int command_status(const codec::Json& batch) const;
  void execute(const codec::Json& batch);
  void execute_one(const codec::Json& command);

  /// Handles the expired lease, due tasks and a due heartbeat, then sets the timer again.
  void advance();
  /// Sets the timer to the next due time.
  void schedule();

  Loop& loop_;
  MachineFacts facts_;
  WorkerTimes times_;
  std::map<std::string, std::string> controllers_;
  std::string ip_;
  std::mt19937_64 rng_;
  std::map<std::string, std::unique_ptr<http::Client>> clients_;
  http::Server server_;
  Timer timer_;
  TaskExecutor executor_;
  std::string controller_;  // label of the controller that receives the heartbeats
  std::uint64_t worker_epoch_ = 1;
  std::uint64_t heartbeats_ = 0;
  std::uint64_t fencing_token_ = 0;
  // Times in seconds of the steady clock.
  double leased_from_;
  double next_heartbeat_ = 0;
  double last_heartbeat_ = kLongAgo;
  double fencing_token_reported_at_ = kLongAgo;
  std::optional<double> reclaimed_at_;
  bool awaits_answer_ = false;
  bool terminated_ = false;
};

}  // namespace corkmux::simulation

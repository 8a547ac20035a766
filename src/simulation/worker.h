// One machine's worker as PROTOCOL has it: heartbeats to one controller at a time, commands that it takes,
// fencing tokens, epochs, its lease and notices of spot machines. What its tasks do is TaskExecutor's. Runs
// on any Loop.
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

struct WorkerTimes {
  double heartbeat_s = 2;  // between heartbeats, on average
  double lease_s = 20;
  double gang_wait_s = 30;  // that a gang's member waits for the others
  double gang_peer_s = 8;   // that a gang's member survives another
};

class Worker {
 public:
  /// `controllers`: label and address of each. `listen`: where it takes commands.
  Worker(Loop& loop, MachineFacts facts, WorkerTimes times, std::map<std::string, std::string> controllers,
         JobRegistry& registry, const std::string& listen);
  /// Where it takes commands, host:port.
  std::string address() const { return ip_ + ":" + std::to_string(server_.port()); }
  const MachineFacts& facts() const { return facts_; }
  /// Tasks that it still reports, ended ones too.
  int tasks() const { return static_cast<int>(executor_.tasks().size()); }
  int running() const;
  /// What tasks that have not exited leave free.
  Resources free() const { return executor_.free(); }
  std::uint64_t worker_epoch() const { return worker_epoch_; }

  /// Fails every task that it starts.
  void set_faulty(bool faulty) { executor_.set_faulty(faulty); }
  /// The cloud takes the machine away then.
  void announce_reclaim(double in_s);
  /// Its machine stalls from now on; until it resumes, gang members may notice.
  void hang() { executor_.hang(); }
  bool hangs() const { return executor_.hangs(); }
  /// s of its clock: when its lease ends unless a heartbeat is answered.
  double lease_expires_at() const { return leased_from_ + times_.lease_s; }
  /// Ends its tasks if its lease is over; also of a machine that hangs (PROTOCOL: it may resume within its
  /// lease).
  void expire_lease();
  /// The machine ends with all that is on it.
  void terminate(const std::string& why);

 private:
  // Heartbeats
  void send_heartbeat();
  void heartbeat_answered(const http::Result& result, double sent_at, std::uint64_t epoch);
  /// A controller has named the one to go to.
  void follow_redirect(const std::string& controller);
  void try_next_controller();
  /// There is something to report: the next heartbeat comes as soon as it may.
  void hasten_heartbeat();
  codec::Json heartbeat();
  double random_between(double from, double to);

  // Commands
  void serve(http::Server::ConnectionId id, const http::Request& request);
  int command_status(const codec::Json& batch) const;
  void execute(const codec::Json& batch);
  void execute_one(const codec::Json& command);

  /// Does what is due.
  void advance();
  /// Sets the timer to when something is due next.
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
  std::string controller_;  // to which heartbeats go
  std::uint64_t worker_epoch_ = 1;
  std::uint64_t heartbeats_ = 0;
  std::uint64_t fencing_token_ = 0;
  // s of the steady clock
  double leased_from_;
  double next_heartbeat_ = 0;
  double last_heartbeat_ = kLongAgo;
  double fencing_token_reported_at_ = kLongAgo;
  std::optional<double> reclaimed_at_;
  bool awaits_answer_ = false;
  bool terminated_ = false;
};

}  // namespace corkmux::simulation

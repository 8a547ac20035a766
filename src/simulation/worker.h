// One machine and its worker as PROTOCOL has them: heartbeats to one controller at a time, fencing tokens,
// epochs, leases, the image cache, tasks that save, gangs, sickness and spot notices. Runs on any Loop.
#pragma once
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "codec.h"
#include "http.h"
#include "job_registry.h"
#include "machine_facts.h"

namespace corkmux::simulation {

struct WorkerTimes {
  double heartbeat_s = 2, lease_s = 20, gang_wait_s = 30, gang_peer_s = 8;
};

class Worker {
 public:
  /// `controllers`: label and address of each. `listen`: where it takes commands.
  Worker(Loop& loop, MachineFacts facts, WorkerTimes times, std::map<std::string, std::string> controllers,
         JobRegistry& registry, const std::string& listen);
  ~Worker();
  /// Where it takes commands, host:port.
  std::string address() const { return ip_ + ":" + std::to_string(server_.port()); }
  int tasks() const { return static_cast<int>(tasks_.size()); }
  int running() const;
  const MachineFacts& facts() const { return facts_; }
  /// What tasks that have not exited leave free.
  Resources free() const;
  /// Fails every task that it starts.
  void set_faulty(bool faulty) { faulty_ = faulty; }
  /// The cloud takes it away then.
  void announce_reclaim(double in_s);
  /// Its machine stalls from now on; until it resumes, gang members may notice.
  void hang();
  /// s of its clock: when its lease ends unless a heartbeat is answered.
  double lease_expires_at() const { return leased_from_ + times_.lease_s; }
  /// Ends its tasks if its lease is over; also of a machine that hangs (PROTOCOL: it may resume within its
  /// lease).
  void expire_lease();
  bool hangs() const { return hung_; }
  /// The machine ends with all that is on it.
  void terminate(const std::string& why);
  std::uint64_t worker_epoch() const { return worker_epoch_; }

  // For the job registry: what becomes of a gang's task. Take effect when the machine is awake.
  void gang_runs(const std::string& job, int index, std::uint64_t attempt);
  void gang_saves(const std::string& job, int index, std::uint64_t attempt);
  void gang_exits(const std::string& job, int index, std::uint64_t attempt, const char* cause, bool kept);
  double speed() const { return speed_; }

 private:
  enum class Phase { Fetching, Waiting, Running, Saving, Ended };
  struct Task {
    SimulatedJob* work = nullptr;
    int index = 0;
    std::uint64_t attempt = 0;
    Phase phase = Phase::Fetching;
    const char* cause = "";
    bool kept = false, on = false, fails = false;
    double began = 0, base = 0, until = 0;
  };
  struct Image {
    bool there = false;
    double size = 0, used = 0, until = 0;
  };
  using Key = std::pair<std::string, std::uint64_t>;  // part, attempt
  codec::Json report();
  void obey(const codec::Json& body);
  void launch(const std::string& part, std::uint64_t attempt);
  void stop(Task& t, double grace_s);
  void exit(Task& t, const char* cause, bool kept = false);
  void leave(Task& t, const char* why);
  void image_there(const std::string& image);
  void place(Task& t);
  void later(const std::string& job, int index, std::uint64_t attempt, std::function<void(Task&)> then);
  void serve(http::Server::ConnectionId id, http::Request r);
  void changed();
  void send();
  void next(const std::string& herald, bool at_once);
  void step();
  void arm();
  Loop& loop_;
  MachineFacts facts_;
  WorkerTimes times_;
  std::map<std::string, std::string> controllers_;
  JobRegistry& registry_;
  std::string ip_;
  std::mt19937_64 rng_;
  double speed_ = 1, pull_ = 1;
  std::string target_;
  std::map<std::string, std::unique_ptr<http::Client>> clients_;
  http::Server server_;
  Timer wake_;
  std::map<Key, Task> tasks_;
  std::map<std::string, Image> images_;
  std::uint64_t worker_epoch_ = 1, tick_ = 0, fencing_token_ = 0;
  double leased_from_, next_heartbeat_ = 0, last_sent_ = -1e9, fencing_token_sent_at_ = -1e9, notice_at_ = 0;
  bool waiting_ = false, faulty_ = false, hung_ = false, dead_ = false;
};

}  // namespace corkmux::simulation

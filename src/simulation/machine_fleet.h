// The machines that are up, each with its worker on a simulated host: boots and ends them, and does to single
// machines what faults demand. Owns hosts' loops and workers; the Cloud decides which machines there are.
#pragma once
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "event_simulator.h"
#include "job_registry.h"
#include "worker.h"

namespace corkmux::simulation {

inline constexpr double kLeaseExpirySlack = 0.05;  // s by which a hanging machine's tasks end after its lease
inline constexpr int kAllMachines = std::numeric_limits<int>::max();  // no limit for MachineFleet::draw

class MachineFleet {
 public:
  /// `controllers`: addresses by label, for the workers. `registry` has to outlive the fleet.
  MachineFleet(EventSimulator& simulator, WorkerTimes times, std::map<std::string, std::string> controllers,
               JobRegistry& registry);

  struct Machine {
    Host* host = nullptr;
    std::unique_ptr<Loop> loop;
    std::unique_ptr<Worker> worker;
    double booted_at = 0;      // s of simulated time
    bool faulty = false;       // fails every task
    bool partitioned = false;  // from all others

    /// Runs, and has no fault of its own.
    bool usable() const { return !host->stalled() && !faulty && !partitioned; }
    /// Cannot be told anything now.
    bool unreachable() const { return partitioned || host->stalled(); }
  };

  /// Where the worker of that machine takes commands, host:port.
  static std::string command_address(const std::string& name);
  void boot(const MachineFacts& facts);
  /// The machine ends with all that is on it. Does nothing if it is not up.
  void terminate(const std::string& name, const std::string& reason);

  const std::map<std::string, Machine>& machines() const { return machines_; }
  std::size_t size() const { return machines_.size(); }
  /// Null: not up.
  const Machine* find(const std::string& name) const;
  /// Up to so many at random. `zone`: empty: all zones.
  std::vector<std::string> draw(int count, const std::string& zone, bool spot_only);

  // Faults of machines that are up, for so many seconds.

  /// It stalls; what its lease covers ends on time all the same.
  void hang(const std::string& name, double for_s);
  void make_faulty(const std::string& name, double for_s);
  void partition(const std::string& name, PartitionMode mode, double for_s);
  /// The worker is told that the cloud takes the machine in so many seconds.
  void announce_reclaim(const std::string& name, double notice_s);

 private:
  static std::string ip_of_machine(const std::string& name);
  void expire_lease_of_hanging(const std::string& name, const Host* host);

  EventSimulator& simulator_;
  WorkerTimes times_;
  std::map<std::string, std::string> controllers_;
  JobRegistry& registry_;
  std::map<std::string, Machine> machines_;
};

}  // namespace corkmux::simulation

// The machines that are up, each with its worker on a simulated host: boots and terminates them and applies
// faults to single machines. Owns the workers and the loops of their hosts; the Cloud decides which machines
// exist.
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

inline constexpr double kLeaseExpirySlack = 0.05;  // s; a hanging machine's tasks end so long after its lease
inline constexpr int kAllMachines = std::numeric_limits<int>::max();  // no limit for MachineFleet::draw

/// All machines that are up, by name.
class MachineFleet {
 public:
  /// `controllers`: addresses by label, passed to the workers. `registry` has to outlive the fleet.
  MachineFleet(EventSimulator& simulator, WorkerTimes times, std::map<std::string, std::string> controllers,
               JobRegistry& registry);

  struct Machine {
    Host* host = nullptr;
    std::unique_ptr<Loop> loop;
    std::unique_ptr<Worker> worker;
    double booted_at = 0;      // s of simulated time
    bool faulty = false;       // fails every task
    bool partitioned = false;  // from all other hosts

    /// Whether the machine is not stalled, not faulty and not partitioned.
    bool usable() const { return !host->stalled() && !faulty && !partitioned; }
    /// Whether the machine can receive no message now.
    bool unreachable() const { return partitioned || host->stalled(); }
  };

  /// The host:port at which that machine's worker takes commands.
  static std::string command_address(const std::string& name);
  void boot(const MachineFacts& facts);
  /// Ends the machine and all its tasks. No effect if the machine is not up.
  void terminate(const std::string& name, const std::string& reason);

  const std::map<std::string, Machine>& machines() const { return machines_; }
  std::size_t size() const { return machines_.size(); }
  /// Null if the machine is not up.
  const Machine* find(const std::string& name) const;
  /// Names of up to `count` machines, drawn at random. An empty `zone` means all zones.
  std::vector<std::string> draw(int count, const std::string& zone, bool spot_only);

  // Faults of machines that are up; `for_s` is their duration in seconds.

  /// Stalls the machine; its tasks still end when its lease expires.
  void hang(const std::string& name, double for_s);
  void make_faulty(const std::string& name, double for_s);
  void partition(const std::string& name, PartitionMode mode, double for_s);
  /// Notifies the worker that the cloud reclaims the machine in `notice_s` seconds.
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

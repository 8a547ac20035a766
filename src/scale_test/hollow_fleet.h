// The machines of a run: the stand-in cloud that lists them, the processes that host their hollow workers
// (one process per zone), and the instructions to these processes to boot and terminate machines.
#pragma once
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cloud.h"
#include "machine_events.h"
#include "measured_process.h"
#include "run_folder.h"
#include "scale_test_plan.h"

namespace corkmux::scale_test {

inline constexpr std::size_t kMaxBootsPerResponse = 200;  // machines in one response to a host
inline constexpr double kRackRestartDelay = 20;  // s until the machines of a restarted rack boot again

class HollowFleet {
 public:
  using Machines = std::map<std::string, simulation::MachineFacts>;  // by name
  /// A loss of several machines at once.
  struct MachineLoss {
    int machines = 0;
    std::string why;  // reason that the workers report
    bool reboots = false;
  };

  /// Makes the cloud and its machines, without starting the hosts. The references must outlive the fleet.
  HollowFleet(Loop& loop, const ScaleTestPlan& plan, const RunFolder& folder);

  /// Starts all hosts. `command`: command line of a worker host without the arguments that differ between
  /// hosts. `controllers`: user-facing address of each controller, by label. Throws ProcessError on failure.
  void start_hosts(const std::vector<std::string>& command,
                   const std::map<std::string, std::string>& controllers);
  /// Kills all hosts.
  void end();

  /// Records a host's status. Returns the instructions for the host; nullopt: the host number is unknown.
  std::optional<HostInstructions> host_status(const HostStatus& status);
  /// Terminates machines of one zone, as the failure of a rack or switch does; if the zone has too few, also
  /// machines of the next zones. Machines that boot again get new names, as newly provisioned machines do.
  void lose_machines(std::size_t zone, const MachineLoss& loss);

  std::string cloud_address() const { return cloud_.address(); }
  /// All machines that the run has had, including the lost ones.
  const Machines& machines() const { return machines_; }
  /// Number of machines whose address was reported by their host or requested from the cloud, without the
  /// lost machines.
  std::size_t known_addresses() const { return addresses_.size(); }
  /// Sums over the latest statuses of the hosts.
  int workers() const;
  int tasks() const;
  /// The processes that host the shared zones, and the processes that host one worker each.
  std::vector<MeasuredProcess*> zone_hosts() const;
  std::vector<MeasuredProcess*> single_hosts() const;

 private:
  struct Host {
    explicit Host(std::string log) : process(std::move(log)) {}
    MeasuredProcess process;
    std::vector<simulation::MachineFacts> to_boot;
    HostInstructions next_instructions;  // without the machines to boot
    int workers = 0;
    int tasks = 0;
  };

  std::vector<simulation::Capacity> initial_capacity() const;
  void add_machine(std::size_t zone, const std::string& type);
  /// The cloud has deleted the machine: its host terminates the worker before the deletion is answered.
  void machine_deleted(const std::string& name);
  std::vector<std::string> machines_of_zone(std::size_t zone) const;
  void boot_again(const std::vector<std::string>& lost);
  std::size_t shared_zones() const { return static_cast<std::size_t>(plan_.zones); }

  Loop& loop_;
  const ScaleTestPlan& plan_;
  std::vector<std::string> zones_;
  std::map<std::string, std::string> addresses_;  // by machine; the cloud reads them
  simulation::Cloud cloud_;
  std::vector<std::unique_ptr<Host>> hosts_;  // by zone
  Machines machines_;
};

}  // namespace corkmux::scale_test

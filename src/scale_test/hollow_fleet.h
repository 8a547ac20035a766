// The machines of a run: the stand-in cloud that lists them, the processes that host their hollow workers,
// one a zone, and what these processes are told to boot and to lose.
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

inline constexpr std::size_t kBootsAtOnce = 200;  // machines of one answer to a host
inline constexpr double kRackBack = 20;           // s until a restarted rack's machines are back

class HollowFleet {
 public:
  using Machines = std::map<std::string, simulation::MachineFacts>;  // by name
  /// How a machine ends, as its worker and the cloud tell it.
  struct Loss {
    int machines = 0;
    std::string why;
    bool come_back = false;
  };

  /// Makes the cloud and its machines; their hosts are not started yet. The references have to outlive it.
  HollowFleet(Loop& loop, const ScaleTestPlan& plan, const RunFolder& folder);

  /// `command`: of a worker host, but for what is the host's own. `controllers`: label and users' address of
  /// each. Throws ProcessError.
  void start_hosts(const std::vector<std::string>& command,
                   const std::map<std::string, std::string>& controllers);
  /// Ends all hosts.
  void end();

  /// Takes in what a host tells of its workers. Returns what the host is to do; nullopt: there is no such
  /// host.
  std::optional<HostInstructions> host_status(const HostStatus& status);
  /// Loses machines of one zone, which is what a rack or a switch takes down; of the next zones as well if it
  /// has not as many. Those that come back have new names, as provisioned ones have.
  void lose_machines(std::size_t zone, const Loss& loss);

  std::string cloud_address() const { return cloud_.address(); }
  /// All machines so far, lost ones included.
  const Machines& machines() const { return machines_; }
  /// Machines that have told their address or whose address the cloud was asked for, without those that were
  /// lost.
  std::size_t known_addresses() const { return addresses_.size(); }
  /// As the hosts told last.
  int workers() const;
  int tasks() const;
  /// The hosts of the shared zones, and those of one worker each.
  std::vector<MeasuredProcess*> zone_hosts() const;
  std::vector<MeasuredProcess*> single_hosts() const;

 private:
  struct Host {
    explicit Host(std::string log) : process(std::move(log)) {}
    MeasuredProcess process;
    std::vector<simulation::MachineFacts> to_boot;
    HostInstructions next_instructions;  // but for what it is to boot
    int workers = 0;
    int tasks = 0;
  };

  std::vector<simulation::Capacity> initial_capacity() const;
  void add_machine(std::size_t zone, const std::string& type);
  std::vector<std::string> machines_of_zone(std::size_t zone) const;
  void boot_again(const std::vector<std::string>& lost);
  std::size_t shared_zones() const { return static_cast<std::size_t>(plan_.zones); }

  Loop& loop_;
  const ScaleTestPlan& plan_;
  std::vector<std::string> zones_;
  std::map<std::string, std::string> addresses_;  // by machine; read by the cloud
  simulation::Cloud cloud_;
  std::vector<std::unique_ptr<Host>> hosts_;  // by zone
  Machines machines_;
};

}  // namespace corkmux::scale_test

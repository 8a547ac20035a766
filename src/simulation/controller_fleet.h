// The controller processes: starts each real Controller on a simulated host of its own, ends it on request of
// the fault injector and restarts it, as the platform's supervisor would. Owns the processes; does not depend
// on the faults.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller.h"
#include "event_simulator.h"
#include "simulation_plan.h"
#include "state_service.h"

namespace corkmux::simulation {

inline constexpr int kUserPort = 8080;  // controllers' port for users and workers
inline constexpr int kPeerPort = 8081;  // controllers' port for other controllers

/// One controller process. Either it runs, or it has ended and its restart on a new host at the same address
/// is scheduled.
class ControllerProcess {
 public:
  /// `state_listener`: the listener of the state store that only this controller uses.
  ControllerProcess(EventSimulator& simulator, Settings settings, std::size_t state_listener);
  ~ControllerProcess();
  ControllerProcess(const ControllerProcess&) = delete;
  ControllerProcess& operator=(const ControllerProcess&) = delete;

  void start();
  /// The process exits and restarts after about `back_s` (+/- 10 %). No effect if it is not running.
  void crash(double back_s) { end(HostEnd::ProcessExited, back_s); }
  /// The process's machine is powered off for about `for_s` (+/- 10 %). No effect if it is not running.
  void power_off(double for_s) { end(HostEnd::PoweredOff, for_s); }

  const std::string& label() const { return settings_.label; }
  std::size_t state_listener() const { return state_listener_; }
  bool running() const { return controller_ != nullptr; }
  /// Whether the process runs and its host is not stalled.
  bool responsive() const { return running() && !host_->stalled(); }
  /// Precondition: running().
  bool leading() const { return controller_->leading(); }
  /// The host of the latest start. Precondition: start() was called.
  Host& host() const { return *host_; }

 private:
  void end(HostEnd how, double back_s);
  void destroy_controller();

  EventSimulator& simulator_;
  Settings settings_;
  std::size_t state_listener_;
  Host* host_ = nullptr;
  std::unique_ptr<Loop> loop_;
  std::unique_ptr<Controller> controller_;  // null while the process is not running
};

/// All controller processes of a plan.
class ControllerFleet {
 public:
  /// Opens a listener of the state store for each controller of the plan. `services_host` runs the state
  /// store and the cloud. The simulator and the plan have to outlive the fleet.
  ControllerFleet(EventSimulator& simulator, const SimulationPlan& plan, Host& services_host,
                  StateService& state, int cloud_port);

  void start();
  /// Rolling restart: crashes one controller every `every_s` seconds; each restarts after about `back_s`.
  void roll(double every_s, double back_s);
  /// Addresses (host:port) for users and workers, by controller label.
  const std::map<std::string, std::string>& addresses() const { return addresses_; }
  std::size_t size() const { return processes_.size(); }
  /// In the order of the plan.
  const std::vector<std::unique_ptr<ControllerProcess>>& processes() const { return processes_; }
  std::vector<ControllerProcess*> running() const;
  /// Up to `count` running controllers in random order; leaders come first if `leaders_first`, else last.
  std::vector<ControllerProcess*> draw(int count, bool leaders_first);

 private:
  EventSimulator& simulator_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::unique_ptr<ControllerProcess>> processes_;
};

}  // namespace corkmux::simulation

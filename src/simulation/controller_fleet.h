// The processes of the controllers: starts each real Controller on a simulated host of its own, ends it as
// faults demand and starts it again, as the platform's supervisor would. Owns the processes; knows nothing of
// faults.
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

inline constexpr int kUserPort = 8080;  // of controllers, for users and workers
inline constexpr int kPeerPort = 8081;  // of controllers, for one another

/// One controller, which may run, or have ended and be about to start again on a new host at the same
/// address.
class ControllerProcess {
 public:
  /// `state_listener`: the state service's listener that only this controller uses.
  ControllerProcess(EventSimulator& simulator, Settings settings, std::size_t state_listener);
  ~ControllerProcess();
  ControllerProcess(const ControllerProcess&) = delete;
  ControllerProcess& operator=(const ControllerProcess&) = delete;

  void start();
  /// The process exits and is started again after about `back_s`. Does nothing while it does not run.
  void crash(double back_s) { end(HostEnd::ProcessExited, back_s); }
  /// Its machine is off for about so long. Does nothing while it does not run.
  void power_off(double for_s) { end(HostEnd::PoweredOff, for_s); }

  const std::string& label() const { return settings_.label; }
  std::size_t state_listener() const { return state_listener_; }
  bool running() const { return controller_ != nullptr; }
  /// Runs and is not stalled.
  bool responsive() const { return running() && !host_->stalled(); }
  /// Needs running().
  bool leading() const { return controller_->leading(); }
  /// The latest host. Needs one start().
  Host& host() const { return *host_; }

 private:
  void end(HostEnd how, double back_s);
  void destroy_controller();

  EventSimulator& simulator_;
  Settings settings_;
  std::size_t state_listener_;
  Host* host_ = nullptr;
  std::unique_ptr<Loop> loop_;
  std::unique_ptr<Controller> controller_;  // null: does not run
};

class ControllerFleet {
 public:
  /// Opens a listener of the state service for each controller of the plan. `services_host` runs state
  /// service and cloud. Simulator and plan have to outlive the fleet.
  ControllerFleet(EventSimulator& simulator, const SimulationPlan& plan, Host& services_host,
                  StateService& state, int cloud_port);

  void start();
  /// Restarts one after the other, every so many seconds.
  void roll(double every_s, double back_s);
  /// Where users and workers reach each controller: host:port by label.
  const std::map<std::string, std::string>& addresses() const { return addresses_; }
  std::size_t size() const { return processes_.size(); }
  /// In the order of the plan.
  const std::vector<std::unique_ptr<ControllerProcess>>& processes() const { return processes_; }
  std::vector<ControllerProcess*> running() const;
  /// Up to so many that run, drawn at random: leaders first if `leaders_first`, else last.
  std::vector<ControllerProcess*> draw(int count, bool leaders_first);

 private:
  EventSimulator& simulator_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::unique_ptr<ControllerProcess>> processes_;
};

}  // namespace corkmux::simulation

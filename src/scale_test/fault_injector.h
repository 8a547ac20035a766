// Injects the faults of a run's plan: kills and restarts controllers, terminates machines.
#pragma once
#include <cstddef>
#include <functional>
#include <optional>
#include <random>

#include "controller_group.h"
#include "event_loop.h"
#include "hollow_fleet.h"
#include "scale_test_plan.h"

namespace corkmux::scale_test {

inline constexpr double kRollingRestartInterval = 10;  // s between the controllers of a rolling restart

class FaultInjector {
 public:
  /// The parts of the run that faults act on. All must outlive the injector.
  struct Targets {
    ControllerGroup& controllers;
    HollowFleet& fleet;
    MeasuredProcess& state_service;
    /// The number of the present leader; nullopt: there is none.
    std::function<std::optional<std::size_t>()> leader;
  };
  /// `random`: generator shared with the run's other random draws.
  FaultInjector(Loop& loop, const ScaleTestPlan& plan, Targets targets, std::mt19937_64& random)
      : loop_(loop), plan_(plan), targets_(std::move(targets)), random_(random) {}

  void inject(const Fault& fault);
  /// From now on no controller is killed or started.
  void stop() { stopped_ = true; }

 private:
  std::optional<std::size_t> follower() const;
  void restart_all_controllers();
  void restart_controller(std::optional<std::size_t> number, double back_s);
  void pause_controller(std::optional<std::size_t> number, double for_s);
  void pause(MeasuredProcess& process, double for_s);
  void pause_workers(double for_s);
  void lose_machines(const HollowFleet::MachineLoss& loss);

  Loop& loop_;
  const ScaleTestPlan& plan_;
  Targets targets_;
  std::mt19937_64& random_;
  bool stopped_ = false;
};

}  // namespace corkmux::scale_test

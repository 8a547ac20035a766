// Brings about the faults of a run's plan: controllers that end and come back, machines that are lost.
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

inline constexpr double kRestartDelay = 3;  // s until a controller that was ended is back
inline constexpr double kRollEvery = 10;    // s between controllers that are restarted in turn

class FaultInjector {
 public:
  /// What it acts on. All have to outlive it.
  struct Targets {
    ControllerGroup& controllers;
    HollowFleet& fleet;
    /// The number of the controller that leads now, if any does.
    std::function<std::optional<std::size_t>()> leader;
  };
  /// `random`: shared with whatever else the run draws.
  FaultInjector(Loop& loop, const ScaleTestPlan& plan, Targets targets, std::mt19937_64& random)
      : loop_(loop), plan_(plan), targets_(std::move(targets)), random_(random) {}

  void inject(const Fault& fault);
  /// No controller is ended or started any more.
  void stop() { stopped_ = true; }

 private:
  void end_leader();
  void end_follower();
  void restart_all_in_turn();
  void restart_controller(std::size_t number);
  void lose_machines(const HollowFleet::Loss& loss);

  Loop& loop_;
  const ScaleTestPlan& plan_;
  Targets targets_;
  std::mt19937_64& random_;
  bool stopped_ = false;
};

}  // namespace corkmux::scale_test

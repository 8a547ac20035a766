// Which unfinished jobs could start right now, by what the machines really have free: what the
// InvariantChecker holds the scheduler's pauses against.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "controller_fleet.h"
#include "invariant_checker.h"
#include "machine_fleet.h"

namespace corkmux::simulation {

inline constexpr double kProgressInterval = 0.25;  // s between checks whether work that fits waits

class ProgressSampler {
 public:
  /// What it looks at; all have to outlive it.
  struct Sources {
    const EventSimulator& simulator;
    const std::vector<Team>& teams;
    const InvariantChecker& checker;
    JobRegistry& registry;
    const ControllerFleet& controllers;
    const MachineFleet& machines;
  };
  explicit ProgressSampler(Sources sources) : sources_(sources) {}
  /// Jobs that wait though some of their tasks fit and their team is under its limit.
  std::vector<std::string> fitting_jobs() const;

 private:
  struct FreeMachine {
    const Worker* worker;
    Resources free;
  };
  bool within_quota(const JobSpec& spec) const;
  bool reachable(const MachineFleet::Machine& machine) const;
  std::vector<FreeMachine> free_machines() const;
  static bool fits(const JobSpec& spec, const std::vector<FreeMachine>& machines);

  Sources sources_;
};

}  // namespace corkmux::simulation

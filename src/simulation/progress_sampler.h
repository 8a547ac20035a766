// Determines which unfinished jobs could start now, by the actual free capacity of the machines. The
// InvariantChecker uses this to check the scheduler's pauses.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "controller_fleet.h"
#include "invariant_checker.h"
#include "machine_fleet.h"

namespace corkmux::simulation {

inline constexpr double kProgressInterval = 0.25;  // s between checks for waiting jobs that fit

class ProgressSampler {
 public:
  /// The components that are sampled; all must outlive the sampler.
  struct Sources {
    const EventSimulator& simulator;
    const std::vector<Team>& teams;
    const InvariantChecker& checker;
    JobRegistry& registry;
    const ControllerFleet& controllers;
    const MachineFleet& machines;
  };
  explicit ProgressSampler(Sources sources) : sources_(sources) {}
  /// Jobs that wait although some of their tasks fit and their team is under its limit.
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

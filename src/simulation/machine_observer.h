// Interface for observers of the events on simulated machines.
#pragma once
#include <cstdint>
#include <string>

#include "machine_facts.h"
#include "simulated_job.h"

namespace corkmux::simulation {

/// Receives no state of the controllers. The default implementation of each method does nothing.
class MachineObserver {
 public:
  virtual ~MachineObserver() = default;
  /// The task's image is fetched; from now on the task is on that machine.
  virtual void task_placed(const MachineFacts& /*machine*/, const SimulatedJob& /*job*/, int /*index*/,
                           std::uint64_t /*attempt*/) {}
  /// The task is no longer on the machine, for the reason `why`.
  virtual void task_removed(const std::string& /*machine*/, const SimulatedJob& /*job*/, int /*index*/,
                            std::uint64_t /*attempt*/, const std::string& /*why*/) {}
  /// `seconds` of a task's run were lost.
  virtual void progress_lost(const SimulatedJob& /*job*/, const std::string& /*why*/, double /*seconds*/) {}
  virtual void task_running(const SimulatedJob& /*job*/, int /*index*/) {}
  virtual void task_done(const SimulatedJob& /*job*/, int /*index*/) {}
};

}  // namespace corkmux::simulation

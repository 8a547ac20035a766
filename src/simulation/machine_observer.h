// Who wants to hear what happens on machines.
#pragma once
#include <cstdint>
#include <string>

#include "machine_facts.h"
#include "simulated_job.h"

namespace corkmux::simulation {

/// Knows nothing of the controllers. Every method may be left as it is.
class MachineObserver {
 public:
  virtual ~MachineObserver() = default;
  /// The task has its image: from now on it is on that machine.
  virtual void task_placed(const MachineFacts& /*machine*/, const SimulatedJob& /*job*/, int /*index*/,
                           std::uint64_t /*attempt*/) {}
  /// It is there no more, for that reason.
  virtual void task_removed(const std::string& /*machine*/, const SimulatedJob& /*job*/, int /*index*/,
                            std::uint64_t /*attempt*/, const std::string& /*why*/) {}
  /// So many seconds of a task's run were for nothing.
  virtual void progress_lost(const SimulatedJob& /*job*/, const std::string& /*why*/, double /*seconds*/) {}
  virtual void task_running(const SimulatedJob& /*job*/, int /*index*/) {}
  virtual void task_done(const SimulatedJob& /*job*/, int /*index*/) {}
};

}  // namespace corkmux::simulation

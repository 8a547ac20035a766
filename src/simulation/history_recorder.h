// What happened in a simulation: events for a reader, and one number that stands for the order of everything
// that machines and users saw. Stands between the machines and the InvariantChecker and passes on all that it
// is told.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "job_registry.h"

namespace corkmux::simulation {

class HistoryRecorder : public MachineObserver {
 public:
  struct Callbacks {
    /// s of simulated time.
    std::function<double()> now;
    /// A task has its image on that machine; called after the next observer was told.
    std::function<void(const std::string& machine)> task_placed;
    /// All tasks of the job are done; called after the next observer was told.
    std::function<void(const std::string& job)> job_done;
  };
  HistoryRecorder(MachineObserver& next, Callbacks callbacks);

  /// An event for the reader: a fault, a new leader.
  void note(const std::string& event);
  /// A line each, with the time, in order.
  const std::vector<std::string>& events() const { return events_; }
  /// Equal histories have equal ones.
  std::uint64_t hash() const { return hash_; }

  void task_placed(const MachineFacts& machine, const SimulatedJob& work, int index,
                   std::uint64_t attempt) override;
  void task_removed(const std::string& machine, const SimulatedJob& work, int index, std::uint64_t attempt,
                    const std::string& why) override;
  void progress_lost(const SimulatedJob& work, const std::string& why, double seconds) override;
  void task_running(const SimulatedJob& work, int index) override;
  void task_done(const SimulatedJob& work, int index) override;

 private:
  void add_to_hash(std::string_view text);

  MachineObserver& next_;
  Callbacks callbacks_;
  std::vector<std::string> events_;
  std::uint64_t hash_ = 1469598103934665603ULL;  // FNV-1a, so far
};

}  // namespace corkmux::simulation

// Records the history of a simulation: readable events, and a hash over the ordered events, task placements
// and task removals that identifies the run. Forwards all machine events to the next observer, the
// InvariantChecker.
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
    /// Returns seconds of simulated time.
    std::function<double()> now;
    /// A task's image is on that machine; called after the next observer was notified.
    std::function<void(const std::string& machine)> task_placed;
    /// All tasks of the job are done; called after the next observer was notified.
    std::function<void(const std::string& job)> job_done;
  };
  HistoryRecorder(MachineObserver& next, Callbacks callbacks);

  /// Records a readable event, such as a fault or a new leader.
  void note(const std::string& event);
  /// One line per event, with its time, in order.
  const std::vector<std::string>& events() const { return events_; }
  /// Equal histories have equal hashes.
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
  std::uint64_t hash_ = 1469598103934665603ULL;  // FNV-1a, updated with each event
};

}  // namespace corkmux::simulation

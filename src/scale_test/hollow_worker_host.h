// A process that hosts hollow workers: each has real sockets on its own loopback address, real heartbeats,
// leases, fencing tokens, commands and image times, but executes nothing. All workers of one zone share a
// process, because the members of a gang, which are placed in one zone, find one another through the
// process's job registry.
#pragma once
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "collector_client.h"
#include "job_source.h"
#include "machine_events.h"
#include "scale_test_plan.h"
#include "worker.h"

namespace corkmux::scale_test {

inline constexpr double kEventBatchInterval = 0.05;  // s between batches of events
// An event takes about 100 bytes, and a batch may have at most 64 KiB.
inline constexpr std::size_t kMaxEventsPerBatch = 400;

class HollowWorkerHost : public simulation::MachineObserver {
 public:
  /// The host's number within the run, and the addresses that it uses.
  struct HostConfig {
    int host = 0;
    int network = 0;                                 // second octet of the workers' loopback addresses
    std::map<std::string, std::string> controllers;  // user-facing addresses, by label
    std::string collector;                           // host:port
  };
  /// The references must outlive the host.
  HollowWorkerHost(Loop& loop, const ScaleTestPlan& plan, HostConfig place);

  void task_placed(const simulation::MachineFacts& machine, const simulation::SimulatedJob& work, int index,
                   std::uint64_t attempt) override;
  void task_removed(const std::string& machine, const simulation::SimulatedJob& work, int index,
                    std::uint64_t attempt, const std::string& why) override;
  void progress_lost(const simulation::SimulatedJob& work, const std::string& why, double seconds) override;
  void task_running(const simulation::SimulatedJob& work, int index) override;
  void task_done(const simulation::SimulatedJob& work, int index) override;

 private:
  /// Sends one batch of events, and schedules the next; events that the collector did not accept are sent
  /// again.
  void report();
  HostStatus next_status() const;
  /// Handles the response to a batch of `events_sent` events; `more`: further events were queued when the
  /// batch was sent.
  void on_answer(const std::optional<std::string>& answer, std::size_t events_sent, bool more);
  void apply_instructions(const HostInstructions& instructions);
  void boot(const simulation::MachineFacts& facts);
  void lose(const std::string& machine, const std::string& why);
  /// Queues the event with the present time.
  void add(MachineEvent event);

  Loop& loop_;
  const ScaleTestPlan& plan_;
  HostConfig config_;
  JobSource jobs_;
  simulation::JobRegistry registry_;
  CollectorClient collector_;
  std::vector<MachineType> types_;
  std::map<std::string, std::unique_ptr<simulation::Worker>> workers_;  // by machine
  std::deque<MachineEvent> events_;                                     // not yet accepted by the collector
};

}  // namespace corkmux::scale_test

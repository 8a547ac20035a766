// A process that hosts hollow workers: each has real sockets on a loopback address of its own, real
// heartbeats, leases, fencing tokens, commands and image times, but executes nothing. All workers of one zone
// share a process, so that the members of a gang, which are placed in one zone, find one another in it.
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

inline constexpr double kEventsEvery = 0.05;       // s between batches of events
inline constexpr std::size_t kEventsAtOnce = 400;  // of one batch; some 100 bytes each, 64 KiB at most

class HollowWorkerHost : public simulation::MachineObserver {
 public:
  /// Which host of the run this is, and whom it talks to.
  struct Place {
    int host = 0;
    int network = 0;                                 // second number of the workers' loopback addresses
    std::map<std::string, std::string> controllers;  // users' address of each, by label
    std::string collector;                           // host:port
  };
  /// The references have to outlive it.
  HollowWorkerHost(Loop& loop, const ScaleTestPlan& plan, Place place);

  void task_placed(const simulation::MachineFacts& machine, const simulation::SimulatedJob& work, int index,
                   std::uint64_t attempt) override;
  void task_removed(const std::string& machine, const simulation::SimulatedJob& work, int index,
                    std::uint64_t attempt, const std::string& why) override;
  void progress_lost(const simulation::SimulatedJob& work, const std::string& why, double seconds) override;
  void task_running(const simulation::SimulatedJob& work, int index) override;
  void task_done(const simulation::SimulatedJob& work, int index) override;

 private:
  /// Sends one batch of events, then the next after a pause; what is not taken is sent again.
  void report();
  HostStatus next_status() const;
  /// To a message with so many events; `more`: others waited already when it was sent.
  void on_answer(const std::optional<std::string>& answer, std::size_t events_sent, bool more);
  void obey(const HostInstructions& instructions);
  void boot(const simulation::MachineFacts& facts);
  void lose(const std::string& machine, const std::string& why);
  /// Stamps it with the present time.
  void add(MachineEvent event);

  Loop& loop_;
  const ScaleTestPlan& plan_;
  Place place_;
  JobSource jobs_;
  simulation::JobRegistry registry_;
  CollectorClient collector_;
  std::vector<MachineType> types_;
  std::map<std::string, std::unique_ptr<simulation::Worker>> workers_;  // by machine
  std::deque<MachineEvent> events_;                                     // not taken yet
};

}  // namespace corkmux::scale_test

// A process that hosts hollow workers: each has real sockets on a loopback address of its own, real
// heartbeats, leases, fencing tokens, commands and image times, but executes nothing. All workers of one zone
// share a process, so that the members of a gang, which are placed in one zone, find one another in it.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "http.h"
#include "job_source.h"
#include "machine_events.h"
#include "scale_test_plan.h"
#include "worker.h"

namespace corkmux::scale_test {

class HollowWorkerHost : public simulation::MachineObserver {
 public:
  /// `controllers`: label and users' address of each; `network`: second number of the loopback addresses.
  HollowWorkerHost(Loop& loop, const ScaleTestPlan& plan, int host, int network,
                   std::map<std::string, std::string> controllers, const std::string& collector);
  ~HollowWorkerHost() override;

  void task_placed(const simulation::MachineFacts& machine, const simulation::SimulatedJob& work, int index,
                   std::uint64_t attempt) override;
  void task_removed(const std::string& machine, const simulation::SimulatedJob& work, int index,
                    std::uint64_t attempt, const std::string& why) override;
  void progress_lost(const simulation::SimulatedJob& work, const std::string& why, double seconds) override;
  void task_running(const simulation::SimulatedJob& work, int index) override;
  void task_done(const simulation::SimulatedJob& work, int index) override;

 private:
  void report();
  void obey(const HostInstructions& instructions);
  void boot(const simulation::MachineFacts& facts);
  void lose(const std::string& machine, const std::string& why);
  void add(MachineEvent event);
  Loop& loop_;
  const ScaleTestPlan& plan_;
  int host_, network_;
  std::map<std::string, std::string> controllers_;
  JobSource jobs_;
  simulation::JobRegistry registry_;
  http::Client collector_;
  std::vector<MachineType> types_;
  std::map<std::string, std::unique_ptr<simulation::Worker>> workers_;
  std::deque<MachineEvent> events_;
  int failures_ = 0;  // status messages in a row that the collector did not take
};

}  // namespace corkmux::scale_test

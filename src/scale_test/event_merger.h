// Merges the events of several processes into one order, by the clock that they share, before the invariant
// checker receives them. Without the merge, a task that leaves one machine and starts on another would appear
// to run twice if one process's message arrived later than the other's.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "invariant_checker.h"
#include "machine_events.h"

namespace corkmux::scale_test {

class EventMerger : public simulation::UserObserver {
 public:
  /// Receives each event, in order, before the checker does; `at`: time of the event, s of run_time().
  struct Listener {
    virtual ~Listener() = default;
    virtual void submitted(const JobSpec& /*job*/, double /*at*/) {}
    virtual void accepted(const std::string& /*job*/, double /*at*/) {}
    virtual void refused(int /*status*/, double /*at*/) {}
    virtual void started(const simulation::SimulatedJob& /*work*/, int /*index*/, double /*at*/) {}
    virtual void running(const simulation::SimulatedJob& /*work*/, double /*at*/) {}
    virtual void left(const simulation::SimulatedJob& /*work*/, const std::string& /*why*/, double /*at*/) {}
  };
  /// `hosts`: number of processes whose statuses are merged, numbered from 0. `listener` must outlive the
  /// merger.
  EventMerger(std::vector<Team> teams, double cancel_s, std::size_t hosts, Listener& listener);

  /// Queues the events of a host's status, and records the time up to which that host's events are complete.
  void add(const HostStatus& status, const std::map<std::string, simulation::MachineFacts>& machines,
           simulation::JobRegistry& jobs);
  /// Removes a host that has ended, so that apply() no longer waits for its events.
  void remove_host(int host);
  /// Queues a user event at the present time; users run in this process.
  void observe(const simulation::UserEvent& event) override;
  /// Passes the queued events to the listener and the checker, up to the time to which all hosts' events are
  /// complete.
  void apply();
  simulation::InvariantChecker& checker() { return checker_; }
  const simulation::InvariantChecker& checker() const { return checker_; }

 private:
  /// Queues the event for apply().
  void enqueue(double time, std::function<void()> event) { events_.emplace(time, std::move(event)); }
  void apply_machine_event(const MachineEvent& event, const simulation::MachineFacts* machine,
                           simulation::SimulatedJob& job);
  void apply_user_event(const simulation::UserEvent& event, double at);
  void notify_listener(const simulation::UserEvent& event, double at);

  Listener& listener_;
  double now_ = 0;  // time of the event that was applied last
  simulation::InvariantChecker checker_;
  std::map<int, double> complete_until_;                 // s of run_time(), by host
  std::multimap<double, std::function<void()>> events_;  // by time; equal times in the order of arrival
  std::set<std::string> accepted_;
};

}  // namespace corkmux::scale_test

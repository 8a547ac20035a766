// Brings what several processes saw into one order, by the clock they share, before the checker of the rules
// is told: a task that leaves one machine and starts on another must not look as if it ran twice because one
// process was heard later.
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
  /// Told of each event, in order, before the checker is: its time, s of run_time().
  struct Listener {
    virtual ~Listener() = default;
    virtual void submitted(const JobSpec& /*job*/, double /*at*/) {}
    virtual void accepted(const std::string& /*job*/, double /*at*/) {}
    virtual void refused(int /*status*/, double /*at*/) {}
    virtual void started(const simulation::SimulatedJob& /*work*/, int /*index*/, double /*at*/) {}
    virtual void running(const simulation::SimulatedJob& /*work*/, double /*at*/) {}
    virtual void left(const simulation::SimulatedJob& /*work*/, const std::string& /*why*/, double /*at*/) {}
  };
  /// `hosts`: processes whose statuses are merged, numbered from 0; `listener` outlives the merger.
  EventMerger(std::vector<Team> teams, double cancel_s, std::size_t hosts, Listener& listener);

  /// A host's status: its events, and that it has told everything up to a moment.
  void add(const HostStatus& status, const std::map<std::string, simulation::MachineFacts>& machines,
           simulation::JobRegistry& jobs);
  /// A host that has ended is not waited for any more.
  void forget_host(int host);
  /// What users see happens now, on this process's clock.
  void observe(const simulation::UserEvent& event) override;
  /// Tells the checker everything up to the moment that all hosts have told.
  void apply();
  simulation::InvariantChecker& checker() { return checker_; }
  const simulation::InvariantChecker& checker() const { return checker_; }

 private:
  /// To be told in its turn.
  void enqueue(double time, std::function<void()> event) { events_.emplace(time, std::move(event)); }
  void apply_machine_event(const MachineEvent& event, const simulation::MachineFacts* machine,
                           simulation::SimulatedJob& job);
  void apply_user_event(const simulation::UserEvent& event, double at);
  void tell_listener(const simulation::UserEvent& event, double at);

  Listener& listener_;
  double now_ = 0;  // of the event that was told last
  simulation::InvariantChecker checker_;
  std::map<int, double> complete_until_;                 // by host
  std::multimap<double, std::function<void()>> events_;  // equal times in the order of their arrival
  std::set<std::string> accepted_;
};

}  // namespace corkmux::scale_test

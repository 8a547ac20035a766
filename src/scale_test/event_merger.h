// Brings what several processes saw into one order, by the clock they share, before the checker of the rules
// is told: a task that leaves one machine and starts on another must not look as if it ran twice because one
// process was heard later.
#pragma once
#include <functional>
#include <map>
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
  EventMerger(std::vector<Team> teams, double cancel_s, std::size_t hosts, Listener& listener);

  /// A host's status: its events, and that it has told everything up to a moment.
  void add(const HostStatus& report, const std::map<std::string, simulation::MachineFacts>& machines,
           simulation::JobRegistry& jobs);
  /// A host that has ended is not waited for any more.
  void forget_host(int host);
  /// Tells the checker everything up to the moment that all hosts have told.
  void apply();
  simulation::InvariantChecker& checker() { return checker_; }
  const simulation::InvariantChecker& checker() const { return checker_; }

  void submitted(const JobSpec& spec) override;
  void answered_submission(const std::string& job, int status, const std::string& phase,
                           double asked_at) override;
  void gave_up(const std::string& job) override;
  void asks_to_cancel(const std::string& job) override;
  void answered_cancel(const std::string& job, int status, const std::string& phase,
                       double asked_at) override;
  void answered_poll(const std::string& job, int status, const std::string& phase, double asked_at) override;
  void answered_concurrent_read(const std::string& job, int status, const std::string& phase,
                                double asked_at) override;
  void answered_invalid(const std::string& job, int status, int wanted) override;

 private:
  void at(double time, std::function<void()> event) { events_.emplace(time, std::move(event)); }
  void now(std::function<void()> event) { at(run_time(), std::move(event)); }
  void machine_event(const MachineEvent& event, const simulation::MachineFacts* machine,
                     simulation::SimulatedJob& work);
  Listener& listener_;
  double now_ = 0;
  simulation::InvariantChecker checker_;
  std::map<int, double> complete_until_;                 // by host
  std::multimap<double, std::function<void()>> events_;  // equal times in the order of their arrival
  std::map<std::string, bool> accepted_;
};

}  // namespace corkmux::scale_test

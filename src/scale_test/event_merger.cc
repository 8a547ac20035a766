#include "event_merger.h"

#include <algorithm>

namespace corkmux::scale_test {

EventMerger::EventMerger(std::vector<Team> teams, double cancel_s, std::size_t hosts, Listener& listener)
    : listener_(listener), checker_(std::move(teams), cancel_s, [this] { return now_; }) {
  for (std::size_t i = 0; i < hosts; ++i) complete_until_[static_cast<int>(i)] = 0;
}

void EventMerger::add(const HostStatus& report,
                      const std::map<std::string, simulation::MachineFacts>& machines,
                      simulation::JobRegistry& jobs) {
  for (const auto& event : report.events) {
    if (event.kind == MachineEvent::Kind::Up) continue;
    simulation::SimulatedJob* work = jobs.find(event.job);
    if (!work) continue;  // a machine was told to start what nobody submitted: the worker refuses that itself
    auto machine = machines.find(event.machine);
    at(event.at, [this, event, facts = machine == machines.end() ? nullptr : &machine->second, work] {
      machine_event(event, facts, *work);
    });
  }
  auto host = complete_until_.find(report.host);
  if (host != complete_until_.end()) host->second = std::max(host->second, report.until);
}

void EventMerger::machine_event(const MachineEvent& event, const simulation::MachineFacts* machine,
                                simulation::SimulatedJob& work) {
  switch (event.kind) {
    case MachineEvent::Kind::Up:
      return;
    case MachineEvent::Kind::On:
      listener_.started(work, event.index, event.at);
      if (machine) checker_.task_placed(*machine, work, event.index, event.attempt);
      return;
    case MachineEvent::Kind::Off:
      listener_.left(work, event.why, event.at);
      return checker_.task_removed(event.machine, work, event.index, event.attempt, event.why);
    case MachineEvent::Kind::Lost:
      return checker_.progress_lost(work, event.why, event.seconds);
    case MachineEvent::Kind::Running:
      listener_.running(work, event.at);
      return checker_.task_running(work, event.index);
    case MachineEvent::Kind::Done:
      // A task that ran again elsewhere, unknown to the first machine's process, is done once.
      if (work.done[static_cast<std::size_t>(event.index)]) return;
      work.done[static_cast<std::size_t>(event.index)] = true;
      return checker_.task_done(work, event.index);
  }
}

void EventMerger::forget_host(int host) { complete_until_.erase(host); }

void EventMerger::apply() {
  double until = run_time();
  for (const auto& [host, told] : complete_until_) until = std::min(until, told);
  while (!events_.empty() && events_.begin()->first <= until) {
    auto event = events_.extract(events_.begin());
    now_ = std::max(now_, event.key());
    event.mapped()();
  }
}

void EventMerger::submitted(const JobSpec& spec) {
  now([this, spec, at = run_time()] {
    listener_.submitted(spec, at);
    checker_.submitted(spec);
  });
}
void EventMerger::answered_submission(const std::string& job, int status, const std::string& phase,
                                      double asked_at) {
  now([=, this, at = run_time()] {
    bool taken = status == 200 || status == 201;
    if (taken && !std::exchange(accepted_[job], true)) listener_.accepted(job, at);
    if (!taken) listener_.refused(status, at);
    checker_.answered_submission(job, status, phase, asked_at);
  });
}
void EventMerger::gave_up(const std::string& job) {
  now([=, this] { checker_.gave_up(job); });
}
void EventMerger::asks_to_cancel(const std::string& job) {
  now([=, this] { checker_.asks_to_cancel(job); });
}
void EventMerger::answered_cancel(const std::string& job, int status, const std::string& phase,
                                  double asked_at) {
  now([=, this] { checker_.answered_cancel(job, status, phase, asked_at); });
}
void EventMerger::answered_poll(const std::string& job, int status, const std::string& phase,
                                double asked_at) {
  now([=, this] { checker_.answered_poll(job, status, phase, asked_at); });
}
void EventMerger::answered_concurrent_read(const std::string& job, int status, const std::string& phase,
                                           double asked_at) {
  now([=, this] { checker_.answered_concurrent_read(job, status, phase, asked_at); });
}
void EventMerger::answered_invalid(const std::string& job, int status, int wanted) {
  now([=, this] { checker_.answered_invalid(job, status, wanted); });
}

}  // namespace corkmux::scale_test

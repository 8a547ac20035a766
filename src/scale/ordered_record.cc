#include "ordered_record.h"

#include <algorithm>

namespace corkmux::scale {

OrderedRecord::OrderedRecord(std::vector<Team> teams, double cancel_s, std::size_t hosts, Listener& listener)
    : listener_(listener), checker_(std::move(teams), cancel_s, [this] { return now_; }) {
  for (std::size_t i = 0; i < hosts; ++i) told_until_[static_cast<int>(i)] = 0;
}

void OrderedRecord::add(const HostReport& report, const std::map<std::string, world::MachineFacts>& machines,
                        world::Yard& jobs) {
  for (const auto& event : report.events) {
    if (event.kind == MachineEvent::Kind::Up) continue;
    world::Work* work = jobs.find(event.job);
    if (!work) continue;  // a machine was told to start what nobody submitted: the worker refuses that itself
    auto machine = machines.find(event.machine);
    at(event.at, [this, event, facts = machine == machines.end() ? nullptr : &machine->second, work] {
      machine_event(event, facts, *work);
    });
  }
  auto host = told_until_.find(report.host);
  if (host != told_until_.end()) host->second = std::max(host->second, report.until);
}

void OrderedRecord::machine_event(const MachineEvent& event, const world::MachineFacts* machine,
                                  world::Work& work) {
  switch (event.kind) {
    case MachineEvent::Kind::Up:
      return;
    case MachineEvent::Kind::On:
      listener_.started(work, event.index, event.at);
      if (machine)
        checker_.on(event.machine, machine->type.name, machine->zone, machine->spot, work, event.index,
                    event.attempt);
      return;
    case MachineEvent::Kind::Off:
      listener_.left(work, event.why, event.at);
      return checker_.off(event.machine, work, event.index, event.attempt, event.why);
    case MachineEvent::Kind::Lost:
      return checker_.lost(work, event.why, event.seconds);
    case MachineEvent::Kind::Running:
      listener_.running(work, event.at);
      return checker_.running(work, event.index);
    case MachineEvent::Kind::Done:
      // A task that ran again elsewhere, unknown to the first machine's process, is done once.
      if (work.done[static_cast<std::size_t>(event.index)]) return;
      work.done[static_cast<std::size_t>(event.index)] = true;
      return checker_.done(work, event.index);
  }
}

void OrderedRecord::forget_host(int host) { told_until_.erase(host); }

void OrderedRecord::apply() {
  double until = run_time();
  for (const auto& [host, told] : told_until_) until = std::min(until, told);
  while (!events_.empty() && events_.begin()->first <= until) {
    auto event = events_.extract(events_.begin());
    now_ = std::max(now_, event.key());
    event.mapped()();
  }
}

void OrderedRecord::submitted(const JobSpec& spec) {
  now([this, spec, at = run_time()] {
    listener_.submitted(spec, at);
    checker_.submitted(spec);
  });
}
void OrderedRecord::answered_submission(const std::string& job, int status, const std::string& phase,
                                        double asked_at) {
  now([=, this, at = run_time()] {
    bool taken = status == 200 || status == 201;
    if (taken && !std::exchange(accepted_[job], true)) listener_.accepted(job, at);
    if (!taken) listener_.refused(status, at);
    checker_.answered_submission(job, status, phase, asked_at);
  });
}
void OrderedRecord::gave_up(const std::string& job) {
  now([=, this] { checker_.gave_up(job); });
}
void OrderedRecord::asks_to_cancel(const std::string& job) {
  now([=, this] { checker_.asks_to_cancel(job); });
}
void OrderedRecord::answered_cancel(const std::string& job, int status, const std::string& phase,
                                    double asked_at) {
  now([=, this] { checker_.answered_cancel(job, status, phase, asked_at); });
}
void OrderedRecord::answered_poll(const std::string& job, int status, const std::string& phase,
                                  double asked_at) {
  now([=, this] { checker_.answered_poll(job, status, phase, asked_at); });
}
void OrderedRecord::answered_look(const std::string& job, int status, const std::string& phase,
                                  double asked_at) {
  now([=, this] { checker_.answered_look(job, status, phase, asked_at); });
}
void OrderedRecord::answered_odd(const std::string& job, int status, int wanted) {
  now([=, this] { checker_.answered_odd(job, status, wanted); });
}

}  // namespace corkmux::scale

#include "event_merger.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace corkmux::scale_test {

using simulation::UserAnswer;

EventMerger::EventMerger(std::vector<Team> teams, double cancel_s, std::size_t hosts, Listener& listener)
    : listener_(listener), checker_(std::move(teams), cancel_s, [this] { return now_; }) {
  for (std::size_t host = 0; host < hosts; ++host) complete_until_[static_cast<int>(host)] = 0;
}

// ---------------------------------------------------------------- machines

void EventMerger::add(const HostStatus& status,
                      const std::map<std::string, simulation::MachineFacts>& machines,
                      simulation::JobRegistry& jobs) {
  for (const auto& event : status.events) {
    if (event.kind == MachineEvent::Kind::Booted) continue;
    simulation::SimulatedJob* job = jobs.find(event.job);
    if (!job) continue;  // a start command for a job that was never submitted; the worker refuses it
    const auto machine = machines.find(event.machine);
    const simulation::MachineFacts* facts = machine == machines.end() ? nullptr : &machine->second;
    enqueue(event.at, [this, event, facts, job] { apply_machine_event(event, facts, *job); });
  }
  const auto host = complete_until_.find(status.host);
  if (host != complete_until_.end()) host->second = std::max(host->second, status.until);
}

void EventMerger::apply_machine_event(const MachineEvent& event, const simulation::MachineFacts* machine,
                                      simulation::SimulatedJob& job) {
  switch (event.kind) {
    case MachineEvent::Kind::Booted:
      return;
    case MachineEvent::Kind::TaskPlaced:
      listener_.started(job, event.index, event.at);
      if (machine) checker_.task_placed(*machine, job, event.index, event.attempt);
      return;
    case MachineEvent::Kind::TaskRemoved:
      listener_.left(job, event.why, event.at);
      return checker_.task_removed(event.machine, job, event.index, event.attempt, event.why);
    case MachineEvent::Kind::ProgressLost:
      return checker_.progress_lost(job, event.why, event.seconds);
    case MachineEvent::Kind::TaskRunning:
      listener_.running(job, event.at);
      return checker_.task_running(job, event.index);
    case MachineEvent::Kind::TaskDone: {
      // A task can run again on a machine of another host, and both hosts then report its end: the task
      // counts as done once.
      const auto index = static_cast<std::size_t>(event.index);
      if (job.done[index]) return;
      job.done[index] = true;
      return checker_.task_done(job, event.index);
    }
  }
}

void EventMerger::remove_host(int host) { complete_until_.erase(host); }

// ---------------------------------------------------------------- users

void EventMerger::observe(const simulation::UserEvent& event) {
  enqueue(run_time(), [this, event, at = run_time()] { apply_user_event(event, at); });
}

void EventMerger::apply_user_event(const simulation::UserEvent& event, double at) {
  notify_listener(event, at);
  checker_.observe(event);
}

void EventMerger::notify_listener(const simulation::UserEvent& event, double at) {
  if (const auto* submission = std::get_if<simulation::JobSubmitted>(&event))
    return listener_.submitted(submission->spec, at);
  const auto* answer = std::get_if<UserAnswer>(&event);
  if (!answer || answer->request != UserAnswer::Request::Submission) return;
  const bool is_accepted = answer->status == 200 || answer->status == 201;
  if (!is_accepted) return listener_.refused(answer->status, at);
  const bool is_first = accepted_.insert(answer->job).second;
  if (is_first) listener_.accepted(answer->job, at);
}

// ---------------------------------------------------------------- order

void EventMerger::apply() {
  double until = run_time();
  for (const auto& [host, host_complete_until] : complete_until_)
    until = std::min(until, host_complete_until);
  while (!events_.empty() && events_.begin()->first <= until) {
    auto event = events_.extract(events_.begin());
    now_ = std::max(now_, event.key());
    event.mapped()();
  }
}

}  // namespace corkmux::scale_test

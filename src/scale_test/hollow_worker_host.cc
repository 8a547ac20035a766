#include "hollow_worker_host.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace corkmux::scale_test {
namespace {

constexpr std::size_t kNamePrefix = 2;   // length of the prefix of machine names, as in "n-17"
constexpr int kAddressesPerBlock = 250;  // values of the last octet of an address: 1 to 250
// s in which callbacks on the loop may still refer to a lost worker.
constexpr double kTerminatedWorkerRetention = 2 * kEventBatchInterval;

/// The machine's own loopback address, with port 0 for any free port.
std::string listen_address(int network, const std::string& machine) {
  int number = std::stoi(machine.substr(kNamePrefix));
  return fmt::format("127.{}.{}.{}:0", network, number / kAddressesPerBlock, number % kAddressesPerBlock + 1);
}

}  // namespace

HollowWorkerHost::HollowWorkerHost(Loop& loop, const ScaleTestPlan& plan, HostConfig place)
    : loop_(loop),
      plan_(plan),
      config_(std::move(place)),
      jobs_(plan),
      registry_(loop, plan.times.gang_peer_s, *this, run_time),
      collector_(loop, config_.collector),
      types_(plan.types()) {
  registry_.make_unknown_job = [this](const std::string& job) {
    auto number = JobSource::number(job);
    if (!number) throw std::runtime_error("a launch names no job of this run: " + job);
    return jobs_.job(*number);
  };
  report();
}

// ---------------------------------------------------------------- machine events

void HollowWorkerHost::add(MachineEvent event) {
  event.at = run_time();
  events_.push_back(std::move(event));
}

void HollowWorkerHost::task_placed(const simulation::MachineFacts& machine,
                                   const simulation::SimulatedJob& work, int index, std::uint64_t attempt) {
  add({.kind = MachineEvent::Kind::TaskPlaced,
       .machine = machine.name,
       .job = work.spec.id,
       .index = index,
       .attempt = attempt});
}

void HollowWorkerHost::task_removed(const std::string& machine, const simulation::SimulatedJob& work,
                                    int index, std::uint64_t attempt, const std::string& why) {
  add({.kind = MachineEvent::Kind::TaskRemoved,
       .machine = machine,
       .job = work.spec.id,
       .index = index,
       .attempt = attempt,
       .why = why});
}

void HollowWorkerHost::progress_lost(const simulation::SimulatedJob& work, const std::string& why,
                                     double seconds) {
  add({.kind = MachineEvent::Kind::ProgressLost, .job = work.spec.id, .why = why, .seconds = seconds});
}

void HollowWorkerHost::task_running(const simulation::SimulatedJob& work, int index) {
  add({.kind = MachineEvent::Kind::TaskRunning, .job = work.spec.id, .index = index});
}

void HollowWorkerHost::task_done(const simulation::SimulatedJob& work, int index) {
  add({.kind = MachineEvent::Kind::TaskDone, .job = work.spec.id, .index = index});
}

// ---------------------------------------------------------------- messages to the collector

void HollowWorkerHost::report() {
  auto status = next_status();
  bool more = status.events.size() < events_.size();
  collector_.send("/host", to_wire(status),
                  [this, sent = status.events.size(), more](const std::optional<std::string>& answer) {
                    on_answer(answer, sent, more);
                  });
}

HostStatus HollowWorkerHost::next_status() const {
  HostStatus status;
  status.host = config_.host;
  std::size_t count = std::min(events_.size(), kMaxEventsPerBatch);
  status.events.assign(events_.begin(), events_.begin() + static_cast<std::ptrdiff_t>(count));
  status.until = count < events_.size() ? status.events.back().at : run_time();
  status.traffic = traffic_to_wire();
  status.workers = static_cast<int>(workers_.size());
  for (const auto& [name, worker] : workers_) status.tasks += worker->tasks();
  return status;
}

void HollowWorkerHost::on_answer(const std::optional<std::string>& answer, std::size_t events_sent,
                                 bool more) {
  auto body = answer ? codec::unpack(*answer) : std::nullopt;
  if (body) {
    events_.erase(events_.begin(), events_.begin() + static_cast<std::ptrdiff_t>(events_sent));
    apply_instructions(parse_host_instructions(*body, types_));
  }
  loop_.call_later(body && more ? 0 : kEventBatchInterval, [this] { report(); });
}

// ---------------------------------------------------------------- instructions

void HollowWorkerHost::apply_instructions(const HostInstructions& instructions) {
  for (const auto& facts : instructions.boot) boot(facts);
  for (const auto& name : instructions.lose) lose(name, instructions.why_lost);
}

void HollowWorkerHost::boot(const simulation::MachineFacts& facts) {
  if (workers_.contains(facts.name)) return;
  auto worker = std::make_unique<simulation::Worker>(loop_, facts, plan_.times, config_.controllers,
                                                     registry_, listen_address(config_.network, facts.name));
  add({.kind = MachineEvent::Kind::Booted, .machine = facts.name, .why = worker->address()});
  workers_.emplace(facts.name, std::move(worker));
}

void HollowWorkerHost::lose(const std::string& machine, const std::string& why) {
  auto worker = workers_.extract(machine);
  if (!worker) return;
  worker.mapped()->terminate(why);
  // Callbacks that are queued on the loop may still refer to the worker, so it is freed after them.
  std::shared_ptr<simulation::Worker> dead(std::move(worker.mapped()));
  loop_.call_later(kTerminatedWorkerRetention, [dead] {});
}

}  // namespace corkmux::scale_test

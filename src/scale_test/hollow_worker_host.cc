#include "hollow_worker_host.h"

#include <fmt/format.h>

#include <stdexcept>

#include "scale_test_constants.h"
#include "simulation_constants.h"

namespace corkmux::scale_test {
namespace {

constexpr int kMostFailures = 5;  // of status messages in a row, after which the collector counts as gone

int number_of(const std::string& machine) { return std::stoi(machine.substr(2)); }

}  // namespace

HollowWorkerHost::HollowWorkerHost(Loop& loop, const ScaleTestPlan& plan, int host, int network,
                                   std::map<std::string, std::string> controllers,
                                   const std::string& collector)
    : loop_(loop),
      plan_(plan),
      host_(host),
      network_(network),
      controllers_(std::move(controllers)),
      jobs_(plan),
      registry_(loop, plan.times.gang_peer_s, *this, run_time),
      collector_(loop, collector, 1, 4),
      types_(plan.types()) {
  registry_.make_unknown_job = [this](const std::string& job) {
    auto number = JobSource::number(job);
    if (!number) throw std::runtime_error("a launch names no job of this run: " + job);
    return jobs_.job(*number);
  };
  report();
}
HollowWorkerHost::~HollowWorkerHost() = default;

void HollowWorkerHost::add(MachineEvent event) {
  event.at = run_time();
  events_.push_back(std::move(event));
}

void HollowWorkerHost::task_placed(const simulation::MachineFacts& machine,
                                   const simulation::SimulatedJob& work, int index, std::uint64_t attempt) {
  add({MachineEvent::Kind::On, 0, machine.name, work.spec.id, index, attempt, "", 0});
}
void HollowWorkerHost::task_removed(const std::string& machine, const simulation::SimulatedJob& work,
                                    int index, std::uint64_t attempt, const std::string& why) {
  add({MachineEvent::Kind::Off, 0, machine, work.spec.id, index, attempt, why, 0});
}
void HollowWorkerHost::progress_lost(const simulation::SimulatedJob& work, const std::string& why,
                                     double seconds) {
  add({MachineEvent::Kind::Lost, 0, "", work.spec.id, 0, 0, why, seconds});
}
void HollowWorkerHost::task_running(const simulation::SimulatedJob& work, int index) {
  add({MachineEvent::Kind::Running, 0, "", work.spec.id, index, 0, "", 0});
}
void HollowWorkerHost::task_done(const simulation::SimulatedJob& work, int index) {
  add({MachineEvent::Kind::Done, 0, "", work.spec.id, index, 0, "", 0});
}

/// One batch of events, then the next after a pause; what is not taken is sent again.
void HollowWorkerHost::report() {
  auto batch = std::make_shared<HostStatus>();
  batch->host = host_;
  std::size_t count = std::min(events_.size(), kEventsAtOnce);
  batch->events.assign(events_.begin(), events_.begin() + static_cast<std::ptrdiff_t>(count));
  batch->until = count < events_.size() ? batch->events.back().at : run_time();
  batch->traffic = traffic_to_wire();
  batch->workers = static_cast<int>(workers_.size());
  for (const auto& [name, worker] : workers_) batch->tasks += worker->tasks();
  bool more = count < events_.size();
  collector_.request("POST", "/host", codec::pack(to_wire(*batch)), kEventsTimeout,
                     [this, count, more](http::Result result) {
                       auto body = result.ok() ? codec::unpack(result.body) : std::nullopt;
                       if (!body) {
                         if (++failures_ >= kMostFailures) return loop_.stop();
                         loop_.call_later(kEventsEvery, [this] { report(); });
                         return;
                       }
                       failures_ = 0;
                       events_.erase(events_.begin(), events_.begin() + static_cast<std::ptrdiff_t>(count));
                       obey(parse_host_instructions(*body, types_));
                       loop_.call_later(more ? 0 : kEventsEvery, [this] { report(); });
                     });
}

void HollowWorkerHost::obey(const HostInstructions& instructions) {
  for (const auto& facts : instructions.boot) boot(facts);
  for (const auto& name : instructions.lose) lose(name, instructions.why_lost);
}

void HollowWorkerHost::boot(const simulation::MachineFacts& facts) {
  if (workers_.count(facts.name)) return;
  int n = number_of(facts.name);
  auto listen = fmt::format("127.{}.{}.{}:0", network_, n / 250, n % 250 + 1);
  auto worker =
      std::make_unique<simulation::Worker>(loop_, facts, plan_.times, controllers_, registry_, listen);
  add({MachineEvent::Kind::Up, 0, facts.name, "", 0, 0, worker->address(), 0});
  workers_.emplace(facts.name, std::move(worker));
}

void HollowWorkerHost::lose(const std::string& machine, const std::string& why) {
  auto worker = workers_.extract(machine);
  if (!worker) return;
  worker.mapped()->terminate(why);
  // Messages that name it may still wait on the loop; it is freed after them.
  std::shared_ptr<simulation::Worker> dead(std::move(worker.mapped()));
  loop_.call_later(2 * kEventsEvery, [dead] {});
}

}  // namespace corkmux::scale_test

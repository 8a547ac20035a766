#include "machine_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace corkmux::simulation {
namespace {

constexpr int kCommandPort = 9000;
constexpr int kMachinesPerSubnet = 200;
constexpr std::size_t kNamePrefix = 2;  // characters of a machine's name before its number

}  // namespace

MachineFleet::MachineFleet(EventSimulator& simulator, WorkerTimes times,
                           std::map<std::string, std::string> controllers, JobRegistry& registry)
    : simulator_(simulator), times_(times), controllers_(std::move(controllers)), registry_(registry) {}

std::string MachineFleet::ip_of_machine(const std::string& name) {
  int number = std::stoi(name.substr(kNamePrefix));
  return fmt::format("10.1.{}.{}", number / kMachinesPerSubnet, number % kMachinesPerSubnet + 1);
}

std::string MachineFleet::command_address(const std::string& name) {
  return fmt::format("{}:{}", ip_of_machine(name), kCommandPort);
}

void MachineFleet::boot(const MachineFacts& facts) {
  Machine& machine = machines_[facts.name];
  machine.host = &simulator_.add_host(facts.name, ip_of_machine(facts.name), facts.zone, HostRole::Worker);
  machine.booted_at = simulator_.now();
  machine.loop = std::make_unique<Loop>(*machine.host);
  simulator_.run_as(*machine.host, [&] {
    machine.worker = std::make_unique<Worker>(*machine.loop, facts, times_, controllers_, registry_,
                                              command_address(facts.name));
  });
}

void MachineFleet::terminate(const std::string& name, const std::string& reason) {
  auto found = machines_.find(name);
  if (found == machines_.end()) return;
  Machine& machine = found->second;
  simulator_.run_as(*machine.host, [&] { machine.worker->terminate(reason); });
  machine.host->end(HostEnd::PoweredOff);
  simulator_.run_as(*machine.host, [&] {
    machine.worker.reset();
    machine.loop.reset();
  });
  machines_.erase(found);
}

const MachineFleet::Machine* MachineFleet::find(const std::string& name) const {
  auto found = machines_.find(name);
  return found == machines_.end() ? nullptr : &found->second;
}

std::vector<std::string> MachineFleet::draw(int count, const std::string& zone, bool spot_only) {
  std::vector<std::string> drawn;
  for (const auto& [name, machine] : machines_) {
    bool in_zone = zone.empty() || machine.host->zone() == zone;
    if (in_zone && (!spot_only || machine.worker->facts().spot)) drawn.push_back(name);
  }
  std::shuffle(drawn.begin(), drawn.end(), simulator_.rng());
  if (drawn.size() > static_cast<std::size_t>(count)) drawn.resize(static_cast<std::size_t>(count));
  return drawn;
}

void MachineFleet::hang(const std::string& name, double for_s) {
  Machine& machine = machines_.at(name);
  machine.host->stall(simulator_.now() + for_s);
  simulator_.run_as(*machine.host, [&] {
    machine.worker->hang();
    // A stalled host runs no timers, but its tasks must end with the lease.
    double lease_left_s = machine.worker->lease_expires_at() - steady_now();
    if (lease_left_s >= for_s) return;
    simulator_.schedule_after(lease_left_s + kLeaseExpirySlack,
                              [this, name, host = machine.host] { expire_lease_of_hanging(name, host); });
  });
}

void MachineFleet::expire_lease_of_hanging(const std::string& name, const Host* host) {
  auto found = machines_.find(name);
  if (found == machines_.end() || found->second.host != host || !host->stalled()) return;
  simulator_.run_as(*found->second.host, [&] { found->second.worker->expire_lease(); });
}

void MachineFleet::make_faulty(const std::string& name, double for_s) {
  Machine& machine = machines_.at(name);
  machine.faulty = true;
  machine.worker->set_faulty(true);
  simulator_.schedule_after(for_s, [this, name] {
    auto found = machines_.find(name);
    if (found == machines_.end()) return;
    found->second.faulty = false;
    found->second.worker->set_faulty(false);
  });
}

void MachineFleet::partition(const std::string& name, PartitionMode mode, double for_s) {
  Machine& machine = machines_.at(name);
  machine.partitioned = true;
  simulator_.network().partition(
      [host = machine.host](const Host& from, const Host& to) { return &from == host || &to == host; }, mode,
      simulator_.now() + for_s);
  simulator_.schedule_after(for_s, [this, name] {
    auto found = machines_.find(name);
    if (found != machines_.end()) found->second.partitioned = false;
  });
}

void MachineFleet::announce_reclaim(const std::string& name, double notice_s) {
  Machine& machine = machines_.at(name);
  simulator_.run_as(*machine.host, [&] { machine.worker->announce_reclaim(notice_s); });
}

}  // namespace corkmux::simulation

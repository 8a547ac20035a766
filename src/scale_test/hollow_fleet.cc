#include "hollow_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace corkmux::scale_test {
namespace {

// s until a deletion is answered: longer than the pause of a worker host (random_process_faults.cc).
constexpr double kDeletionDelay = 2.5;
constexpr double kCloudBurst = 2;  // s: burst of the request rate limit, as a duration at the full rate
// The second octet of the workers' loopback addresses. Each run draws it at random, so that two runs on one
// machine rarely get the same.
constexpr int kFirstNetwork = 10;
constexpr unsigned kNetworkCount = 200;

std::string join_addresses(const std::map<std::string, std::string>& addresses) {
  std::string text;
  for (const auto& [label, address] : addresses)
    text += fmt::format("{}{}={}", text.empty() ? "" : ",", label, address);
  return text;
}

}  // namespace

HollowFleet::HollowFleet(Loop& loop, const ScaleTestPlan& plan, const RunFolder& folder)
    : loop_(loop),
      plan_(plan),
      zones_(plan.zone_names()),
      cloud_(loop, plan.types(), initial_capacity(), plan.site.list_lag_s,
             // operator[] also inserts an empty entry for a machine whose address is not reported yet.
             {{},
              [this](const std::string& name) { machine_deleted(name); },
              [this](const std::string& name) { return addresses_[name]; }}) {
  cloud_.deletion_delay_s = kDeletionDelay;
  cloud_.request_rate.set(plan_.site.cloud_rps, kCloudBurst);
  for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
    hosts_.push_back(std::make_unique<Host>(folder.file(fmt::format("host-{}.log", zone))));
    for (const auto& type : plan_.types())
      for (int i = 0; i < plan_.machines_in(zone, type.name); ++i) add_machine(zone, type.name);
  }
}

std::vector<simulation::Capacity> HollowFleet::initial_capacity() const {
  std::vector<simulation::Capacity> capacity;
  for (std::size_t zone = 0; zone < zones_.size(); ++zone)
    for (const auto& type : plan_.types())
      capacity.push_back({type.name, zones_[zone], false, plan_.machines_in(zone, type.name)});
  return capacity;
}

void HollowFleet::add_machine(std::size_t zone, const std::string& type) {
  auto facts = cloud_.add_machine(type, zones_[zone], false);
  machines_[facts.name] = facts;
  hosts_[zone]->to_boot.push_back(facts);
}

void HollowFleet::machine_deleted(const std::string& name) {
  const auto zone = std::find(zones_.begin(), zones_.end(), machines_.at(name).zone) - zones_.begin();
  HostInstructions& instructions = hosts_[static_cast<std::size_t>(zone)]->next_instructions;
  instructions.lose.push_back(name);
  instructions.why_lost = "was deleted";
  addresses_.erase(name);
}

void HollowFleet::start_hosts(const std::vector<std::string>& command,
                              const std::map<std::string, std::string>& controllers) {
  int network = kFirstNetwork + static_cast<int>(std::random_device{}() % kNetworkCount);
  for (std::size_t zone = 0; zone < hosts_.size(); ++zone) {
    auto host_command = command;
    host_command.insert(host_command.end(),
                        {"--host", std::to_string(zone), "--network", std::to_string(network),
                         "--controller-addresses", join_addresses(controllers)});
    hosts_[zone]->process.start(host_command);
  }
}

void HollowFleet::end() {
  for (auto& host : hosts_) host->process.end();
}

std::optional<HostInstructions> HollowFleet::host_status(const HostStatus& status) {
  if (status.host < 0 || static_cast<std::size_t>(status.host) >= hosts_.size()) return std::nullopt;
  Host& host = *hosts_[static_cast<std::size_t>(status.host)];
  host.process.set_traffic(status.traffic);
  host.workers = status.workers;
  host.tasks = status.tasks;
  for (const auto& event : status.events)
    if (event.kind == MachineEvent::Kind::Booted) addresses_[event.machine] = event.why;
  HostInstructions instructions = std::exchange(host.next_instructions, {});
  std::size_t boots = std::min(host.to_boot.size(), kMaxBootsPerResponse);
  auto end = host.to_boot.begin() + static_cast<std::ptrdiff_t>(boots);
  instructions.boot.assign(host.to_boot.begin(), end);
  host.to_boot.erase(host.to_boot.begin(), end);
  return instructions;
}

std::vector<std::string> HollowFleet::machines_of_zone(std::size_t zone) const {
  std::vector<std::string> names;
  for (const auto& [name, address] : addresses_)
    if (machines_.at(name).zone == zones_[zone]) names.push_back(name);
  return names;
}

void HollowFleet::lose_machines(std::size_t zone, const MachineLoss& loss) {
  std::vector<std::string> lost;
  for (std::size_t tried = 0; tried < shared_zones(); ++tried) {
    std::size_t next_zone = (zone + tried) % shared_zones();
    HostInstructions& instructions = hosts_[next_zone]->next_instructions;
    for (const auto& name : machines_of_zone(next_zone)) {
      if (static_cast<int>(lost.size()) == loss.machines) break;
      lost.push_back(name);
      instructions.lose.push_back(name);
      instructions.why_lost = loss.why;
    }
  }
  for (const auto& name : lost) {
    addresses_.erase(name);
    cloud_.machine_died(name);
  }
  if (loss.reboots) loop_.call_later(kRackRestartDelay, [this, lost] { boot_again(lost); });
}

void HollowFleet::boot_again(const std::vector<std::string>& lost) {
  for (const auto& name : lost) {
    const auto& old = machines_.at(name);
    auto zone = std::find(zones_.begin(), zones_.end(), old.zone) - zones_.begin();
    add_machine(static_cast<std::size_t>(zone), old.type.name);
  }
}

int HollowFleet::workers() const {
  int sum = 0;
  for (const auto& host : hosts_) sum += host->workers;
  return sum;
}

int HollowFleet::tasks() const {
  int sum = 0;
  for (const auto& host : hosts_) sum += host->tasks;
  return sum;
}

std::vector<MeasuredProcess*> HollowFleet::zone_hosts() const {
  std::vector<MeasuredProcess*> processes;
  for (std::size_t zone = 0; zone < shared_zones(); ++zone) processes.push_back(&hosts_[zone]->process);
  return processes;
}

std::vector<MeasuredProcess*> HollowFleet::single_hosts() const {
  std::vector<MeasuredProcess*> processes;
  for (std::size_t zone = shared_zones(); zone < hosts_.size(); ++zone)
    processes.push_back(&hosts_[zone]->process);
  return processes;
}

}  // namespace corkmux::scale_test

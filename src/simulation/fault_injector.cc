#include "fault_injector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "codec.h"

namespace corkmux::simulation {
namespace {

using HostPair = SimulatedNetwork::HostPair;
using DeliveryMode = SimulatedNetwork::DelayedDelivery::Mode;

constexpr const char* kTransactionPath = "/multi";            // of the state store
constexpr const char* kHeartbeatPath = "/v1/report";          // of controllers
constexpr const char* kHeartbeatBatchPath = "/peer/reports";  // of controllers, for one another
constexpr const char* kCommandBatchPath = "/peer/orders";     // of controllers, for one another

HostPair between_roles(HostRole sender, HostRole receiver) {
  return [sender, receiver](const Host& from, const Host& to) {
    return from.role() == sender && to.role() == receiver;
  };
}

}  // namespace

const std::map<FaultKind, FaultInjector::Handler>& FaultInjector::handlers() {
  static const std::map<FaultKind, Handler> by_kind = {
      {FaultKind::StateAnswersLost, &FaultInjector::lose_state_answers},
      {FaultKind::FanInBatchesRepeated, &FaultInjector::repeat_fanin_batches},
      {FaultKind::CancelAtJobEnd, &FaultInjector::cancel_jobs_at_end},
      {FaultKind::CancelRunningJobs, &FaultInjector::cancel_running_jobs},
      {FaultKind::ConcurrentReads, &FaultInjector::read_concurrently},
      {FaultKind::CloudOutage, &FaultInjector::stop_cloud},
      {FaultKind::JobBurst, &FaultInjector::burst_jobs},
      {FaultKind::FanInBatchesLate, &FaultInjector::delay_fanin_batches},
      {FaultKind::CommandsRepeated, &FaultInjector::repeat_commands},
      {FaultKind::HeartbeatsRepeated, &FaultInjector::repeat_heartbeats},
      {FaultKind::WritesLate, &FaultInjector::delay_writes},
      {FaultKind::MachinePartition, &FaultInjector::partition_machines},
      {FaultKind::MachineMessagesLost, &FaultInjector::lose_messages_to_machines},
      {FaultKind::MachineDeath, &FaultInjector::terminate_machines},
      {FaultKind::MachineHang, &FaultInjector::hang_machines},
      {FaultKind::MachineRequestsLost, &FaultInjector::lose_requests_of_machines},
      {FaultKind::MachineFaulty, &FaultInjector::make_machines_faulty},
      {FaultKind::ControllerCrash, &FaultInjector::crash_controllers},
      {FaultKind::ControllerPartition, &FaultInjector::partition_controllers},
      {FaultKind::ControllerPowerOff, &FaultInjector::power_off_controllers},
      {FaultKind::ControllerStall, &FaultInjector::stall_controllers},
      {FaultKind::RollingRestart, &FaultInjector::restart_all_controllers},
      {FaultKind::ControllerSlowLinks, &FaultInjector::slow_links_of_controllers},
      {FaultKind::InvalidRequests, &FaultInjector::send_invalid_requests},
      {FaultKind::PeersRefuse, &FaultInjector::refuse_between_peers},
      {FaultKind::PollStorm, &FaultInjector::increase_poll_rate},
      {FaultKind::SpotReclaim, &FaultInjector::reclaim_spot_machines},
      {FaultKind::StateLimits, &FaultInjector::lower_state_limits},
      {FaultKind::StateOutage, &FaultInjector::stop_state_service},
      {FaultKind::StateRefusal, &FaultInjector::refuse_at_state_service},
      {FaultKind::StateSlow, &FaultInjector::slow_links_to_state_service},
      {FaultKind::ZoneIsolation, &FaultInjector::isolate_zone},
      {FaultKind::ZonePartition, &FaultInjector::partition_zones},
  };
  return by_kind;
}

void FaultInjector::schedule_plan() {
  for (const auto& fault : targets_.plan.faults)
    targets_.simulator.schedule_at(fault.at_s, nullptr, [this, &fault] { begin(fault); });
}

void FaultInjector::begin(const Fault& fault) {
  targets_.history.note("trouble: " + fault_to_toml(fault));
  auto handler = handlers().at(fault.kind);
  (this->*handler)(fault);
}

// ---------------------------------------------------------------- controllers

void FaultInjector::crash_controllers(const Fault& fault) {
  for (auto* process : targets_.controllers.draw(fault.count, fault.busiest))
    for (int i = 0; i < fault.times; ++i)
      targets_.simulator.schedule_after(i * fault.every_s,
                                        [process, back_s = restart_delay(fault)] { process->crash(back_s); });
}

void FaultInjector::power_off_controllers(const Fault& fault) {
  for (auto* process : targets_.controllers.draw(fault.count, fault.busiest)) process->power_off(fault.for_s);
}

void FaultInjector::stall_controllers(const Fault& fault) {
  for (auto* process : targets_.controllers.draw(fault.count, fault.busiest))
    process->host().stall(end_of(fault));
}

void FaultInjector::restart_all_controllers(const Fault& fault) {
  targets_.controllers.roll(fault.every_s, restart_delay(fault));
}

void FaultInjector::partition_controllers(const Fault& fault) {
  bool from_all = !fault.from_state && !fault.from_workers && !fault.from_peers;
  std::set<HostRole> roles;
  if (fault.from_state) roles.insert(HostRole::Services);
  if (fault.from_workers) roles.insert(HostRole::Worker);
  if (fault.from_peers) roles.insert(HostRole::Controller);
  for (auto* process : targets_.controllers.draw(fault.count, fault.busiest))
    // Matches by address, which also covers a controller process restarted at that address.
    partition(fault, fault.mode,
              [ip = process->host().ip(), from_all, roles](const Host& from, const Host& to) {
                return from.ip() == ip && (from_all || roles.contains(to.role()));
              });
}

void FaultInjector::slow_links_of_controllers(const Fault& fault) {
  for (auto* process : targets_.controllers.draw(fault.count, fault.busiest))
    targets_.simulator.network().slow_down(
        [ip = process->host().ip()](const Host& from, const Host& to) {
          return from.ip() == ip || to.ip() == ip;
        },
        fault.factor * kSlowLinkFactor, end_of(fault));
}

void FaultInjector::refuse_between_peers(const Fault& fault) {
  partition(fault, PartitionMode::Refuse, between_roles(HostRole::Controller, HostRole::Controller));
}

// ---------------------------------------------------------------- state store and cloud

void FaultInjector::stop_state_service(const Fault& fault) {
  targets_.state.faults.unavailable = true;
  targets_.simulator.schedule_after(fault.for_s, [this] { targets_.state.faults.unavailable = false; });
}

void FaultInjector::refuse_at_state_service(const Fault& fault) {
  for (auto* process : targets_.controllers.draw(fault.count, fault.busiest)) {
    auto listener = process->state_listener();
    targets_.state.set_listener_unavailable(listener, true);
    targets_.simulator.schedule_after(
        fault.for_s, [this, listener] { targets_.state.set_listener_unavailable(listener, false); });
  }
}

void FaultInjector::lower_state_limits(const Fault& fault) {
  if (fault.value_kb) targets_.state.limits.value_bytes = static_cast<std::size_t>(*fault.value_kb * 1024);
  if (fault.txn_ops) targets_.state.limits.transaction_writes = static_cast<std::size_t>(*fault.txn_ops);
  if (fault.write_rps)
    targets_.simulator.run_as(targets_.services_host,
                              [&] { targets_.state.change_rate.set(*fault.write_rps); });
}

void FaultInjector::lose_state_answers(const Fault& fault) {
  targets_.simulator.network().lose_answers(between_roles(HostRole::Services, HostRole::Controller),
                                            fault.share, end_of(fault));
}

void FaultInjector::slow_links_to_state_service(const Fault& fault) {
  targets_.simulator.network().slow_down(between_roles(HostRole::Controller, HostRole::Services),
                                         fault.factor * kSlowLinkFactor, end_of(fault));
}

void FaultInjector::stop_cloud(const Fault& fault) {
  targets_.cloud.unavailable = true;
  targets_.simulator.schedule_after(fault.for_s, [this] { targets_.cloud.unavailable = false; });
}

// ---------------------------------------------------------------- zones

void FaultInjector::partition(const Fault& fault, PartitionMode mode, HostPair from_to) {
  auto either_way = [from_to, one_way = fault.one_way](const Host& from, const Host& to) {
    return from_to(from, to) || (!one_way && from_to(to, from));
  };
  targets_.simulator.network().partition(either_way, mode, end_of(fault));
}

void FaultInjector::isolate_zone(const Fault& fault) {
  partition(fault, fault.mode, [zone = fault.zone](const Host& from, const Host& to) {
    return from.zone() == zone && to.zone() != zone;
  });
}

void FaultInjector::partition_zones(const Fault& fault) {
  partition(fault, fault.mode, [zones = fault.zones](const Host& from, const Host& to) {
    return from.zone() == zones[0] && to.zone() == zones[1];
  });
}

// ---------------------------------------------------------------- machines

int FaultInjector::machine_count(const Fault& fault, bool spot_only) const {
  if (!spot_only && fault.share <= 0) return fault.count;
  auto all = targets_.machines.draw(kAllMachines, fault.zone, spot_only).size();
  return static_cast<int>(std::ceil(fault.share * static_cast<double>(all)));
}

void FaultInjector::terminate_machines(const Fault& fault) {
  for (const auto& name : targets_.machines.draw(machine_count(fault, false), fault.zone, false)) {
    targets_.simulator.run_as(targets_.services_host, [&] { targets_.cloud.machine_died(name); });
    targets_.machines.terminate(name, "died");
  }
}

void FaultInjector::hang_machines(const Fault& fault) {
  for (const auto& name : targets_.machines.draw(machine_count(fault, false), "", false))
    targets_.machines.hang(name, fault.for_s);
}

void FaultInjector::partition_machines(const Fault& fault) {
  // Refuse is not possible: no operating system keeps running on a partitioned machine to refuse connections.
  auto mode = fault.mode == PartitionMode::Reset ? PartitionMode::Reset : PartitionMode::Hold;
  for (const auto& name : targets_.machines.draw(machine_count(fault, false), "", false))
    targets_.machines.partition(name, mode, fault.for_s);
}

void FaultInjector::make_machines_faulty(const Fault& fault) {
  for (const auto& name : targets_.machines.draw(machine_count(fault, false), "", false))
    targets_.machines.make_faulty(name, fault.for_s);
}

std::set<const Host*> FaultInjector::draw_machine_hosts(const Fault& fault) {
  std::set<const Host*> hosts;
  for (const auto& name : targets_.machines.draw(machine_count(fault, false), fault.zone, false))
    hosts.insert(targets_.machines.find(name)->host);
  return hosts;
}

/// Heartbeats of these machines arrive; responses and commands to them are lost.
void FaultInjector::lose_messages_to_machines(const Fault& fault) {
  auto to_them = [hosts = draw_machine_hosts(fault)](const Host& from, const Host& to) {
    return from.role() == HostRole::Controller && hosts.contains(&to);
  };
  targets_.simulator.network().lose_answers(to_them, 1, end_of(fault));
  targets_.simulator.network().lose_requests(to_them, end_of(fault));
}

/// Requests of these machines reach no controller; requests to them arrive and are answered.
void FaultInjector::lose_requests_of_machines(const Fault& fault) {
  auto from_them = [hosts = draw_machine_hosts(fault)](const Host& from, const Host& to) {
    return to.role() == HostRole::Controller && hosts.contains(&from);
  };
  targets_.simulator.network().lose_requests(from_them, end_of(fault));
}

void FaultInjector::reclaim_spot_machines(const Fault& fault) {
  for (const auto& name : targets_.machines.draw(machine_count(fault, true), fault.zone, true)) {
    if (fault.notice_s > 0) targets_.machines.announce_reclaim(name, fault.notice_s);
    targets_.simulator.schedule_after(fault.notice_s, [this, name] {
      if (!targets_.machines.find(name)) return;
      targets_.simulator.run_as(targets_.services_host, [&] { targets_.cloud.machine_reclaimed(name); });
      targets_.machines.terminate(name, "taken");
    });
  }
}

// ---------------------------------------------------------------- late and repeated messages

void FaultInjector::delay_deliveries(const Fault& fault, HostPair between, std::string path,
                                     DeliveryMode mode, double max_delay_s) {
  SimulatedNetwork::DelayedDelivery delayed;
  delayed.between = std::move(between);
  delayed.path = std::move(path);
  delayed.mode = mode;
  delayed.share = fault.share;
  delayed.min_delay_s = kMinDeliveryDelay;
  delayed.max_delay_s = max_delay_s;
  delayed.until = end_of(fault);
  targets_.simulator.network().delay_deliveries(std::move(delayed));
}

double FaultInjector::max_worker_message_delay() const {
  return kMaxWorkerMessageDelayLeases * targets_.plan.site.lease_s;
}

void FaultInjector::delay_writes(const Fault& fault) {
  writes_late_until_ = end_of(fault);
  if (fault.at_once)
    targets_.simulator.network().lose_answers(between_roles(HostRole::Services, HostRole::Controller),
                                              fault.share, end_of(fault), kTransactionPath);
  else
    delay_deliveries(fault, between_roles(HostRole::Controller, HostRole::Services), kTransactionPath,
                     DeliveryMode::Late, kMaxControllerMessageDelay);
}

void FaultInjector::repeat_heartbeats(const Fault& fault) {
  if (fault.for_next) targets_.leader_detector.check_often_until(end_of(fault));
  delay_deliveries(fault, between_roles(HostRole::Worker, HostRole::Controller), kHeartbeatPath,
                   fault.for_next ? DeliveryMode::Retained : DeliveryMode::Repeated,
                   max_worker_message_delay());
}

void FaultInjector::repeat_commands(const Fault& fault) {
  delay_deliveries(fault, between_roles(HostRole::Controller, HostRole::Worker), codec::kCommandsPath,
                   DeliveryMode::Repeated, max_worker_message_delay());
}

void FaultInjector::delay_fanin_messages(const Fault& fault, DeliveryMode mode) {
  for (const char* path : {kHeartbeatBatchPath, kCommandBatchPath})
    delay_deliveries(fault, between_roles(HostRole::Controller, HostRole::Controller), path, mode,
                     kMaxControllerMessageDelay);
}

void FaultInjector::delay_fanin_batches(const Fault& fault) {
  delay_fanin_messages(fault, DeliveryMode::Late);
}

void FaultInjector::repeat_fanin_batches(const Fault& fault) {
  delay_fanin_messages(fault, DeliveryMode::Repeated);
}

// ---------------------------------------------------------------- users and their jobs

void FaultInjector::burst_jobs(const Fault& fault) {
  targets_.arrivals.burst(fault.job_class, fault.team, fault.factor, fault.for_s);
}

void FaultInjector::increase_poll_rate(const Fault& fault) {
  targets_.users.scale_poll_rate(fault.factor);
  targets_.simulator.schedule_after(fault.for_s, [this] { targets_.users.scale_poll_rate(1); });
}

void FaultInjector::read_concurrently(const Fault& fault) {
  targets_.simulator.run_as(targets_.users_host,
                            [&] { targets_.users.read_concurrently_until(steady_now() + fault.for_s); });
}

void FaultInjector::send_invalid_requests(const Fault& fault) {
  targets_.simulator.run_as(targets_.users_host,
                            [&] { targets_.users.send_invalid_requests_until(steady_now() + fault.for_s); });
}

void FaultInjector::cancel_jobs_at_end(const Fault& fault) {
  targets_.simulator.run_as(targets_.users_host, [&] {
    targets_.users.cancel_at_end_until(steady_now() + fault.for_s, fault.share);
  });
}

/// Users cancel running jobs; with `hang_s`, some of the machines of these jobs hang.
void FaultInjector::cancel_running_jobs(const Fault& fault) {
  auto running = targets_.checker.running_jobs();
  std::vector<std::string> jobs;
  for (const auto& [job, machines] : running) jobs.push_back(job);
  std::shuffle(jobs.begin(), jobs.end(), targets_.simulator.rng());
  if (jobs.size() > static_cast<std::size_t>(fault.count)) jobs.resize(static_cast<std::size_t>(fault.count));
  if (fault.hang_s) {
    std::vector<std::string> machines;
    for (const auto& job : jobs)
      machines.insert(machines.end(), running.at(job).begin(), running.at(job).end());
    hang_some(machines, *fault.hang_s);
  }
  for (const auto& job : jobs) count_cancelled(job, running.at(job));
  targets_.simulator.run_as(targets_.users_host, [&] { targets_.users.cancel_soon(jobs); });
}

void FaultInjector::hang_some(const std::vector<std::string>& machines, double for_s) {
  std::set<std::string> hanging;
  for (const auto& name : machines)
    if (hanging.size() < kMaxHangingMachines && targets_.machines.find(name)) hanging.insert(name);
  for (const auto& name : hanging) targets_.machines.hang(name, for_s);
}

void FaultInjector::count_cancelled(const std::string& job, const std::vector<std::string>& machines) {
  ++cancelled_.all;
  bool unreachable = std::any_of(machines.begin(), machines.end(), [&](const std::string& name) {
    const auto* machine = targets_.machines.find(name);
    return machine && machine->unreachable();
  });
  if (!unreachable) return;
  ++cancelled_.on_unreachable;
  if (at_quota_limit(targets_.registry.find(job)->spec.team)) ++cancelled_.at_quota_limit;
}

bool FaultInjector::at_quota_limit(const std::string& team_name) const {
  const auto& teams = targets_.plan.teams;
  auto team = std::find_if(teams.begin(), teams.end(),
                           [&](const Team& candidate) { return candidate.name == team_name; });
  auto use = targets_.checker.team_usage(team_name);
  use += Resources{team->cpus_max * kQuotaLimitMargin, team->gpus_max * kQuotaLimitMargin, 0};
  return !team->allows(use);
}

}  // namespace corkmux::simulation

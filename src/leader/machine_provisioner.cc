#include "machine_provisioner.h"

#include <spdlog/spdlog.h>

#include "catalog.h"

namespace corkmux {
namespace c = constants;

MachineProvisioner::MachineProvisioner(Loop& loop, const Settings& settings, const OperatorChoices& choices,
                                       http::Client& cloud, Term& term, Scheduler& scheduler,
                                       TermCallbacks callbacks, InspectCallback inspect)
    : Actor(loop),
      settings_(settings),
      choices_(choices),
      cloud_(cloud),
      term_(term),
      scheduler_(scheduler),
      callbacks_(std::move(callbacks)),
      inspect_(std::move(inspect)),
      tick_timer_(loop),
      scale_timer_(loop) {}

void MachineProvisioner::start() {
  tick_timer_.every(kTickInterval, [this] { tick(); });
  list("");
}

/// A process that stalled does nothing until its term is confirmed: machines that it takes for idle or silent
/// may run tasks for a new leader, and requests to the cloud carry no fencing token.
bool MachineProvisioner::may_act() const {
  return !term_.over() && !term_.resigning && term_.confirmed_since_stall();
}

void MachineProvisioner::tick() {
  if (!may_act()) return;
  delete_machines();
  if (steady_now() - listed_at_ > kListInterval) list("");
  scale();
}

// ---------------------------------------------------------------- scaling

void MachineProvisioner::scale() {
  double now = steady_now();
  if (!may_act()) return;
  if (now - term_.since < kFirstHeartbeatIntervals * settings_.report_s) return;
  auto plan = plan_scaling(scheduler_, choices_, refused_until_, now);
  int sent = repeat_pending();
  if (sent >= kMaxRequestsAtOnce) return;
  for (const auto& request : plan.scale_out) {
    if (pending_.contains(request.key())) continue;
    provision(request);
    if (++sent >= kMaxRequestsAtOnce) break;
  }
  for (const auto& machine : plan.scale_in) {
    spdlog::info("machine {} is idle beyond the headroom: returned", machine);
    scheduler_.decommission(machine, now);
  }
}

/// Repeats requests that were not answered; returns the number sent, at most kMaxRequestsAtOnce.
int MachineProvisioner::repeat_pending() {
  int sent = 0;
  for (const auto& [kind, pending] : pending_) {
    if (in_flight_.contains(kind)) continue;
    provision(pending.request);
    if (++sent >= kMaxRequestsAtOnce) break;
  }
  return sent;
}

void MachineProvisioner::provision(const ScaleOutRequest& request) {
  auto [entry, is_new] = pending_.try_emplace(request.key());
  PendingRequest& pending = entry->second;
  if (is_new) {
    pending.name = "r-" + std::to_string(term_.number) + "-" + std::to_string(++requests_);
    pending.request = request;
  }
  in_flight_.insert(request.key());
  const ScaleOutRequest requested = pending.request;
  auto body = codec::pack(codec::provision_request(pending.name, requested.type, requested.zone,
                                                   requested.spot, requested.count));
  cloud_.request(
      "POST", codec::kProvisionPath, std::move(body), c::kCloudTimeout,
      term_.guard([this, requested](const http::Result& result) { provisioned(requested, result); }));
}

void MachineProvisioner::provisioned(const ScaleOutRequest& request, const http::Result& result) {
  double now = steady_now();
  auto kind = request.key();
  in_flight_.erase(kind);
  scale_timer_.once(kNextRequestPause, [this] { scale(); });
  auto body = codec::unpack_answer(result.body);
  if (result.ok() && body) {
    pending_.erase(kind);
    add_machines(request, codec::parse_provisioned(*body));
  } else if (result.status == 503 || result.status == 400) {
    pending_.erase(kind);
    bool no_capacity = body && codec::is_no_capacity(*body);
    refused_until_[kind] = now + (no_capacity ? kNoCapacityPause : kRefusedPause);
  } else if (result.status == 429) {
    pending_.erase(kind);
  }
}

void MachineProvisioner::add_machines(const ScaleOutRequest& request, const std::vector<std::string>& names) {
  double now = steady_now();
  for (const auto& name : names)
    scheduler_.machine_provisioned(name, request.type, request.zone, request.spot, now);
  if (static_cast<int>(names.size()) < request.count) refused_until_[request.key()] = now + kNoCapacityPause;
  spdlog::info("machines provisioned: count={} type={} zone={} spot={}", names.size(), request.type,
               request.zone, request.spot);
}

void MachineProvisioner::delete_machines() {
  if (deleting_) return;
  auto names = scheduler_.decommissioning();
  if (names.empty()) return;
  if (names.size() > kMaxDelete) names.resize(kMaxDelete);
  deleting_ = true;
  auto deleted = [this, names](const http::Result& result) {
    deleting_ = false;
    if (result.ok()) scheduler_.machines_deleted(names, steady_now());
    callbacks_.changed();
  };
  cloud_.request("POST", codec::kDeletePath, codec::pack(codec::delete_request(names)), c::kCloudTimeout,
                 term_.guard(std::move(deleted)));
}

// ---------------------------------------------------------------- list

/// Lists the machines whose names follow `after`. If `after` is empty, starts a new list unless one is in
/// progress.
void MachineProvisioner::list(const std::string& after) {
  if (after.empty()) {
    if (listing_) return;
    listing_ = true;
    listed_at_ = steady_now();
  }
  cloud_.request("GET", codec::list_path(after, kListPage), "", c::kCloudTimeout,
                 term_.guard([this](const http::Result& result) { listed(result); }));
}

void MachineProvisioner::listed(const http::Result& result) {
  double now = steady_now();
  auto body = result.ok() ? codec::unpack_answer(result.body) : std::nullopt;
  listing_ = false;
  if (!body) return;
  auto page = codec::parse_machines(*body);
  scheduler_.machines_listed(page.machines, now);
  // After a change of leader the machines are inspected at once, before their workers have found this leader.
  if (now - term_.since < settings_.lease_s) inspect_machines_without_heartbeat(page.machines);
  if (page.more && !page.machines.empty()) {
    listing_ = true;
    list(page.machines.back().name);
  }
  callbacks_.changed();
}

void MachineProvisioner::inspect_machines_without_heartbeat(const std::vector<ListedMachine>& machines) {
  for (const auto& listed : machines) {
    const Machine* machine = scheduler_.machine(listed.name);
    bool no_heartbeat = machine && !machine->is_up() && !machine->is_decommissioning();
    if (no_heartbeat && listed.phase == ListedMachine::Phase::Running) inspect_(listed.name);
  }
}

}  // namespace corkmux

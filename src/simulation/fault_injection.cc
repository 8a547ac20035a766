// The faults of a simulation: how each kind that a plan names is injected.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "cluster_simulation.h"
#include "simulation_constants.h"

namespace corkmux::simulation {

void ClusterSimulation::begin(const Fault& f) {
  note("trouble: " + fault_to_toml(f));
  if (f.kind == "node_crash" || f.kind == "node_down" || f.kind == "node_freeze" || f.kind == "node_roll")
    return node_fault(f);
  if (f.kind == "poll_storm") {
    users_->scale_poll_rate(f.factor);
    return after(f.for_s, [this] { users_->scale_poll_rate(1); });
  }
  if (f.kind == "cancel_now") return cancel_running_jobs(f);
  if (f.kind == "close_looks" || f.kind == "odd_requests" || f.kind == "cancel_at_end") return users_fault(f);
  if (f.kind == "late_batches" || f.kind == "batches_again") return late_batches(f);
  if (f.kind.rfind("late_", 0) == 0) return late_fault(f);
  if (f.kind.rfind("machine_", 0) == 0 || f.kind == "spot_taken") return machine_fault(f);
  if (f.kind == "state_outage") {
    state_->faults.unavailable = true;
    return after(f.for_s, [this] { state_->faults.unavailable = false; });
  }
  if (f.kind == "cloud_outage") {
    cloud_->unavailable = true;
    return after(f.for_s, [this] { cloud_->unavailable = false; });
  }
  if (f.kind == "state_refuses") {
    for (auto* p : chosen(f)) {
      state_->set_listener_unavailable(p->listener, true);
      after(f.for_s, [this, p] { state_->set_listener_unavailable(p->listener, false); });
    }
    return;
  }
  if (f.kind == "state_limits") {
    if (f.value_kb > 0) state_->limits.value_bytes = static_cast<std::size_t>(f.value_kb * 1024);
    if (f.txn_ops > 0) state_->limits.transaction_writes = static_cast<std::size_t>(f.txn_ops);
    if (f.write_rps > 0) simulator_.as(services_host_, [&] { state_->change_rate.set(f.write_rps); });
    return;
  }
  if (f.kind == "job_burst") {
    for (auto& s : streams_) {
      if ((!f.job_class.empty() && s->load->job_template.job_class != f.job_class) ||
          (!f.team.empty() && s->load->job_template.team != f.team))
        continue;
      simulator_.as(users_host_, [&] { s->factor = f.factor, arm(*s); });
      after(f.for_s, [this, stream = s.get()] {
        simulator_.as(users_host_, [&] { stream->factor = 1, arm(*stream); });
      });
    }
    return;
  }
  cut_fault(f);
}

void ClusterSimulation::users_fault(const Fault& f) {
  simulator_.as(users_host_, [&] {
    double until = steady_now() + f.for_s;
    if (f.kind == "close_looks") users_->read_concurrently_until(until);
    if (f.kind == "odd_requests") users_->send_invalid_requests_until(until);
    if (f.kind == "cancel_at_end") users_->cancel_at_end_until(until, f.share);
  });
}

/// Users cancel jobs that run; some of their machines hang.
void ClusterSimulation::cancel_running_jobs(const Fault& f) {
  auto running = checker_.running_jobs();
  std::vector<std::string> ids;
  for (const auto& [id, on] : running) ids.push_back(id);
  std::shuffle(ids.begin(), ids.end(), simulator_.rng());
  if (ids.size() > static_cast<std::size_t>(f.count)) ids.resize(static_cast<std::size_t>(f.count));
  std::set<std::string> hanging;
  for (const auto& id : ids)
    for (const auto& name : running.at(id))
      if (f.hang_s > 0 && hanging.size() < kMaxHangingMachines && machines_.count(name)) hanging.insert(name);
  for (const auto& name : hanging) hang(name, f.hang_s);
  for (const auto& id : ids) {
    ++occurrences_.cancelled;
    const auto& on = running.at(id);
    bool stuck = std::any_of(on.begin(), on.end(), [&](const auto& name) {
      auto m = machines_.find(name);
      return m != machines_.end() && (m->second.cut || m->second.host->stalled());
    });
    occurrences_.cancelled_on_unreachable += stuck;
    auto team = std::find_if(plan_.teams.begin(), plan_.teams.end(),
                             [&](const Team& t) { return t.name == registry_->find(id)->spec.team; });
    auto use = checker_.team_usage(team->name);
    use += Resources{team->cpus_max / 20, team->gpus_max / 20, 0};
    occurrences_.cancelled_at_quota_limit += stuck && !team->allows(use);
  }
  simulator_.as(users_host_, [&] { users_->cancel_soon(ids); });
}

/// Messages between controllers about workers: late and unanswered, or once more.
void ClusterSimulation::late_batches(const Fault& f) {
  for (const char* path : {"/peer/reports", "/peer/orders"}) {
    EventSimulator::DelayedDelivery late;
    late.between = [](const Host& a, const Host& b) {
      return a.role == "controller" && b.role == "controller";
    };
    late.path = path;
    late.share = f.share, late.until = simulator_.now() + f.for_s;
    late.only_then = f.kind == "late_batches";
    late.least_s = kMinDeliveryDelay, late.most_s = kMaxWriteDelay;
    simulator_.delay_deliveries(std::move(late));
  }
}

/// What arrives again, or late, after newer ones.
void ClusterSimulation::late_fault(const Fault& f) {
  if (f.kind == "late_writes") writes_lag_until_ = simulator_.now() + f.for_s;
  if (f.at_once)
    return simulator_.lose_answers(
        [](const Host& a, const Host& b) { return a.role == "state" && b.role == "controller"; }, f.share,
        simulator_.now() + f.for_s, "/multi");
  const bool writes = f.kind == "late_writes", orders = f.kind == "late_orders";
  const char *from = writes || orders ? "controller" : "worker", *to = writes   ? "state"
                                                                       : orders ? "worker"
                                                                                : "controller";
  EventSimulator::DelayedDelivery late;
  late.between = [from, to](const Host& a, const Host& b) { return a.role == from && b.role == to; };
  late.path = writes ? "/multi" : orders ? codec::kCommandsPath : "/v1/report";
  late.share = f.share, late.only_then = writes, late.until = simulator_.now() + f.for_s;
  late.least_s = kMinDeliveryDelay;
  late.most_s = writes ? kMaxWriteDelay : kLateHeartbeatLeases * plan_.site.lease_s;
  late.kept = f.for_next;
  if (f.for_next) for_next_until_ = late.until, detect_new_leader();
  simulator_.delay_deliveries(std::move(late));
}

/// They reach no controller; what is sent to them arrives and is answered.
void ClusterSimulation::lose_requests_from(const std::vector<std::string>& names, double until) {
  std::set<const Host*> mute;
  for (const auto& name : names) mute.insert(machines_.at(name).host);
  simulator_.lose_requests(
      [mute](const Host& a, const Host& b) { return b.role == "controller" && mute.count(&a) > 0; }, until);
}

/// Their heartbeats arrive; answers and commands to them are lost.
void ClusterSimulation::lose_answers_to(const std::vector<std::string>& names, double until) {
  std::set<const Host*> deaf;
  for (const auto& name : names) deaf.insert(machines_.at(name).host);
  simulator_.lose_answers(
      [deaf](const Host& a, const Host& b) { return a.role == "controller" && deaf.count(&b) > 0; }, 1,
      until);
  simulator_.lose_requests(
      [deaf](const Host& a, const Host& b) { return a.role == "controller" && deaf.count(&b) > 0; }, until);
}

void ClusterSimulation::node_fault(const Fault& f) {
  if (f.kind == "node_roll") {
    for (std::size_t i = 0; i < processes_.size(); ++i)
      after(f.every_s * static_cast<double>(i), [this, i, f] { crash(*processes_[i], f.back_s); });
    return;
  }
  for (auto* p : chosen(f)) {
    if (f.kind == "node_crash")
      for (int i = 0; i < f.times; ++i) after(i * f.every_s, [this, p, f] { crash(*p, f.back_s); });
    else if (f.kind == "node_down")
      end(*p, true, f.for_s);
    else
      p->host->stall(simulator_.now() + f.for_s);
  }
}

void ClusterSimulation::hang(const std::string& name, double for_s) {
  Machine& m = machines_.at(name);
  m.host->stall(simulator_.now() + for_s);
  simulator_.as(*m.host, [&] {
    m.worker->hang();
    // Whether it hangs or not, nothing outlives the lease.
    double left = m.worker->lease_expires_at() - steady_now();
    if (left < for_s)
      after(left + kLeaseExpirySlack, [this, name, host = m.host] {
        auto it = machines_.find(name);
        if (it != machines_.end() && it->second.host == host && host->stalled())
          simulator_.as(*host, [&] { it->second.worker->expire_lease(); });
      });
  });
}

void ClusterSimulation::machine_fault(const Fault& f) {
  bool taken = f.kind == "spot_taken";
  int count = f.count;
  if (taken || f.share > 0)
    count = static_cast<int>(std::ceil(f.share * some_machines(1 << 20, f.zone, taken).size()));
  if (f.kind == "machine_deaf")
    return lose_answers_to(some_machines(count, f.zone, false), simulator_.now() + f.for_s);
  if (f.kind == "machine_mute")
    return lose_requests_from(some_machines(count, f.zone, false), simulator_.now() + f.for_s);
  for (const auto& name : some_machines(count, taken || f.kind == "machine_die" ? f.zone : "", taken)) {
    Machine& m = machines_.at(name);
    if (f.kind == "machine_die") {
      simulator_.as(services_host_, [&] { cloud_->machine_died(name); });
      lose_machine(name, "died");
    } else if (f.kind == "machine_hang") {
      hang(name, f.for_s);
    } else if (f.kind == "machine_sick") {
      m.faulty = true;
      m.worker->set_faulty(true);
      after(f.for_s, [this, name] {
        if (auto it = machines_.find(name); it != machines_.end())
          it->second.faulty = false, it->second.worker->set_faulty(false);
      });
    } else if (taken) {
      if (f.notice_s > 0) simulator_.as(*m.host, [&] { m.worker->announce_reclaim(f.notice_s); });
      after(f.notice_s, [this, name] {
        if (!machines_.count(name)) return;
        simulator_.as(services_host_, [&] { cloud_->machine_reclaimed(name); });
        lose_machine(name, "taken");
      });
    } else {  // machine_cut
      const Host* host = m.host;
      m.cut = true;
      auto between = [host](const Host& a, const Host& b) { return &a == host || &b == host; };
      simulator_.cut(between, f.mode == "reset" ? CutMode::Reset : CutMode::Hold, simulator_.now() + f.for_s);
      after(f.for_s, [this, name] {
        if (auto it = machines_.find(name); it != machines_.end()) it->second.cut = false;
      });
    }
  }
}

void ClusterSimulation::cut_fault(const Fault& f) {
  double until = simulator_.now() + f.for_s;
  CutMode mode = f.mode == "refuse" ? CutMode::Refuse : f.mode == "reset" ? CutMode::Reset : CutMode::Hold;
  // Both ways, or only what comes from the first.
  auto cut = [&](std::function<bool(const Host&, const Host&)> from_to) {
    bool one_way = f.one_way;
    simulator_.cut([from_to, one_way](const Host& a,
                                      const Host& b) { return from_to(a, b) || (!one_way && from_to(b, a)); },
                   mode, until);
  };
  if (f.kind == "zone_cut")
    return cut(
        [zone = f.zone](const Host& a, const Host& b) { return a.zone() == zone && b.zone() != zone; });
  if (f.kind == "zone_partition")
    return cut([z = f.zones](const Host& a, const Host& b) { return a.zone() == z[0] && b.zone() == z[1]; });
  if (f.kind == "peers_refuse") {
    mode = CutMode::Refuse;
    return cut([](const Host& a, const Host& b) { return a.role == "controller" && b.role == "controller"; });
  }
  auto to_state = [](const Host& a, const Host& b) { return a.role == "controller" && b.role == "state"; };
  if (f.kind == "answers_lost")
    return simulator_.lose_answers([to_state](const Host& a, const Host& b) { return to_state(b, a); },
                                   f.share, until);
  if (f.kind == "state_slow") return simulator_.slow(to_state, f.factor * 10, until);
  for (auto* p : chosen(f)) {
    bool all = !f.from_state && !f.from_workers && !f.from_peers;
    // By address: whoever runs there meanwhile.
    auto ip = p->host->ip();
    if (f.kind == "node_slow") {
      simulator_.slow([ip](const Host& a, const Host& b) { return a.ip() == ip || b.ip() == ip; },
                      f.factor * 10, until);
      continue;
    }
    cut([ip, all, f](const Host& a, const Host& b) {
      if (a.ip() != ip) return false;
      return all || (f.from_state && b.role == "state") || (f.from_workers && b.role == "worker") ||
             (f.from_peers && b.role == "controller");
    });
  }
}

}  // namespace corkmux::simulation

// The door at which workers' reports arrive: who is sent elsewhere, and by which way a report that stays
// reaches the leader.
#include <algorithm>

#include "controller_constants.h"
#include "gateway.h"

namespace corkmux {
namespace c = constants;
namespace {

/// Takes the leader's reply and passes it on as an HTTP status and body.
HeartbeatCallback as_http(std::function<void(int status, std::string body)> pass) {
  return [pass = std::move(pass)](HeartbeatReply reply) {
    bool answered = reply.status == HeartbeatReply::Status::Answered;
    pass(answered ? 200 : 503, std::move(reply.commands));
  };
}

}  // namespace

void Gateway::heartbeat(Id id, const std::string& body) {
  auto pass = [this, id](int status, std::string bytes) {
    server_.respond(id, {status, std::move(bytes), 0, false});
  };
  auto parsed = codec::unpack(body);
  auto r = parsed ? codec::parse_heartbeat(*parsed) : std::nullopt;
  if (!r) return answer(id, 400, codec::error_to_wire("not a report"));
  double now = steady_now();
  WorkerConnectionState& v = worker_connections_[r->machine];
  // A worker that is back soon after it was sent on could not get there; we may be able to help it.
  if (now - v.redirected_at < c::kRelayWindow) v.relay_until = now + c::kRelayTime;
  bool unknown_worker = now - v.seen_at > settings_.lease_s / 2;
  v.seen_at = now;
  if (auto other = redirect_target(*r, v); !other.empty()) return redirect(other, v, pass);
  if (now - std::exchange(v.served_at, now) > settings_.lease_s) ++served_here_;
  heartbeat_to_leader(std::move(*r), body, unknown_worker, pass);
}

std::string Gateway::redirect_target(const Heartbeat& r, WorkerConnectionState& v) {
  double now = steady_now();
  bool leads = leader_label_ == settings_.label;
  auto usable = [this](const std::string& label) {
    return label == settings_.label || peer_exchange_.reachable(label);
  };
  if (now < v.relay_until) return "";
  // A leader of a former version takes no batches and serves all itself.
  bool former = !leads && peer_exchange_.reachable(leader_label_) && !peer_exchange_.serves(leader_label_);
  auto server = former && !leader_label_.empty() ? "" : sharding_.owner_of(r.machine, r.zone, usable);
  if (server.empty()) {
    // The leader serves all. One that we know to be beyond a cut is not sent there: a try takes the worker up
    // to 4 s of its lease.
    if (leads || leader_label_.empty()) return "";
    if (peer_exchange_.reachable(leader_label_)) return leader_label_;
    v.relay_until = now + c::kRelayTime;
    return "";
  }
  if (server == settings_.label) {
    bool served_already = now - v.served_at < settings_.lease_s;
    if (served_already || served_here_ < c::kServedShare * settings_.max_connections) return "";
    return sharding_.owner_of(r.machine, r.zone, [&](const std::string& label) {
      return label != settings_.label && usable(label);
    });
  }
  return may_move(v) ? server : "";
}

/// Whoever comes for the first time goes on at once; those that are served here move a few at a time.
bool Gateway::may_move(const WorkerConnectionState& v) {
  double now = steady_now();
  if (now - v.served_at > settings_.lease_s) return true;
  double rate = std::max(c::kMovesPerSecond, c::kMovesShare * served_here_);
  moves_left_ = std::min(rate, moves_left_ + (now - moves_at_) * rate);
  moves_at_ = now;
  if (moves_left_ < 1) return false;
  moves_left_ -= 1;
  return true;
}

void Gateway::redirect(const std::string& label, WorkerConnectionState& v, const PassReply& pass) {
  v.redirected_at = steady_now();
  v.served_at = -1e9;
  pass(421, codec::pack(codec::redirect_to_wire(label)));
}

void Gateway::heartbeat_to_leader(Heartbeat r, const std::string& body, bool unknown_worker, PassReply pass) {
  if (leader_label_ == settings_.label)
    return leader_.tell([r = std::move(r), pass](Leader& leader) mutable {
      leader.heartbeat(std::move(r), Leader::Way::Direct, as_http(pass));
    });
  // Without a leader a worker that we serve waits for the next one; others find it by themselves.
  bool served = sharding_.serves(settings_.label);
  if (leader_label_.empty()) {
    if (!served) return pass(503, "");
    return forward(std::move(r), body, std::move(pass));
  }
  auto keep = [this, pass](Heartbeat lost) {
    lease_proxy_.tell(
        [lost = std::move(lost), pass](LeaseProxy& k) mutable { k.keep(std::move(lost), pass); });
  };
  auto passed_on = [this, pass, keep, lost = r](int status, std::string bytes) mutable {
    if (status == 0) return keep(std::move(lost));
    if (status != 200) worker_connections_.erase(lost.machine);
    if (status == 200) lease_proxy_.tell([name = lost.machine](LeaseProxy& k) { k.release(name); });
    pass(status, std::move(bytes));
  };
  if (peer_exchange_.reachable(leader_label_)) {
    if (peer_exchange_.serves(leader_label_)) return forward(std::move(r), body, std::move(passed_on));
    return peer_exchange_.relay(leader_label_, body, std::move(passed_on));
  }
  // Guards against leases that run out on the way: a worker that comes to us from a controller beyond the
  // cut or one that has ended may have spent most of its lease on time-outs. Its next report goes to the
  // leader.
  if (unknown_worker) return keep(std::move(r));
  // Beyond a cut the state service still carries reports to the leader; only where it does not, the worker
  // is merely kept alive.
  store_relay_.tell([to = leader_label_, body, passed_on = std::move(passed_on)](StoreRelay& m) mutable {
    m.request(to, body, std::move(passed_on));
  });
}

void Gateway::forward(Heartbeat r, const std::string& body, PassReply reply) {
  forwarder_.tell([r = std::move(r), bytes = std::string(body),
                   reply = std::move(reply)](fanin::HeartbeatForwarder& f) mutable {
    f.forward(r, std::move(bytes), std::move(reply));
  });
}

void Gateway::forget_worker_connections() {
  double now = steady_now();
  std::erase_if(worker_connections_,
                [&](const auto& e) { return now - e.second.seen_at > c::kWorkerConnectionMemory; });
  served_here_ = static_cast<int>(
      std::count_if(worker_connections_.begin(), worker_connections_.end(),
                    [&](const auto& e) { return now - e.second.served_at < settings_.lease_s; }));
}

void Gateway::relayed(const std::string& body, std::function<void(int, std::string)> reply, Leader::Way way) {
  auto parsed = codec::unpack(body);
  auto r = parsed ? codec::parse_heartbeat(*parsed) : std::nullopt;
  if (!r) return reply(400, "");
  if (leader_label_ != settings_.label) return reply(503, "");
  leader_.tell([r = std::move(*r), reply = std::move(reply), way](Leader& leader) mutable {
    leader.heartbeat(std::move(r), way, as_http(std::move(reply)));
  });
}

}  // namespace corkmux

#include "worker_endpoint.h"

#include <algorithm>

namespace corkmux {
namespace {

std::optional<Heartbeat> parse(const std::string& body) {
  auto unpacked = codec::unpack(body);
  return unpacked ? codec::parse_heartbeat(*unpacked) : std::nullopt;
}

}  // namespace

WorkerEndpoint::WorkerEndpoint(Loop& loop, const Settings& settings, LeaderRoutes routes)
    : settings_(settings), routes_(routes), sweep_timer_(loop) {}

void WorkerEndpoint::start() {
  sweep_timer_.every(constants::kWorkerConnectionSweepInterval, [this] { forget_old_connections(); });
}

// ---------------------------------------------------------------- requests

void WorkerEndpoint::heartbeat(const Responder& worker, const std::string& body) {
  auto parsed = parse(body);
  if (!parsed) return worker.error(400, "not a report");
  double now = steady_now();
  WorkerConnectionState& connection = connections_[parsed->machine];
  // A worker that returns soon after a redirect could not reach its target; this controller may be able to
  // relay its heartbeats.
  if (now - connection.redirected_at < constants::kReturnAfterRedirectWindow)
    connection.relay_until = now + constants::kRelayDuration;
  bool unknown_worker = now - connection.last_heartbeat_at > settings_.lease_s / 2;
  connection.last_heartbeat_at = now;
  if (auto target = redirect_target(*parsed, connection)) {
    connection.redirected_at = steady_now();
    connection.accepted_at = kLongAgo;
    return worker.answer(421, codec::redirect_to_wire(*target));
  }
  if (now - std::exchange(connection.accepted_at, now) > settings_.lease_s) ++recently_accepted_workers_;
  to_leader(std::move(*parsed), body, unknown_worker,
            [worker](const LeaderReply& reply) { worker.answer_encoded(reply.wire_status(), reply.body()); });
}

void WorkerEndpoint::relayed(const std::string& body, LeaderReplyCallback reply, HeartbeatRoute route) {
  auto parsed = parse(body);
  if (!parsed) return reply(LeaderReply::malformed());
  if (!is_leader()) return reply(LeaderReply::unavailable());
  to_own_leader(std::move(*parsed), route, std::move(reply));
}

// ---------------------------------------------------------------- changes

void WorkerEndpoint::leader_changed(const std::string& label) {
  // Which workers could not reach the former leader says nothing about the next one.
  if (label != leader_label_) connections_.clear();
  leader_label_ = label;
}

// ---------------------------------------------------------------- redirects

bool WorkerEndpoint::usable(const std::string& label) const {
  return label == settings_.label || routes_.peer_exchange.reachable(label);
}

std::optional<std::string> WorkerEndpoint::redirect_target(const Heartbeat& heartbeat,
                                                           WorkerConnectionState& connection) {
  if (steady_now() < connection.relay_until) return std::nullopt;
  // A leader of an older version accepts no batches and takes all heartbeats itself.
  bool older_version = !is_leader() && !leader_label_.empty() &&
                       routes_.peer_exchange.reachable(leader_label_) &&
                       !routes_.peer_exchange.takes_batches(leader_label_);
  if (older_version) return target_without_sharding(connection);
  auto owner = sharding_.owner_of(heartbeat.machine, heartbeat.zone,
                                  [this](const std::string& label) { return usable(label); });
  if (!owner) return target_without_sharding(connection);
  if (*owner == settings_.label) return target_for_own_worker(heartbeat, connection);
  return may_rebalance(connection) ? owner : std::nullopt;
}

std::optional<std::string> WorkerEndpoint::target_without_sharding(WorkerConnectionState& connection) const {
  if (is_leader() || leader_label_.empty()) return std::nullopt;
  if (routes_.peer_exchange.reachable(leader_label_)) return leader_label_;
  // A leader that this controller cannot reach is not a target: an attempt to reach it costs the worker up to
  // 4 s of its lease.
  connection.relay_until = steady_now() + constants::kRelayDuration;
  return std::nullopt;
}

std::optional<std::string> WorkerEndpoint::target_for_own_worker(
    const Heartbeat& heartbeat, const WorkerConnectionState& connection) const {
  bool accepted_already = steady_now() - connection.accepted_at < settings_.lease_s;
  bool has_free_capacity =
      recently_accepted_workers_ < constants::kHeartbeatSocketShare * settings_.max_connections;
  if (accepted_already || has_free_capacity) return std::nullopt;
  return sharding_.owner_of(heartbeat.machine, heartbeat.zone, [this](const std::string& label) {
    return label != settings_.label && usable(label);
  });
}

/// A worker without a recently accepted heartbeat is redirected at once; workers whose heartbeats this
/// controller takes so far move a few at a time.
bool WorkerEndpoint::may_rebalance(const WorkerConnectionState& connection) {
  double now = steady_now();
  if (now - connection.accepted_at > settings_.lease_s) return true;
  double rate =
      std::max(constants::kMinRebalancesPerSecond, constants::kRebalanceShare * recently_accepted_workers_);
  rebalance_allowance_ = std::min(rate, rebalance_allowance_ + (now - rebalance_allowance_at_) * rate);
  rebalance_allowance_at_ = now;
  if (rebalance_allowance_ < 1) return false;
  rebalance_allowance_ -= 1;
  return true;
}

// ---------------------------------------------------------------- routes to the leader

void WorkerEndpoint::to_leader(Heartbeat heartbeat, const std::string& body, bool unknown_worker,
                               LeaderReplyCallback reply) {
  if (is_leader()) return to_own_leader(std::move(heartbeat), HeartbeatRoute::Direct, std::move(reply));
  if (!leader_label_.empty()) return to_known_leader(std::move(heartbeat), body, unknown_worker, reply);
  // Without a leader, heartbeats to a fan-in member wait for the next leader; workers of other controllers
  // find it by themselves.
  if (!sharding_.contains(settings_.label)) return reply(LeaderReply::unavailable());
  forward(std::move(heartbeat), body, std::move(reply));
}

void WorkerEndpoint::to_known_leader(Heartbeat heartbeat, const std::string& body, bool unknown_worker,
                                     const LeaderReplyCallback& reply) {
  LeaderReplyCallback replied = [this, reply, heartbeat](LeaderReply answer) {
    leader_replied(heartbeat, std::move(answer), reply);
  };
  if (routes_.peer_exchange.reachable(leader_label_)) {
    if (routes_.peer_exchange.takes_batches(leader_label_))
      return forward(std::move(heartbeat), body, std::move(replied));
    return routes_.peer_exchange.relay(leader_label_, body, std::move(replied));
  }
  // Keeps leases from expiring on the way: a worker that comes from a controller beyond the partition, or
  // from one that has stopped, may have spent most of its lease on timeouts. Its next heartbeat goes to the
  // leader.
  if (unknown_worker) return renew_by_proxy(std::move(heartbeat), reply);
  // The state store can still carry heartbeats to a leader beyond a partition; only where it does not, the
  // worker's lease is renewed by proxy.
  routes_.store_relay.tell(
      [leader = leader_label_, body, replied = std::move(replied)](StoreRelay& store_relay) mutable {
        store_relay.request(leader, body, std::move(replied));
      });
}

void WorkerEndpoint::to_own_leader(Heartbeat heartbeat, HeartbeatRoute route, LeaderReplyCallback reply) {
  routes_.leader.tell(
      [heartbeat = std::move(heartbeat), reply = std::move(reply), route](Leader& leader) mutable {
        leader.heartbeat(std::move(heartbeat), route, [reply = std::move(reply)](HeartbeatReply answer) {
          reply(to_leader_reply(std::move(answer)));
        });
      });
}

void WorkerEndpoint::forward(Heartbeat heartbeat, const std::string& body, LeaderReplyCallback reply) {
  routes_.forwarder.tell([heartbeat = std::move(heartbeat), body = std::string(body),
                          reply = std::move(reply)](fanin::HeartbeatForwarder& forwarder) mutable {
    forwarder.forward(heartbeat, std::move(body), std::move(reply));
  });
}

void WorkerEndpoint::renew_by_proxy(Heartbeat heartbeat, LeaderReplyCallback reply) {
  routes_.lease_proxy.tell([heartbeat = std::move(heartbeat),
                            reply = std::move(reply)](LeaseProxy& lease_proxy) mutable {
    lease_proxy.renew(std::move(heartbeat), [reply = std::move(reply)](std::optional<std::string> commands) {
      reply(commands ? LeaderReply::answered(std::move(*commands)) : LeaderReply::unavailable());
    });
  });
}

void WorkerEndpoint::leader_replied(Heartbeat heartbeat, LeaderReply answer,
                                    const LeaderReplyCallback& reply) {
  if (answer.is_unanswered()) return renew_by_proxy(std::move(heartbeat), reply);
  if (answer.is_answered())
    routes_.lease_proxy.tell(
        [machine = heartbeat.machine](LeaseProxy& lease_proxy) { lease_proxy.release(machine); });
  else
    connections_.erase(heartbeat.machine);
  reply(std::move(answer));
}

// ---------------------------------------------------------------- timers

void WorkerEndpoint::forget_old_connections() {
  double now = steady_now();
  std::erase_if(connections_, [&](const auto& entry) {
    return now - entry.second.last_heartbeat_at > constants::kWorkerConnectionRetention;
  });
  recently_accepted_workers_ =
      static_cast<int>(std::count_if(connections_.begin(), connections_.end(), [&](const auto& entry) {
        return now - entry.second.accepted_at < settings_.lease_s;
      }));
}

}  // namespace corkmux

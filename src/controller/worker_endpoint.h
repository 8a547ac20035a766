// Receives workers' heartbeats: redirects a worker to the controller that should take its heartbeats, or
// passes the heartbeat to the leader by the best route available and answers with the leader's reply. Owns
// what is kept about each worker's connection; renews no lease by itself and does not handle jobs.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>

#include "heartbeat_forwarder.h"
#include "leader.h"
#include "leader_reply.h"
#include "lease_proxy.h"
#include "peer_exchange.h"
#include "responder.h"
#include "settings.h"
#include "store_relay.h"
#include "time_constants.h"
#include "worker_sharding.h"

namespace corkmux {

namespace constants {
/// s; a worker that returns within it after a redirect could not reach the leader.
inline constexpr double kReturnAfterRedirectWindow = 8.0;
/// s that a worker is relayed here before it is redirected again.
inline constexpr double kRelayDuration = 30.0;
/// Share of a controller's sockets that workers' heartbeats may take.
inline constexpr double kHeartbeatSocketShare = 0.35;
/// Workers that a controller redirects for balance per second: the larger of the first number and of the
/// second, a share of the workers that it serves.
inline constexpr double kMinRebalancesPerSecond = 40;
inline constexpr double kRebalanceShare = 0.05;
inline constexpr double kWorkerConnectionSweepInterval = 5;  // s
inline constexpr double kWorkerConnectionRetention = 120;    // s that a connection's state is kept
}  // namespace constants

class WorkerEndpoint {
 public:
  /// The routes by which a heartbeat can reach the leader.
  struct LeaderRoutes {
    Leader& leader;
    PeerExchange& peer_exchange;
    LeaseProxy& lease_proxy;
    StoreRelay& store_relay;
    fanin::HeartbeatForwarder& forwarder;
  };
  WorkerEndpoint(Loop& loop, const Settings& settings, LeaderRoutes routes);
  void start();

  // Requests.
  void heartbeat(const Responder& worker, const std::string& body);
  /// Handles a heartbeat that a peer passed on because its worker could not reach this controller.
  void relayed(const std::string& body, LeaderReplyCallback reply, HeartbeatRoute route);

  // Changes.
  /// Empty: no leader is known.
  void leader_changed(const std::string& label);
  /// Sets which controllers take heartbeats from now on; without members: the leader alone.
  void sharding_changed(fanin::WorkerSharding sharding) { sharding_ = std::move(sharding); }

  /// Whether workers can be redirected to another leader.
  bool successor_known() const { return !leader_label_.empty() && !is_leader(); }

 private:
  /// State of the connection to one worker; times in s of the steady clock.
  struct WorkerConnectionState {
    double redirected_at = kLongAgo;
    double relay_until = kLongAgo;
    double last_heartbeat_at = kLongAgo;
    double accepted_at = kLongAgo;  // when this controller last took a heartbeat of the worker
  };
  bool is_leader() const { return leader_label_ == settings_.label; }
  /// The controller to which the worker should send its heartbeats instead; no value: this one.
  std::optional<std::string> redirect_target(const Heartbeat& heartbeat, WorkerConnectionState& connection);
  std::optional<std::string> target_without_sharding(WorkerConnectionState& connection) const;
  std::optional<std::string> target_for_own_worker(const Heartbeat& heartbeat,
                                                   const WorkerConnectionState& connection) const;
  bool usable(const std::string& label) const;
  bool may_rebalance(const WorkerConnectionState& connection);
  void to_leader(Heartbeat heartbeat, const std::string& body, bool unknown_worker,
                 LeaderReplyCallback reply);
  void to_known_leader(Heartbeat heartbeat, const std::string& body, bool unknown_worker,
                       const LeaderReplyCallback& reply);
  void to_own_leader(Heartbeat heartbeat, HeartbeatRoute route, LeaderReplyCallback reply);
  void forward(Heartbeat heartbeat, const std::string& body, LeaderReplyCallback reply);
  void renew_by_proxy(Heartbeat heartbeat, LeaderReplyCallback reply);
  void leader_replied(Heartbeat heartbeat, LeaderReply answer, const LeaderReplyCallback& reply);
  void forget_old_connections();

  const Settings& settings_;
  LeaderRoutes routes_;
  std::string leader_label_;
  fanin::WorkerSharding sharding_;
  std::unordered_map<std::string, WorkerConnectionState> connections_;  // by machine
  double rebalance_allowance_ = 0;     // workers that may be redirected for balance
  double rebalance_allowance_at_ = 0;  // when the allowance was computed, s of the steady clock
  int recently_accepted_workers_ = 0;  // workers accepted here within lease_s, recounted at each sweep
  Timer sweep_timer_;
};

}  // namespace corkmux

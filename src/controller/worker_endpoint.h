// Where workers' heartbeats arrive: sends a worker to the controller that should take its heartbeats, or
// passes the heartbeat to the leader by the best way that is open, and answers with what came back. Owns what
// is remembered of each worker's connection; renews no lease by itself and knows nothing of jobs.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>

#include "heartbeat_forwarder.h"
#include "leader.h"
#include "lease_proxy.h"
#include "peer_exchange.h"
#include "responder.h"
#include "settings.h"
#include "store_relay.h"
#include "time_constants.h"
#include "worker_sharding.h"

namespace corkmux {

namespace constants {
inline constexpr double kRelayWindow = 8.0;  // s; a worker back within it could not reach the leader
inline constexpr double kRelayTime = 30.0;   // s a worker is relayed here before it is redirected again
/// Share of a controller's sockets for workers' heartbeats.
inline constexpr double kHeartbeatSocketShare = 0.35;
/// Workers that a controller redirects for balance, a second: so many at least, or that share of its own.
inline constexpr double kMovesPerSecond = 40;
inline constexpr double kMovesShare = 0.05;
inline constexpr double kWorkerConnectionSweepInterval = 5;  // s
inline constexpr double kWorkerConnectionMemory = 120;       // s a worker that came is remembered
}  // namespace constants

class WorkerEndpoint {
 public:
  using ReplyCallback = std::function<void(int status, std::string body)>;
  /// The ways by which a heartbeat can reach the leader.
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
  /// A heartbeat that a peer passed on because its worker could not reach us.
  void relayed(const std::string& body, ReplyCallback reply, HeartbeatRoute route);

  // Changes.
  /// Empty: no leader is known.
  void leader_changed(const std::string& label);
  /// Which controllers take heartbeats from now on; none: the leader alone.
  void sharding_changed(fanin::WorkerSharding sharding) { sharding_ = std::move(sharding); }

  /// Whether workers can be redirected to another leader.
  bool successor_known() const { return !leader_label_.empty() && !leads(); }

 private:
  /// What is remembered of a worker that has come; times in s of the steady clock.
  struct WorkerConnectionState {
    double redirected_at = kLongAgo;
    double relay_until = kLongAgo;
    double seen_at = kLongAgo;
    double accepted_at = kLongAgo;  // when its heartbeat was last taken here
  };
  bool leads() const { return leader_label_ == settings_.label; }
  /// Where a worker should send its heartbeats instead.
  std::optional<std::string> redirect_target(const Heartbeat& heartbeat, WorkerConnectionState& connection);
  std::optional<std::string> target_without_sharding(WorkerConnectionState& connection) const;
  std::optional<std::string> target_for_own_worker(const Heartbeat& heartbeat,
                                                   const WorkerConnectionState& connection) const;
  bool usable(const std::string& label) const;
  bool may_move(const WorkerConnectionState& connection);
  void to_leader(Heartbeat heartbeat, const std::string& body, bool unknown_worker, ReplyCallback reply);
  void to_known_leader(Heartbeat heartbeat, const std::string& body, bool unknown_worker,
                       const ReplyCallback& reply);
  void to_own_leader(Heartbeat heartbeat, HeartbeatRoute route, ReplyCallback reply);
  void forward(Heartbeat heartbeat, const std::string& body, ReplyCallback reply);
  void renew_by_proxy(Heartbeat heartbeat, ReplyCallback reply);
  void leader_replied(Heartbeat heartbeat, int status, std::string body, const ReplyCallback& reply);
  void forget_old_connections();

  const Settings& settings_;
  LeaderRoutes routes_;
  std::string leader_label_;
  fanin::WorkerSharding sharding_;
  std::unordered_map<std::string, WorkerConnectionState> connections_;  // by machine
  double moves_left_ = 0;    // workers that may be redirected for balance, as of moves_at_
  double moves_at_ = 0;      // s of the steady clock
  int accepted_lately_ = 0;  // workers whose heartbeats were taken here, counted every so often
  Timer sweep_timer_;
};

}  // namespace corkmux

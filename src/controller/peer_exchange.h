// What controllers say to each other: a sync with each peer every kPeerTick (who leads, who has the state
// service, job displays, cancels, fan-in members), and heartbeats and commands that pass through. Owns the
// connections between controllers and what was last heard of each; judges nothing of what it carries.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cancel_gossip.h"
#include "fanin_membership.h"
#include "fanin_messages.h"
#include "http.h"
#include "leader_reply.h"
#include "settings.h"
#include "sync_message.h"
#include "time_constants.h"

namespace corkmux {

namespace constants {
inline constexpr double kPeerTick = 1.0;               // s between syncs with a peer
inline constexpr int kViewsPerSync = 200;              // job displays in one message
inline constexpr std::size_t kPeerConnections = 256;   // a controller takes; each of its peers opens some six
inline constexpr std::size_t kConnectionsPerPeer = 4;  // of either kind, to one peer
inline constexpr std::size_t kSyncQueue = 64;          // requests that wait for one peer's connections
inline constexpr std::size_t kBatchQueue = 64;         // batches that wait for one peer's connections
inline constexpr double kPeerLost = 3.0;           // s without an answer until a peer counts as unreachable
inline constexpr double kRefusedLogInterval = 10;  // s between log lines about refused messages
}  // namespace constants

class PeerExchange : public Actor<PeerExchange> {
 public:
  /// One answer for each heartbeat of a batch; no value: this controller does not lead.
  using BatchReplyCallback = std::function<void(const std::optional<std::vector<fanin::HeartbeatAnswer>>&)>;
  using PostCallback = std::function<void(http::Result)>;
  struct Callbacks {
    std::function<double()> state_age;                   // s since the state service last served us
    std::function<double()> dependency_barrier_at;       // Leader::dependency_barrier_at() of our own terms
    std::function<void(std::uint64_t term)> newer_term;  // a peer names a leader's term
    std::function<void(const codec::JobView&)> view;     // a job's display from the leader
    std::function<void(std::string body, LeaderReplyCallback)> heartbeat;  // that a peer relays
    std::function<void(fanin::HeartbeatBatch, BatchReplyCallback)>
        heartbeats;  // of a fan-in member, for a leader
    /// Commands of the leader for workers of our shard; false: none of them was or will be sent.
    std::function<bool(const fanin::ForwardedCommandBatch&)> commands;
  };
  PeerExchange(Loop& loop, const Settings& settings, CancelGossip& cancel_gossip, FanInMembership& membership,
               Callbacks callbacks);
  void start();

  // Changes.
  /// Empty label: no leader is known; term 0: its term is not.
  void leader_changed(const std::string& label, std::uint64_t term);
  /// Job displays for the other controllers, as the leader.
  void publish(const std::vector<codec::JobView>& views);
  /// Says, as the leader, which controllers take heartbeats from now on.
  void announce_fanin_members(std::vector<std::string> members) {
    membership_.announce(term_, std::move(members));
  }
  /// A dependency barrier known from another source, s of the steady clock.
  void learn_dependency_barrier(double at) { barrier_heard_ = std::max(barrier_heard_, at); }

  // Messages to one peer.
  /// One worker's heartbeat, for a leader that takes no batches.
  void relay(const std::string& label, std::string body, LeaderReplyCallback reply);
  /// From a fan-in member to the leader.
  void post_heartbeats(const std::string& label, std::string body, PostCallback done);
  /// From the leader to a fan-in member.
  void post_commands(const std::string& label, std::string body, PostCallback done);

  // What is known of peers.
  /// Whether that peer is of a version that takes batches.
  bool takes_batches(const std::string& label) const;
  /// False only for a peer we know and have not heard for a while.
  bool reachable(const std::string& label) const;
  /// Peers that can be fan-in members: of a version that can, heard lately, with the state service.
  std::vector<std::string> eligible_fanin_members() const;
  const std::vector<std::string>& fanin_members() const { return membership_.members(); }
  /// The latest that any controller has said of Leader::dependency_barrier_at(), s of our steady clock.
  double dependency_barrier_at() const;
  /// Steady time at which the state service last served some peer, as far as we have heard.
  double peers_state_at() const;
  /// s since any peer was last heard; 0 where there are none.
  double silent_for() const;
  int port() const { return server_.port(); }

 private:
  struct Peer {
    std::unique_ptr<http::Client> syncs;
    /// Apart from `syncs`, so that batches never wait behind them nor the other way round.
    std::unique_ptr<http::Client> batches;
    bool syncing = false;
    double heard_at = steady_now();  // when it last answered us
    double state_at = kLongAgo;      // when the state service last served it
    bool takes_batches = false;
    std::unordered_map<std::string, codec::JobView> views;  // that it has not been sent, by job
  };
  void tick();
  void sync(const std::string& label, Peer& peer);
  void synced(const std::string& label, Peer& peer, double asked_at, const http::Result& result);
  PeerStatus own_status() const;
  void heard(const PeerStatus& status);
  void post(const std::string& label, const char* path, std::string body, double timeout_s,
            PostCallback done);

  void serve(http::Server::ConnectionId caller, http::Request request);
  void serve_sync(http::Server::ConnectionId caller, const std::string& body);
  void serve_heartbeats(http::Server::ConnectionId caller, const std::string& body);
  void serve_commands(http::Server::ConnectionId caller, const std::string& body);
  void refuse(http::Server::ConnectionId caller, const char* why);
  void respond(http::Server::ConnectionId caller, int status, std::string body = "");

  std::string label_;
  CancelGossip& cancel_gossip_;
  FanInMembership& membership_;
  Callbacks callbacks_;
  std::map<std::string, Peer> peers_;  // by label
  std::string leader_;
  std::uint64_t term_ = 0;
  double barrier_heard_ = kLongAgo;
  double any_heard_at_ = steady_now();
  double refusal_logged_at_ = kLongAgo;
  http::Server server_;
  Timer timer_;
};

}  // namespace corkmux

// Exchanges messages with the other controllers: a sync with each peer every kPeerTick (leader, contact with
// the state store, job displays, cancels, fan-in members), and forwarded heartbeats and commands. Owns the
// connections between controllers and the last state received from each; does not interpret the payloads.
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
inline constexpr std::size_t kPeerConnections = 256;   // that a controller accepts; each peer opens about six
inline constexpr std::size_t kConnectionsPerPeer = 4;  // to one peer, for syncs and for batches each
inline constexpr std::size_t kSyncQueue = 64;          // requests that wait for one peer's connections
inline constexpr std::size_t kBatchQueue = 64;         // batches that wait for one peer's connections
inline constexpr double kPeerUnreachableAfter = 3.0;   // s without an answer
inline constexpr double kRefusedLogInterval = 10;      // s between log lines about refused messages
}  // namespace constants

class PeerExchange : public Actor<PeerExchange> {
 public:
  /// One answer for each heartbeat of a batch; no value: this controller does not lead.
  using BatchReplyCallback = std::function<void(const std::optional<std::vector<fanin::HeartbeatAnswer>>&)>;
  using PostCallback = std::function<void(http::Result)>;
  struct Callbacks {
    std::function<double()> state_age;              // s since the state store last answered this controller
    std::function<double()> dependency_barrier_at;  // Leader::dependency_barrier_at() of own terms
    std::function<void(std::uint64_t term)> newer_term;  // a peer reports a newer term of a leader
    std::function<void(const codec::JobView&)> view;     // a job's display from the leader
    std::function<void(std::string body, LeaderReplyCallback)> heartbeat;  // relayed by a peer
    std::function<void(fanin::HeartbeatBatch, BatchReplyCallback)>
        heartbeats;  // from a fan-in member, for a leader
    /// Commands of the leader for workers of this controller's shard; false: none of them was or will be
    /// sent.
    std::function<bool(const fanin::ForwardedCommandBatch&)> commands;
  };
  PeerExchange(Loop& loop, const Settings& settings, CancelGossip& cancel_gossip, FanInMembership& membership,
               Callbacks callbacks);
  void start();

  // Changes.
  /// Empty label: no leader is known; term 0: the leader's term is not known.
  void leader_changed(const std::string& label, std::uint64_t term);
  /// Queues job displays for the other controllers; called on the leader.
  void publish(const std::vector<codec::JobView>& views);
  /// Announces which controllers take heartbeats from now on; called on the leader.
  void announce_fanin_members(std::vector<std::string> members) {
    membership_.announce(term_, std::move(members));
  }
  /// Takes in a dependency barrier from another source, s of the steady clock.
  void update_dependency_barrier(double at) { received_barrier_at_ = std::max(received_barrier_at_, at); }

  // Messages to one peer.
  /// Sends one worker's heartbeat to a leader that does not take batches.
  void relay(const std::string& label, std::string body, LeaderReplyCallback reply);
  /// Sends a batch of heartbeats from a fan-in member to the leader.
  void post_heartbeats(const std::string& label, std::string body, PostCallback done);
  /// Sends a batch of commands from the leader to a fan-in member.
  void post_commands(const std::string& label, std::string body, PostCallback done);

  // State of the peers.
  /// Whether the peer's version takes batches.
  bool takes_batches(const std::string& label) const;
  /// False only for a known peer that has not answered for kPeerUnreachableAfter.
  bool reachable(const std::string& label) const;
  /// Peers that can be fan-in members: their version takes batches, they answered within
  /// kPeerUnreachableAfter, and they reached the state store within kStateStoreOutageLimit.
  std::vector<std::string> eligible_fanin_members() const;
  const std::vector<std::string>& fanin_members() const { return membership_.members(); }
  /// The latest Leader::dependency_barrier_at() of any controller, as far as received; s of this machine's
  /// steady clock.
  double dependency_barrier_at() const;
  /// When the state store last answered any peer, as far as received; s of the steady clock.
  double peers_state_at() const;
  /// s since the last sync request or answer of any peer; 0 without peers.
  double time_since_message() const;
  int port() const { return server_.port(); }

 private:
  struct Peer {
    std::unique_ptr<http::Client> syncs;
    /// Apart from `syncs`, so that neither batches nor syncs wait for the other.
    std::unique_ptr<http::Client> batches;
    bool syncing = false;
    double answered_at = steady_now();  // when it last answered a sync
    double state_at = kLongAgo;         // when the state store last answered it
    bool takes_batches = false;
    std::unordered_map<std::string, codec::JobView> views;  // not sent to it yet, by job id
  };
  void tick();
  void sync(const std::string& label, Peer& peer);
  void synced(const std::string& label, Peer& peer, double requested_at, const http::Result& result);
  PeerStatus own_status() const;
  void receive_status(const PeerStatus& status);
  void post(const std::string& label, const char* path, std::string body, double timeout_s,
            PostCallback done);

  void serve(http::Server::ConnectionId caller, http::Request request);
  void serve_sync(http::Server::ConnectionId caller, const std::string& body);
  void serve_heartbeats(http::Server::ConnectionId caller, const std::string& body);
  void serve_commands(http::Server::ConnectionId caller, const std::string& body);
  void refuse(http::Server::ConnectionId caller, const char* reason);
  void respond(http::Server::ConnectionId caller, int status, std::string body = "");

  std::string label_;
  CancelGossip& cancel_gossip_;
  FanInMembership& membership_;
  Callbacks callbacks_;
  std::map<std::string, Peer> peers_;  // by label
  std::string leader_;
  std::uint64_t term_ = 0;
  double received_barrier_at_ = kLongAgo;
  double last_message_at_ = steady_now();
  double refusal_logged_at_ = kLongAgo;
  http::Server server_;
  Timer timer_;
};

}  // namespace corkmux

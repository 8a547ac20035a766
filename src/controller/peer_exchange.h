// What controllers say to each other: who leads, who has the state service, job displays, relayed reports.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "codec.h"
#include "fanin_messages.h"
#include "http.h"
#include "settings.h"

namespace corkmux {

namespace constants {
inline constexpr double kPeerTick = 1.0;              // s between syncs with a peer
inline constexpr std::size_t kPeerConnections = 256;  // a controller takes; each of its peers opens some six
inline constexpr double kPeerLost = 3.0;           // s without an answer until a peer counts as unreachable
inline constexpr double kRefusedLogInterval = 10;  // s between log lines about refused messages
inline constexpr std::size_t kBatchQueue = 64;     // batches that wait for one peer's connections
inline constexpr std::size_t kToldCancels = 500;   // in one list to a peer of a former version
inline constexpr double kCancelMemory = 0.02;      // of our memory for our own cancels, and for the peers'
inline constexpr double kCancelBytes = 150;        // of memory for one of them
}  // namespace constants

class PeerExchange : public Actor<PeerExchange> {
 public:
  struct Callbacks {
    std::function<double()> state_age;                   // have we the state service?
    std::function<void(std::uint64_t term)> newer_term;  // a peer names a leader's term
    std::function<void(const codec::JobView&)> view;     // a job's display from the leader
    std::function<void(std::string body, std::function<void(int, std::string)>)>
        heartbeat;                                                   // a relayed report
    std::function<void(const std::vector<std::string>&)> cancelled;  // jobs whose cancel a peer accepted
    /// Every peer was asked at or after `asked_at` and told all its cancels; the youngest life of a peer was
    /// first seen at `youngest`.
    std::function<void(double asked_at, double youngest)> all_heard;
    std::function<double()> dependency_barrier_at;  // Leader::dependency_barrier_at() of our own terms
    /// A batch of a serving controller, for a leader.
    std::function<void(fanin::HeartbeatBatch, std::function<void(int, std::string)>)> heartbeats;
    /// Orders of the leader for workers that we serve; false: nothing of them was or will be sent.
    std::function<bool(const fanin::ForwardedCommandBatch&)> commands;
    /// Which controllers serve workers, by the newest word of a leader; none: the leader alone does.
    std::function<void(const std::vector<std::string>& labels)> fanin_changed;
  };
  PeerExchange(Loop& loop, const Settings& settings, Callbacks callbacks);
  void start();
  void leader_changed(const std::string& label, std::uint64_t term);
  void publish(std::vector<codec::JobView> views);
  /// Status 0: the peer did not answer.
  void relay(const std::string& label, std::string body, std::function<void(int, std::string)> reply);
  /// Batches and orders between a serving controller and the leader.
  void post_heartbeats(const std::string& label, std::string body, std::function<void(http::Result)> done);
  void post_commands(const std::string& label, std::string body, std::function<void(http::Result)> done);
  /// Says, as the leader, which controllers serve workers from now on.
  void announce_fanin_members(std::vector<std::string> labels);
  const std::vector<std::string>& fanin_members() const { return serving_.labels; }
  /// Whether that peer is of a version that takes batches.
  bool takes_batches(const std::string& label) const {
    auto it = peers_.find(label);
    return it != peers_.end() && it->second.serves;
  }
  /// Peers that can serve workers: of a version that does, heard lately, with the state service.
  std::vector<std::string> eligible_fanin_members() const;
  /// A cancel this controller has accepted; peers are told until every effect of it must have shown.
  void accepted_cancel(const std::string& job);
  /// The latest that any controller has said of Leader::dependency_barrier_at(), s of our steady clock.
  double dependency_barrier_at() const;
  /// The same from another source.
  void learn_dependency_barrier(double at) { barrier_heard_ = std::max(barrier_heard_, at); }
  /// Steady time at which the state service last served some peer, as far as we have heard.
  double peers_state_at() const;
  /// False only for a peer we know and have not heard for a while.
  bool reachable(const std::string& label) const;
  /// s since any peer was last heard; 0 where there are none.
  double silent_for() const;
  int port() const { return server_.port(); }

 private:
  struct Peer {
    std::unique_ptr<http::Client> client;
    double state_at = -1e9;  // last moment the state service served it
    bool syncing = false;
    std::uint64_t boot = 0;
    double boot_seen_at = -1e9, answered_at = -1e9, heard_at = steady_now();
    double missed_at = -1e9;  // when names of its cancels were last lost, there or here
    std::uint64_t told = 0;   // number of the last of its cancels that we have heard
    bool odd_told = false;    // the log has said that it sends what it should not
    bool serves = false;      // its version can serve workers for a leader
    /// Apart from `client`, so that batches never wait behind greetings nor the other way round.
    std::unique_ptr<http::Client> batches;
    std::unordered_map<std::string, codec::JobView> outbox;
  };
  /// The newest word of a leader on who serves workers.
  struct Serving {
    std::uint64_t term = 0, number = 0;  // number: counts the leader's changes
    std::vector<std::string> labels;
  };
  void serve(http::Server::ConnectionId id, http::Request request);
  void serve_sync(http::Server::ConnectionId id, const codec::Json& body);
  void serve_heartbeats(http::Server::ConnectionId id, const std::string& body);
  void serve_commands(http::Server::ConnectionId id, const std::string& body);
  void refuse(http::Server::ConnectionId id, const std::string& from, const char* why);
  void learn_serving(const codec::Json& body);
  void post(const std::string& label, const char* path, std::string body, double timeout_s,
            std::function<void(http::Result)> done);
  void sync(Peer& peer);
  codec::Json greeting() const;
  /// The cancels that an asker has not heard of yet; to one of a former version all, as far as it takes them.
  void tell_cancels(const codec::Json& asked, codec::Json& answer);
  void prune_cancels();
  void tell_own_leader();
  void heard(const codec::Json& body);
  void answered(Peer& peer, const codec::Json& body, double asked_at);
  std::string label_;
  double cancel_s_;
  std::uint64_t boot_;  // tells one life of this process from the next
  struct Cancel {
    double at;
    std::string job;
  };
  std::size_t most_cancels_;
  std::deque<Cancel> cancels_;      // accepted here within cancel_s_, numbered in their order
  std::uint64_t first_cancel_ = 1;  // number of the front
  std::uint64_t lost_cancel_ = 0;   // of the last that there was no room for, while it is that young
  double lost_cancel_at_ = -1e9;
  std::unordered_map<std::string, double> heard_cancels_;  // accepted elsewhere, when we first heard of them
  double barrier_heard_ = -1e9;
  double any_heard_at_ = steady_now();
  Callbacks callbacks_;
  std::map<std::string, Peer> peers_;
  std::string leader_;
  std::uint64_t term_ = 0;
  Serving serving_;
  double refused_told_at_ = -1e9;  // when the log last said that a message was refused
  http::Server server_;
  Timer timer_;
};

}  // namespace corkmux

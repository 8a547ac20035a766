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
#include "http.h"
#include "settings.h"

namespace corkmux {

class Peers : public Actor<Peers> {
 public:
  struct Hooks {
    std::function<double()> state_age;                   // have we the state service?
    std::function<void(std::uint64_t term)> newer_term;  // a peer names a leader's term
    std::function<void(const codec::JobView&)> view;     // a job's display from the leader
    std::function<void(std::string body, std::function<void(int, std::string)>)> report;  // a relayed report
    std::function<void(const std::vector<std::string>&)> cancelled;  // jobs whose cancel a peer accepted
    /// Every peer was asked at or after `asked_at` and told all its cancels; the youngest life of a peer was
    /// first seen at `youngest`.
    std::function<void(double asked_at, double youngest)> all_heard;
    std::function<double()> settled_at;  // Leader::settled_at() of our own terms
  };
  Peers(Loop& loop, const Settings& settings, Hooks hooks);
  void start();
  void leader_changed(const std::string& label, std::uint64_t term);
  void publish(std::vector<codec::JobView> views);
  /// Status 0: the peer did not answer.
  void relay(const std::string& label, std::string body, std::function<void(int, std::string)> reply);
  /// A cancel this controller has accepted; peers are told until every effect of it must have shown.
  void accepted_cancel(const std::string& job);
  /// The latest that any controller has said of Leader::settled_at(), s of our steady clock.
  double settled_at() const;
  /// The same from another source.
  void learn_settled(double at) { settled_heard_ = std::max(settled_heard_, at); }
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
    std::unordered_map<std::string, codec::JobView> outbox;
  };
  void serve(http::Server::ConnectionId id, http::Request request);
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
  double settled_heard_ = -1e9;
  double any_heard_at_ = steady_now();
  Hooks hooks_;
  std::map<std::string, Peer> peers_;
  std::string leader_;
  std::uint64_t term_ = 0;
  http::Server server_;
  Timer timer_;
};

}  // namespace corkmux

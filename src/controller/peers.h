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
  };
  Peers(Loop& loop, const Settings& settings, Hooks hooks);
  void start();
  void leader_changed(const std::string& label, std::uint64_t term);
  void publish(std::vector<codec::JobView> views);
  /// Status 0: the peer did not answer.
  void relay(const std::string& label, std::string body, std::function<void(int, std::string)> reply);
  /// A cancel this controller has accepted; peers are told until every effect of it must have shown.
  void accepted_cancel(const std::string& job);
  /// Steady time at which the state service last served some peer, as far as we have heard.
  double peers_state_at() const;
  /// False only for a peer we know and have not heard for a while.
  bool reachable(const std::string& label) const;
  int port() const { return server_.port(); }

 private:
  struct Peer {
    std::unique_ptr<http::Client> client;
    double state_at = -1e9;  // last moment the state service served it
    bool syncing = false;
    std::uint64_t boot = 0;
    double boot_seen_at = -1e9, answered_at = -1e9, heard_at = steady_now();
    std::unordered_map<std::string, codec::JobView> outbox;
  };
  void serve(http::Server::ConnectionId id, http::Request request);
  void sync(Peer& peer);
  codec::Json greeting();
  void heard(const codec::Json& body);
  void answered(Peer& peer, const codec::Json& body, double asked_at);
  std::string label_;
  double cancel_s_;
  std::uint64_t boot_;  // tells one life of this process from the next
  std::deque<std::pair<double, std::string>> cancels_;
  bool cancels_overflowed_ = false;
  Hooks hooks_;
  std::map<std::string, Peer> peers_;
  std::string leader_;
  std::uint64_t term_ = 0;
  http::Server server_;
  Timer timer_;
};

}  // namespace corkmux

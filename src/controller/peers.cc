#include "peers.h"

#include <random>

#include "constants.h"

namespace corkmux {
namespace c = constants;
using codec::Json;

Peers::Peers(Loop& loop, const Settings& settings, Hooks hooks)
    : Actor(loop),
      label_(settings.label),
      cancel_s_(settings.cancel_s),
      boot_((fresh_seed() << 20) ^ static_cast<std::uint64_t>(wall_now() * 1000)),
      hooks_(std::move(hooks)),
      server_(loop, settings.peer_listen, 64,
              [this](http::Server::ConnectionId id, http::Request r) { serve(id, std::move(r)); }),
      timer_(loop) {
  for (const auto& p : settings.peers)
    peers_[p.label].client = std::make_unique<http::Client>(loop, p.address, 4, 64);
}

void Peers::start() {
  timer_.every(c::kPeerTick, [this] {
    // A leader of ours may have begun after it was told.
    std::vector<std::string> own;
    for (const auto& [at, job] : cancels_) own.push_back(job);
    if (!own.empty()) hooks_.cancelled(own);
    for (auto& [label, peer] : peers_) sync(peer);
  });
}

void Peers::leader_changed(const std::string& label, std::uint64_t term) {
  leader_ = label;
  if (term) term_ = std::max(term_, term);
}

void Peers::publish(std::vector<codec::JobView> views) {
  for (auto& [label, peer] : peers_)
    for (const auto& v : views) {
      // Bounded: displays are a courtesy, a peer that is away simply shows older counts.
      if (peer.outbox.size() >= c::kSummaryCache) peer.outbox.clear();
      peer.outbox[v.id] = v;
    }
}

void Peers::accepted_cancel(const std::string& job) {
  cancels_.push_back({steady_now(), job});
  hooks_.cancelled({job});
  if (cancels_.size() > c::kToldCancels) {
    cancels_.pop_front();
    cancels_overflowed_ = true;
  }
}

Json Peers::greeting() {
  while (!cancels_.empty() && steady_now() - cancels_.front().first > cancel_s_) {
    cancels_.pop_front();
    cancels_overflowed_ = false;
  }
  Json cancels = Json::array();
  for (const auto& [at, job] : cancels_) cancels.push_back(job);
  Json out = {{"label", label_},   {"boot", boot_}, {"state_age", hooks_.state_age()},
              {"leader", leader_}, {"term", term_}, {"cancels", std::move(cancels)}};
  if (cancels_overflowed_) out["overflow"] = true;
  return out;
}

/// While the state service is away, a leader that every peer answers misses no cancel: only controllers
/// accept them, and each tells those of the last while. A peer that has begun a new life since we last had
/// the state service may have forgotten some, so it does not count; nor does one that has taken over, since
/// its term would end ours.
void Peers::answered(Peer& peer, const Json& body, double asked_at) {
  auto boot = body.value("boot", std::uint64_t{0});
  if (boot != peer.boot) {
    peer.boot = boot;
    peer.boot_seen_at = steady_now();
  }
  std::vector<std::string> cancels;
  if (auto list = body.find("cancels"); list != body.end() && list->is_array())
    for (const auto& id : *list)
      if (id.is_string()) cancels.push_back(id.get<std::string>());
  if (!cancels.empty()) hooks_.cancelled(cancels);
  peer.answered_at =
      body.value("overflow", false) || body.value("term", std::uint64_t{0}) > term_ ? -1e9 : asked_at;
  double oldest = asked_at, newest_boot = -1e9;
  for (const auto& [label, p] : peers_) {
    oldest = std::min(oldest, p.answered_at);
    newest_boot = std::max(newest_boot, p.boot_seen_at);
  }
  hooks_.all_heard(oldest, newest_boot);
}

void Peers::heard(const Json& body) {
  if (!body.is_object()) return;
  auto it = peers_.find(body.value("label", ""));
  if (it != peers_.end())
    it->second.state_at = std::max(it->second.state_at, steady_now() - body.value("state_age", 1e9));
  auto term = body.value("term", std::uint64_t{0});
  if (term > term_) hooks_.newer_term(term);
}

double Peers::peers_state_at() const {
  double latest = -1e9;
  for (const auto& [label, p] : peers_) latest = std::max(latest, p.state_at);
  return latest;
}

bool Peers::reachable(const std::string& label) const {
  auto it = peers_.find(label);
  return it == peers_.end() || steady_now() - it->second.heard_at < c::kPeerLost;
}

void Peers::sync(Peer& peer) {
  if (peer.syncing) return;
  peer.syncing = true;
  Json body = greeting();
  Json jobs = Json::array();
  int room = 200;
  for (auto it = peer.outbox.begin(); it != peer.outbox.end() && room-- > 0; it = peer.outbox.erase(it)) {
    const auto& v = it->second;
    jobs.push_back({v.id, v.phase, v.done, v.running, v.reason});
  }
  body["jobs"] = std::move(jobs);
  double asked_at = steady_now();
  peer.client->request("POST", "/peer/sync", codec::pack(body), c::kPeerTimeout,
                       [this, &peer, asked_at](http::Result r) {
                         peer.syncing = false;
                         auto answer = r.ok() ? codec::unpack(r.body) : std::nullopt;
                         if (!answer || !answer->is_object()) return;
                         peer.heard_at = steady_now();
                         heard(*answer);
                         answered(peer, *answer, asked_at);
                       });
}

void Peers::relay(const std::string& label, std::string body, std::function<void(int, std::string)> reply) {
  auto it = peers_.find(label);
  if (it == peers_.end()) return reply(0, "");
  it->second.client->request("POST", "/peer/report", std::move(body), c::kRelayTimeout,
                             [reply = std::move(reply)](http::Result r) { reply(r.status, r.body); });
}

void Peers::serve(http::Server::ConnectionId id, http::Request request) {
  if (request.method == "POST" && request.target == "/peer/sync") {
    auto body = codec::unpack(request.body);
    if (!body) return server_.respond(id, {400, "", 0, false});
    heard(*body);
    if (auto jobs = body->find("jobs"); jobs != body->end() && jobs->is_array())
      for (const auto& j : *jobs)
        if (j.is_array() && j.size() == 5)
          hooks_.view({j[0].get<std::string>(), j[1].get<std::string>(), j[2].get<int>(), j[3].get<int>(),
                       j[4].get<std::string>()});
    return server_.respond(id, {200, codec::pack(greeting()), 0, false});
  }
  if (request.method == "POST" && request.target == "/peer/report")
    return hooks_.report(std::move(request.body), [this, id](int status, std::string body) {
      server_.respond(id, {status, std::move(body), 0, false});
    });
  server_.respond(id, {404, "", 0, false});
}

}  // namespace corkmux

#include "peer_exchange.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller_constants.h"

namespace corkmux {
namespace {

constexpr const char* kSyncPath = "/peer/sync";
constexpr const char* kHeartbeatPath = "/peer/report";
constexpr const char* kHeartbeatsPath = "/peer/reports";
constexpr const char* kCommandsPath = "/peer/orders";

}  // namespace

PeerExchange::PeerExchange(Loop& loop, const Settings& settings, CancelGossip& cancel_gossip,
                           FanInMembership& membership, Callbacks callbacks)
    : Actor(loop),
      label_(settings.label),
      cancel_gossip_(cancel_gossip),
      membership_(membership),
      callbacks_(std::move(callbacks)),
      server_(loop, settings.peer_listen, constants::kPeerConnections,
              [this](http::Server::ConnectionId caller, http::Request request) {
                serve(caller, std::move(request));
              }),
      timer_(loop) {
  for (const auto& address : settings.peers) {
    Peer& peer = peers_[address.label];
    peer.syncs = std::make_unique<http::Client>(loop, address.address, constants::kConnectionsPerPeer,
                                                constants::kSyncQueue);
    peer.batches = std::make_unique<http::Client>(loop, address.address, constants::kConnectionsPerPeer,
                                                  constants::kBatchQueue);
  }
}

void PeerExchange::start() {
  timer_.every(constants::kPeerTick, [this] { tick(); });
}

void PeerExchange::tick() {
  cancel_gossip_.prune();
  if (leader_ == label_) cancel_gossip_.repeat_all();
  for (auto& [label, peer] : peers_) sync(label, peer);
}

// ---------------------------------------------------------------- changes

void PeerExchange::leader_changed(const std::string& label, std::uint64_t term) {
  leader_ = label;
  term_ = std::max(term_, term);
}

void PeerExchange::publish(const std::vector<codec::JobView>& views) {
  for (auto& [label, peer] : peers_)
    for (const auto& view : views) {
      // Bounded: job displays are best effort; an unreachable peer only shows older counts.
      if (peer.views.size() >= constants::kMaxCachedJobViews) peer.views.clear();
      peer.views[view.id] = view;
    }
}

// ---------------------------------------------------------------- syncs

PeerStatus PeerExchange::own_status() const {
  PeerStatus out;
  out.label = label_;
  out.incarnation = cancel_gossip_.incarnation();
  out.state_age = callbacks_.state_age();
  out.leader = leader_;
  out.term = term_;
  out.takes_batches = true;
  out.fanin = membership_.newest();
  if (double barrier_at = dependency_barrier_at(); barrier_at > 0)
    out.dependency_barrier_age = steady_now() - barrier_at;
  return out;
}

void PeerExchange::sync(const std::string& label, Peer& peer) {
  if (peer.syncing) return;
  peer.syncing = true;
  SyncRequest request;
  request.status = own_status();
  request.acknowledged = cancel_gossip_.acknowledged(label);
  int remaining_views = constants::kViewsPerSync;
  for (auto view = peer.views.begin(); view != peer.views.end() && remaining_views > 0;
       view = peer.views.erase(view)) {
    request.views.push_back(view->second);
    --remaining_views;
  }
  double requested_at = steady_now();
  peer.syncs->request("POST", kSyncPath, pack(request), constants::kPeerTimeout,
                      [this, label, &peer, requested_at](const http::Result& result) {
                        synced(label, peer, requested_at, result);
                      });
}

void PeerExchange::synced(const std::string& label, Peer& peer, double requested_at,
                          const http::Result& result) {
  peer.syncing = false;
  auto answer = result.ok() ? parse_sync_answer(result.body) : std::nullopt;
  if (!answer) return;
  peer.answered_at = steady_now();
  receive_status(answer->status);
  if (auto age = answer->status.dependency_barrier_age) update_dependency_barrier(requested_at - *age);
  cancel_gossip_.receive_answer(label, *answer, {requested_at, answer->status.term > term_});
}

void PeerExchange::receive_status(const PeerStatus& status) {
  if (auto entry = peers_.find(status.label); entry != peers_.end()) {
    Peer& peer = entry->second;
    double now = steady_now();
    last_message_at_ = now;
    peer.state_at = std::max(peer.state_at, now - std::max(0.0, status.state_age.value_or(-kLongAgo)));
    peer.takes_batches = status.takes_batches;
    if (status.fanin) membership_.receive_announcement(*status.fanin);
  }
  if (status.term > term_) callbacks_.newer_term(status.term);
}

// ---------------------------------------------------------------- messages to one peer

void PeerExchange::relay(const std::string& label, std::string body, LeaderReplyCallback reply) {
  auto peer = peers_.find(label);
  if (peer == peers_.end()) return reply(LeaderReply::unanswered());
  peer->second.syncs->request("POST", kHeartbeatPath, std::move(body), constants::kRelayTimeout,
                              [reply = std::move(reply)](http::Result result) {
                                reply(LeaderReply::from_wire(result.status, std::move(result.body)));
                              });
}

void PeerExchange::post(const std::string& label, const char* path, std::string body, double timeout_s,
                        PostCallback done) {
  auto peer = peers_.find(label);
  if (peer == peers_.end()) return done({0, "", false, "no such controller"});
  peer->second.batches->request("POST", path, std::move(body), timeout_s, std::move(done));
}

void PeerExchange::post_heartbeats(const std::string& label, std::string body, PostCallback done) {
  post(label, kHeartbeatsPath, std::move(body), constants::kRelayTimeout, std::move(done));
}

void PeerExchange::post_commands(const std::string& label, std::string body, PostCallback done) {
  post(label, kCommandsPath, std::move(body), constants::kPeerTimeout, std::move(done));
}

// ---------------------------------------------------------------- state of the peers

bool PeerExchange::takes_batches(const std::string& label) const {
  auto peer = peers_.find(label);
  return peer != peers_.end() && peer->second.takes_batches;
}

bool PeerExchange::reachable(const std::string& label) const {
  auto peer = peers_.find(label);
  return peer == peers_.end() || steady_now() - peer->second.answered_at < constants::kPeerUnreachableAfter;
}

std::vector<std::string> PeerExchange::eligible_fanin_members() const {
  std::vector<std::string> out;
  double now = steady_now();
  for (const auto& [label, peer] : peers_) {
    bool answered_recently = now - peer.answered_at < constants::kPeerUnreachableAfter;
    bool has_state_service = now - peer.state_at < constants::kStateStoreOutageLimit;
    if (peer.takes_batches && answered_recently && has_state_service) out.push_back(label);
  }
  return out;
}

double PeerExchange::dependency_barrier_at() const {
  return std::max(received_barrier_at_, callbacks_.dependency_barrier_at());
}

double PeerExchange::peers_state_at() const {
  double latest = kLongAgo;
  for (const auto& [label, peer] : peers_) latest = std::max(latest, peer.state_at);
  return latest;
}

double PeerExchange::time_since_message() const {
  return peers_.empty() ? 0 : steady_now() - last_message_at_;
}

// ---------------------------------------------------------------- requests of peers

void PeerExchange::respond(http::Server::ConnectionId caller, int status, std::string body) {
  server_.respond(caller, {status, std::move(body), 0, false});
}

void PeerExchange::serve(http::Server::ConnectionId caller, http::Request request) {
  if (request.method != "POST") return respond(caller, 404);
  if (request.target == kSyncPath) return serve_sync(caller, request.body);
  if (request.target == kHeartbeatPath)
    return callbacks_.heartbeat(std::move(request.body), [this, caller](const LeaderReply& reply) {
      respond(caller, reply.wire_status(), reply.body());
    });
  if (request.target == kHeartbeatsPath) return serve_heartbeats(caller, request.body);
  if (request.target == kCommandsPath) return serve_commands(caller, request.body);
  respond(caller, 404);
}

void PeerExchange::serve_sync(http::Server::ConnectionId caller, const std::string& body) {
  auto request = parse_sync_request(body);
  if (!request) return respond(caller, 400);
  receive_status(request->status);
  for (const auto& view : request->views) callbacks_.view(view);
  SyncAnswer answer;
  answer.status = own_status();
  cancel_gossip_.answer(*request, answer);
  respond(caller, 200, pack(answer));
}

/// Logs at most one line every kRefusedLogInterval, whatever number of messages is refused.
void PeerExchange::refuse(http::Server::ConnectionId caller, const char* reason) {
  if (steady_now() - refusal_logged_at_ > constants::kRefusedLogInterval) {
    refusal_logged_at_ = steady_now();
    spdlog::warn("peer message is refused: {}", reason);
  }
  respond(caller, 400);
}

void PeerExchange::serve_heartbeats(http::Server::ConnectionId caller, const std::string& body) {
  auto parsed = fanin::parse_heartbeats(body);
  if (!parsed) return refuse(caller, "not a heartbeat batch");
  auto& batch = parsed->message;
  if (!peers_.contains(batch.from)) return refuse(caller, "heartbeat batch of an unknown controller");
  if (parsed->malformed)
    spdlog::warn("heartbeat batch of {} has malformed entries: ignored={}", batch.from, parsed->malformed);
  if (leader_ != label_) return respond(caller, 503);
  callbacks_.heartbeats(std::move(batch), [this, caller](const auto& answers) {
    if (!answers) return respond(caller, 503);
    respond(caller, 200, fanin::pack(*answers));
  });
}

void PeerExchange::serve_commands(http::Server::ConnectionId caller, const std::string& body) {
  auto parsed = fanin::parse_commands(body);
  if (!parsed) return refuse(caller, "not a command batch");
  const auto& batch = parsed->message;
  if (!peers_.contains(batch.from)) return refuse(caller, "command batch of an unknown controller");
  if (parsed->malformed)
    spdlog::warn("command batch of {} has malformed entries: ignored={}", batch.from, parsed->malformed);
  respond(caller, callbacks_.commands(batch) ? 200 : 503);
}

}  // namespace corkmux

#include "peer_exchange.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <type_traits>

#include "controller_constants.h"
#include "mutation.h"

namespace corkmux {
namespace c = constants;
using codec::Json;
namespace {

/// What a peer says, where it is what it should be. Guards against a message that ends this process.
template <typename T>
T field(const Json& body, const char* name, T otherwise) {
  auto it = body.find(name);
  if (it == body.end()) return otherwise;
  if constexpr (std::is_same_v<T, bool>)
    return it->is_boolean() ? it->template get<T>() : otherwise;
  else if constexpr (std::is_same_v<T, std::string>)
    return it->is_string() ? it->template get<T>() : otherwise;
  else if constexpr (std::is_integral_v<T>)
    return it->is_number_unsigned() ? it->template get<T>() : otherwise;
  else
    return it->is_number() && std::isfinite(it->template get<T>()) ? it->template get<T>() : otherwise;
}

constexpr const char* kHeartbeatsPath = "/peer/reports";
constexpr const char* kCommandsPath = "/peer/orders";

bool is_view(const Json& j) {
  return j.is_array() && j.size() == 5 && j[0].is_string() && j[1].is_string() && j[2].is_number_integer() &&
         j[3].is_number_integer() && j[4].is_string();
}

}  // namespace

PeerExchange::PeerExchange(Loop& loop, const Settings& settings, Callbacks callbacks)
    : Actor(loop),
      label_(settings.label),
      cancel_s_(settings.cancel_s),
      boot_((fresh_seed() << 20) ^ static_cast<std::uint64_t>(wall_now() * 1000)),
      most_cancels_(std::max(c::kToldCancels, static_cast<std::size_t>(settings.mem_mb * 1024 * 1024 *
                                                                       c::kCancelMemory / c::kCancelBytes))),
      callbacks_(std::move(callbacks)),
      server_(loop, settings.peer_listen, c::kPeerConnections,
              [this](http::Server::ConnectionId id, http::Request r) { serve(id, std::move(r)); }),
      timer_(loop) {
  for (const auto& p : settings.peers) {
    peers_[p.label].client = std::make_unique<http::Client>(loop, p.address, 4, 64);
    peers_[p.label].batches = std::make_unique<http::Client>(loop, p.address, 4, c::kBatchQueue);
  }
}

void PeerExchange::start() {
  timer_.every(c::kPeerTick, [this] {
    prune_cancels();
    tell_own_leader();
    for (auto& [label, peer] : peers_) sync(peer);
  });
}

/// Again and again, for as long as a cancel may count: a leader of ours may have begun, or may have heard of
/// the job, after it was told.
void PeerExchange::tell_own_leader() {
  if (leader_ != label_) return;
  std::vector<std::string> all;
  all.reserve(cancels_.size() + heard_cancels_.size());
  for (const auto& cancel : cancels_) all.push_back(cancel.job);
  for (const auto& [job, at] : heard_cancels_) all.push_back(job);
  if (!all.empty()) callbacks_.cancelled(all);
}

void PeerExchange::prune_cancels() {
  double oldest = steady_now() - cancel_s_;
  for (; !cancels_.empty() && cancels_.front().at < oldest; ++first_cancel_) cancels_.pop_front();
  std::erase_if(heard_cancels_, [&](const auto& e) { return e.second < oldest; });
}

void PeerExchange::leader_changed(const std::string& label, std::uint64_t term) {
  leader_ = label;
  if (term) term_ = std::max(term_, term);
}

void PeerExchange::publish(std::vector<codec::JobView> views) {
  for (auto& [label, peer] : peers_)
    for (const auto& v : views) {
      // Bounded: displays are a courtesy, a peer that is away simply shows older counts.
      if (peer.outbox.size() >= c::kSummaryCache) peer.outbox.clear();
      peer.outbox[v.id] = v;
    }
}

void PeerExchange::accepted_cancel(const std::string& job) {
  cancels_.push_back({steady_now(), job});
  callbacks_.cancelled({job});
  if (cancels_.size() <= most_cancels_) return;
  lost_cancel_ = first_cancel_++;
  lost_cancel_at_ = cancels_.front().at;
  cancels_.pop_front();
}

double PeerExchange::dependency_barrier_at() const {
  return std::max(barrier_heard_, callbacks_.dependency_barrier_at());
}

Json PeerExchange::greeting() const {
  Json out = {{"label", label_},   {"boot", boot_}, {"state_age", callbacks_.state_age()},
              {"leader", leader_}, {"term", term_}, {"serves", true}};
  if (serving_.term)
    out["serving"] = {{"term", serving_.term}, {"number", serving_.number}, {"labels", serving_.labels}};
  // As an age, since clocks differ: whoever asked counts it from when it asked.
  if (dependency_barrier_at() > 0) out["settled_age"] = steady_now() - dependency_barrier_at();
  return out;
}

void PeerExchange::tell_cancels(const Json& asked, Json& answer) {
  prune_cancels();
  std::uint64_t last = first_cancel_ + cancels_.size() - 1;
  // Numbers mean something only to one who has heard them from this life of ours.
  bool numbered = asked.contains("told"), same = field<std::uint64_t>(asked, "told_by", 0) == boot_;
  std::uint64_t after = numbered && same ? field<std::uint64_t>(asked, "told", 0) : 0;
  if (!numbered && cancels_.size() > c::kToldCancels) after = last - c::kToldCancels;
  bool lost = lost_cancel_ > after && steady_now() - lost_cancel_at_ <= cancel_s_;
  if (lost || (!numbered && after >= first_cancel_)) answer["overflow"] = true;
  Json cancels = Json::array();
  for (std::uint64_t n = std::max(first_cancel_, after + 1); n <= last; ++n)
    cancels.push_back(cancels_[static_cast<std::size_t>(n - first_cancel_)].job);
  answer["cancels"] = std::move(cancels);
  answer["told"] = last;
}

/// While the state service is away, a leader that every peer answers misses no cancel: only controllers
/// accept them, and each tells those of the last while. A peer that has begun a new life since we last had
/// the state service may have forgotten some, so it does not count; nor does one that has taken over, since
/// its term would end ours; nor one with whom a name was lost for want of room, there or here. One that was
/// not heard for so long that names have left its list does no harm: nobody was answered meanwhile, so that
/// all that ran then is gone.
void PeerExchange::answered(Peer& peer, const Json& body, double asked_at) {
  auto boot = field<std::uint64_t>(body, "boot", 0);
  if (boot != peer.boot) {
    peer.boot = boot;
    peer.boot_seen_at = steady_now();
    peer.told = 0;
  }
  std::vector<std::string> cancels;
  bool odd = false, lost = field<bool>(body, "overflow", false);
  if (auto list = body.find("cancels"); list != body.end() && list->is_array())
    for (const auto& id : *list) {
      if (!id.is_string() || !codec::valid_job_id(id.get_ref<const std::string&>())) {
        odd = true;
        continue;
      }
      auto job = id.get<std::string>();
      if (heard_cancels_.size() < most_cancels_)
        heard_cancels_.emplace(job, steady_now());
      else if (!heard_cancels_.count(job))
        lost = true;
      cancels.push_back(std::move(job));
    }
  if (odd && !std::exchange(peer.odd_told, true))
    spdlog::warn("{} names jobs that none can be called: passed over",
                 field<std::string>(body, "label", "?"));
  if (mutation_enabled("cancels of peers are not heard")) cancels.clear(), heard_cancels_.clear();
  if (!cancels.empty()) callbacks_.cancelled(cancels);
  peer.told = std::max(peer.told, field<std::uint64_t>(body, "told", 0));
  if (double age = field<double>(body, "settled_age", -1); age >= 0) learn_dependency_barrier(asked_at - age);
  // A name that was lost is not told again: for as long as it may count, nothing is known of the peer's
  // cancels.
  if (odd || lost) peer.missed_at = steady_now();
  bool misses = steady_now() - peer.missed_at <= cancel_s_;
  peer.answered_at = misses || field<std::uint64_t>(body, "term", 0) > term_ ? -1e9 : asked_at;
  double oldest = asked_at, newest_boot = -1e9;
  for (const auto& [label, p] : peers_) {
    oldest = std::min(oldest, p.answered_at);
    newest_boot = std::max(newest_boot, p.boot_seen_at);
  }
  callbacks_.all_heard(oldest, newest_boot);
}

void PeerExchange::heard(const Json& body) {
  auto it = peers_.find(field<std::string>(body, "label", ""));
  if (it != peers_.end()) {
    any_heard_at_ = steady_now();
    it->second.state_at =
        std::max(it->second.state_at, steady_now() - std::max(0.0, field<double>(body, "state_age", 1e9)));
    it->second.serves = field<bool>(body, "serves", false);
    learn_serving(body);
  }
  auto term = field<std::uint64_t>(body, "term", 0);
  if (term > term_) callbacks_.newer_term(term);
}

double PeerExchange::peers_state_at() const {
  double latest = -1e9;
  for (const auto& [label, p] : peers_) latest = std::max(latest, p.state_at);
  return latest;
}

double PeerExchange::silent_for() const { return peers_.empty() ? 0 : steady_now() - any_heard_at_; }

bool PeerExchange::reachable(const std::string& label) const {
  auto it = peers_.find(label);
  return it == peers_.end() || steady_now() - it->second.heard_at < c::kPeerLost;
}

void PeerExchange::sync(Peer& peer) {
  if (peer.syncing) return;
  peer.syncing = true;
  Json body = greeting();
  body["told"] = peer.told;
  body["told_by"] = peer.boot;
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

void PeerExchange::relay(const std::string& label, std::string body,
                         std::function<void(int, std::string)> reply) {
  auto it = peers_.find(label);
  if (it == peers_.end()) return reply(0, "");
  it->second.client->request("POST", "/peer/report", std::move(body), c::kRelayTimeout,
                             [reply = std::move(reply)](http::Result r) { reply(r.status, r.body); });
}

// ---------------------------------------------------------------- who serves workers

void PeerExchange::announce_fanin_members(std::vector<std::string> labels) {
  if (serving_.term == term_ && serving_.labels == labels) return;
  serving_ = {term_, serving_.term == term_ ? serving_.number + 1 : 1, std::move(labels)};
  callbacks_.fanin_changed(serving_.labels);
}

/// Told on by whoever has heard it, so that a controller that has lost only the leader learns it too.
void PeerExchange::learn_serving(const Json& body) {
  auto said = body.find("serving");
  if (said == body.end() || !said->is_object()) return;
  Serving news{field<std::uint64_t>(*said, "term", 0), field<std::uint64_t>(*said, "number", 0), {}};
  if (std::pair(news.term, news.number) <= std::pair(serving_.term, serving_.number)) return;
  auto labels = said->find("labels");
  if (labels == said->end() || !labels->is_array()) return;
  for (const auto& label : *labels) {
    if (!label.is_string()) return;
    auto name = label.get<std::string>();
    if (name == label_ || peers_.count(name)) news.labels.push_back(std::move(name));
  }
  serving_ = std::move(news);
  callbacks_.fanin_changed(serving_.labels);
}

std::vector<std::string> PeerExchange::eligible_fanin_members() const {
  std::vector<std::string> out;
  double now = steady_now();
  for (const auto& [label, peer] : peers_)
    if (peer.serves && now - peer.heard_at < c::kPeerLost && now - peer.state_at < c::kStateSilent)
      out.push_back(label);
  return out;
}

void PeerExchange::post(const std::string& label, const char* path, std::string body, double timeout_s,
                        std::function<void(http::Result)> done) {
  auto it = peers_.find(label);
  if (it == peers_.end()) return done({0, "", false, "no such controller"});
  it->second.batches->request("POST", path, std::move(body), timeout_s, std::move(done));
}

void PeerExchange::post_heartbeats(const std::string& label, std::string body,
                                   std::function<void(http::Result)> done) {
  post(label, kHeartbeatsPath, std::move(body), c::kRelayTimeout, std::move(done));
}

void PeerExchange::post_commands(const std::string& label, std::string body,
                                 std::function<void(http::Result)> done) {
  post(label, kCommandsPath, std::move(body), c::kPeerTimeout, std::move(done));
}

// ---------------------------------------------------------------- what peers ask

void PeerExchange::serve(http::Server::ConnectionId id, http::Request request) {
  if (request.method != "POST") return server_.respond(id, {404, "", 0, false});
  if (request.target == "/peer/sync") {
    auto body = codec::unpack(request.body);
    if (!body || !body->is_object()) return server_.respond(id, {400, "", 0, false});
    return serve_sync(id, *body);
  }
  if (request.target == "/peer/report")
    return callbacks_.heartbeat(std::move(request.body), [this, id](int status, std::string body) {
      server_.respond(id, {status, std::move(body), 0, false});
    });
  if (request.target == kHeartbeatsPath) return serve_heartbeats(id, request.body);
  if (request.target == kCommandsPath) return serve_commands(id, request.body);
  server_.respond(id, {404, "", 0, false});
}

void PeerExchange::serve_sync(http::Server::ConnectionId id, const Json& body) {
  heard(body);
  if (auto jobs = body.find("jobs"); jobs != body.end() && jobs->is_array())
    for (const auto& j : *jobs)
      if (is_view(j))
        callbacks_.view({j[0].get<std::string>(), j[1].get<std::string>(), j[2].get<int>(), j[3].get<int>(),
                         j[4].get<std::string>()});
  Json answer = greeting();
  tell_cancels(body, answer);
  server_.respond(id, {200, codec::pack(answer), 0, false});
}

/// A line now and then, whoever sends what should not come.
void PeerExchange::refuse(http::Server::ConnectionId id, const std::string& from, const char* why) {
  if (steady_now() - refused_told_at_ > c::kRefusedLogInterval) {
    refused_told_at_ = steady_now();
    spdlog::warn("a message of {} is refused: {}", from.empty() ? "nobody we know" : from, why);
  }
  server_.respond(id, {400, "", 0, false});
}

void PeerExchange::serve_heartbeats(http::Server::ConnectionId id, const std::string& body) {
  auto parsed = fanin::parse_heartbeats(body);
  if (!parsed) return refuse(id, "", "not a batch of reports");
  auto& batch = parsed->message;
  if (!peers_.count(batch.from)) return refuse(id, "", "a batch of reports");
  if (parsed->malformed)
    spdlog::warn("{} of the entries in a batch of {} are malformed: passed over", parsed->malformed,
                 batch.from);
  if (leader_ != label_) return server_.respond(id, {503, "", 0, false});
  callbacks_.heartbeats(std::move(batch), [this, id](int status, std::string answer) {
    server_.respond(id, {status, std::move(answer), 0, false});
  });
}

void PeerExchange::serve_commands(http::Server::ConnectionId id, const std::string& body) {
  auto parsed = fanin::parse_commands(body);
  if (!parsed) return refuse(id, "", "not a batch of orders");
  if (!peers_.count(parsed->message.from)) return refuse(id, "", "a batch of orders");
  if (parsed->malformed)
    spdlog::warn("{} of the entries in orders of {} are malformed: passed over", parsed->malformed,
                 parsed->message.from);
  server_.respond(id, {callbacks_.commands(parsed->message) ? 200 : 503, "", 0, false});
}

}  // namespace corkmux

#include "controller.h"

#include "controller_constants.h"

namespace corkmux {

Controller::Controller(Loop& loop, const Settings& settings, const OperatorChoices& choices)
    : settings_(settings),
      own_label_(settings.label),
      single_controller_(settings.peers.empty()),
      state_(loop, settings.state),
      cloud_(loop, settings.cloud, 3, 64),
      cloud_outage_("the cloud's interface", settings.cloud),
      catalog_(loop, state_, cloud_),
      leader_(loop, settings, choices, state_, cloud_, catalog_, leader_callbacks()),
      cancel_gossip_(settings_, cancel_callbacks()),
      fanin_membership_(
          settings_,
          [this](const std::vector<std::string>& members) { coordinator_.fanin_changed(members); }),
      peer_exchange_(loop, settings_, cancel_gossip_, fanin_membership_, peer_callbacks()),
      lease_proxy_(loop, settings, state_),
      store_relay_(loop, settings, state_,
                   [this](const std::string& body, LeaderReplyCallback reply) {
                     worker_endpoint_.relayed(body, std::move(reply), HeartbeatRoute::StoreRelay);
                   }),
      forwarder_(loop, settings.label,
                 [this](const std::string& label, std::string body, PeerExchange::PostCallback done) {
                   post_heartbeats(label, std::move(body), std::move(done));
                 }),
      delivery_(loop, static_cast<std::size_t>(settings.max_connections * constants::kCommandConnectionShare),
                [this](fanin::CommandOutcome outcome) { forwarder_.add_outcome(std::move(outcome)); }),
      admission_(settings_, state_, catalog_),
      status_cache_(status_callbacks()),
      user_api_(loop, settings_, state_, admission_, status_cache_, peer_exchange_),
      worker_endpoint_(loop, settings_, {leader_, peer_exchange_, lease_proxy_, store_relay_, forwarder_}),
      readiness_(loop, state_, admission_, peer_exchange_),
      front_end_(loop, settings_, admission_, user_api_, worker_endpoint_, readiness_),
      coordinator_(
          loop, settings_, leader_, peer_exchange_,
          [this](fanin::WorkerSharding sharding) { worker_endpoint_.sharding_changed(std::move(sharding)); }),
      stop_timer_(loop) {
  cloud_.observe([this](const http::Result& result) { log_outcome(cloud_outage_, result); });
}

Leader::Callbacks Controller::leader_callbacks() {
  Leader::Callbacks callbacks;
  callbacks.leader_changed = [this](std::string label, std::uint64_t term) { leader_changed(label, term); };
  callbacks.views = [this](std::vector<codec::JobView> views) {
    for (const auto& view : views) status_cache_.update(view);
    peer_exchange_.publish(views);
  };
  callbacks.relay.reachable = [this](const std::string& label) {
    return peer_exchange_.takes_batches(label) && peer_exchange_.reachable(label);
  };
  callbacks.relay.post = [this](const std::string& label, std::string body,
                                std::function<void(http::Result)> done) {
    peer_exchange_.post_commands(label, std::move(body), std::move(done));
  };
  return callbacks;
}

JobStatusCache::Callbacks Controller::status_callbacks() {
  JobStatusCache::Callbacks callbacks;
  callbacks.ended = [this](const std::string& job) { user_api_.job_ended(job); };
  callbacks.cancelled = [this](const std::string& job) { cancel_gossip_.accept(job); };
  return callbacks;
}

CancelGossip::Callbacks Controller::cancel_callbacks() {
  CancelGossip::Callbacks callbacks;
  callbacks.cancelled = [this](const std::vector<std::string>& jobs) {
    leader_.tell([jobs](Leader& leader) { leader.cancelled(jobs); });
  };
  callbacks.all_acknowledged = [this](double requested_at, double newest_incarnation_seen_at) {
    leader_.tell(
        [=](Leader& leader) { leader.all_peers_answered(requested_at, newest_incarnation_seen_at); });
  };
  return callbacks;
}

PeerExchange::Callbacks Controller::peer_callbacks() {
  PeerExchange::Callbacks callbacks;
  callbacks.state_age = [this] { return steady_now() - state_.last_contact(); };
  callbacks.newer_term = [this](std::uint64_t term) {
    leader_.tell([term](Leader& leader) { leader.newer_term(term); });
  };
  callbacks.view = [this](const codec::JobView& view) { status_cache_.update(view); };
  callbacks.heartbeat = [this](const std::string& body, LeaderReplyCallback reply) {
    worker_endpoint_.relayed(body, std::move(reply), HeartbeatRoute::Direct);
  };
  callbacks.dependency_barrier_at = [this] { return leader_.dependency_barrier_at(); };
  callbacks.heartbeats = [this](fanin::HeartbeatBatch batch, PeerExchange::BatchReplyCallback reply) {
    leader_.tell([batch = std::move(batch), reply = std::move(reply)](Leader& leader) mutable {
      leader.batch(std::move(batch), std::move(reply));
    });
  };
  callbacks.commands = [this](const fanin::ForwardedCommandBatch& batch) { return delivery_.deliver(batch); };
  return callbacks;
}

void Controller::leader_changed(const std::string& label, std::uint64_t term) {
  peer_exchange_.leader_changed(label, term);
  worker_endpoint_.leader_changed(label);
  lease_proxy_.term_changed(term);
  store_relay_.accept_requests(label == own_label_);
  forwarder_.tell([label](fanin::HeartbeatForwarder& forwarder) { forwarder.leader_changed(label); });
}

void Controller::post_heartbeats(const std::string& label, std::string body,
                                 std::function<void(http::Result)> done) {
  if (label != own_label_) return peer_exchange_.post_heartbeats(label, std::move(body), std::move(done));
  // This controller leads: its own Leader gets the batch and answers it as it answers peers, without a
  // request over the network.
  auto parsed = fanin::parse_heartbeats(body);
  leader_.tell([batch = std::move(parsed->message), done = std::move(done)](Leader& leader) mutable {
    leader.batch(std::move(batch), [done = std::move(done)](const auto& answers) {
      if (!answers) return done(http::Result::response(503, ""));
      done(http::Result::response(200, fanin::pack(*answers)));
    });
  });
}

void Controller::start() {
  catalog_.start();
  leader_.start();
  peer_exchange_.start();
  worker_endpoint_.start();
  readiness_.start();
  coordinator_.start();
}

void Controller::handler_failed() {
  leader_.tell([](Leader& leader) { leader.handler_failed(); });
}

void Controller::stop(std::function<void()> done) {
  admission_.close();
  front_end_.close();
  leader_.resign([this] { resigned_ = true; });
  finish_stopping(steady_now(), std::move(done));
}

void Controller::finish_stopping(double started_at, std::function<void()> done) {
  double elapsed = steady_now() - started_at;
  // While this controller waits, it redirects workers to the successor. If no successor is known in time,
  // workers find it by themselves.
  bool successor_done =
      single_controller_ || worker_endpoint_.successor_known() || elapsed > constants::kSuccessorWait;
  bool may_stop = resigned_ && successor_done && !front_end_.busy();
  if (may_stop || elapsed >= constants::kShutdownTimeLimit) return done();
  stop_timer_.once(constants::kShutdownCheckInterval,
                   [this, started_at, done = std::move(done)] { finish_stopping(started_at, done); });
}

}  // namespace corkmux

#include "controller.h"

#include "constants.h"

namespace corkmux {

Controller::Controller(Loop& loop, const Settings& settings, const OperatorChoices& choices)
    : settings_(settings),
      own_label_(settings.label),
      alone_(settings.peers.empty()),
      state_(loop, settings.state),
      cloud_(loop, settings.cloud, 3, 64),
      cloud_outage_("the cloud's interface", settings.cloud),
      catalog_(loop, state_, cloud_),
      leader_(loop, settings, choices, state_, cloud_, catalog_, leader_hooks()),
      peers_(loop, settings, peer_hooks()),
      keeper_(loop, settings, state_),
      mail_(loop, settings, state_,
            [this](std::string body, Mail::Reply reply) {
              gateway_.relayed(body, std::move(reply), Leader::Way::Mail);
            }),
      forwarder_(loop, settings.label,
                 [this](const std::string& label, std::string body, std::function<void(http::Result)> done) {
                   post_reports(label, std::move(body), std::move(done));
                 }),
      delivery_(loop, static_cast<std::size_t>(settings.max_connections * constants::kOrderConnectionShare),
                [this](serving::OrderOutcome outcome) { forwarder_.add_outcome(std::move(outcome)); }),
      gateway_(loop, settings, state_, catalog_, leader_, peers_, keeper_, mail_, forwarder_),
      coordinator_(loop, settings_, leader_, peers_, gateway_),
      stop_timer_(loop) {
  cloud_.observe([this](const http::Result& r) { log_outcome(cloud_outage_, r); });
}

Leader::Hooks Controller::leader_hooks() {
  Leader::Hooks hooks;
  hooks.leader_changed = [this](std::string label, std::uint64_t term) { leader_changed(label, term); };
  hooks.views = [this](std::vector<codec::JobView> views) {
    for (const auto& v : views) gateway_.view(v);
    peers_.publish(std::move(views));
  };
  hooks.relay.reachable = [this](const std::string& label) {
    return peers_.serves(label) && peers_.reachable(label);
  };
  hooks.relay.post = [this](const std::string& label, std::string body,
                            std::function<void(http::Result)> done) {
    peers_.post_orders(label, std::move(body), std::move(done));
  };
  return hooks;
}

Peers::Hooks Controller::peer_hooks() {
  Peers::Hooks hooks;
  hooks.state_age = [this] { return steady_now() - state_.last_contact(); };
  hooks.newer_term = [this](std::uint64_t term) { leader_.tell([term](Leader& l) { l.newer_term(term); }); };
  hooks.view = [this](const codec::JobView& v) { gateway_.view(v); };
  hooks.report = [this](std::string body, std::function<void(int, std::string)> reply) {
    gateway_.relayed(body, std::move(reply), Leader::Way::Direct);
  };
  hooks.cancelled = [this](const std::vector<std::string>& jobs) {
    leader_.tell([jobs](Leader& l) { l.cancelled(jobs); });
  };
  hooks.all_heard = [this](double asked_at, double youngest) {
    leader_.tell([=](Leader& l) { l.peers_heard(asked_at, youngest); });
  };
  hooks.settled_at = [this] { return leader_.settled_at(); };
  hooks.reports = [this](serving::ReportBatch batch, std::function<void(int, std::string)> reply) {
    leader_.tell([batch = std::move(batch), reply = std::move(reply)](Leader& l) mutable {
      l.batch(std::move(batch), std::move(reply));
    });
  };
  hooks.orders = [this](const serving::OrderBatch& batch) { return delivery_.deliver(batch); };
  hooks.serving_changed = [this](const std::vector<std::string>& labels) {
    coordinator_.serving_changed(labels);
  };
  return hooks;
}

void Controller::leader_changed(const std::string& label, std::uint64_t term) {
  peers_.leader_changed(label, term);
  gateway_.leader_changed(label);
  mail_.serve(label == own_label_);
  forwarder_.tell([label](serving::ReportForwarder& f) { f.leader_changed(label); });
}

void Controller::post_reports(const std::string& label, std::string body,
                              std::function<void(http::Result)> done) {
  if (label != own_label_) return peers_.post_reports(label, std::move(body), std::move(done));
  auto parsed = serving::parse_reports(body);
  leader_.tell([batch = std::move(parsed->message), done = std::move(done)](Leader& l) mutable {
    l.batch(std::move(batch), [done = std::move(done)](int status, std::string answers) {
      done({status, std::move(answers), true});
    });
  });
}

void Controller::start() {
  catalog_.start();
  leader_.start();
  peers_.start();
  gateway_.start();
  coordinator_.start();
}

void Controller::stop(std::function<void()> done) {
  gateway_.close();
  leader_.resign([this] { resigned_ = true; });
  settle(steady_now(), std::move(done));
}

void Controller::settle(double since, std::function<void()> done) {
  // Workers that ask meanwhile are sent to the successor; without one in time they find it themselves.
  double now = steady_now();
  bool told = alone_ || gateway_.successor_known() || now - since > constants::kSuccessorTime;
  if ((resigned_ && told && !gateway_.busy()) || now - since >= constants::kEndTime) return done();
  stop_timer_.once(constants::kEndLook, [this, since, done = std::move(done)] { settle(since, done); });
}

}  // namespace corkmux

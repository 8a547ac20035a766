#include "controller.h"

#include "constants.h"

namespace corkmux {

Controller::Controller(Loop& loop, const Settings& settings, const OperatorChoices& choices)
    : own_label_(settings.label),
      alone_(settings.peers.empty()),
      state_(loop, settings.state),
      cloud_(loop, settings.cloud, 3, 64),
      cloud_outage_("the cloud's interface", settings.cloud),
      catalog_(loop, state_, cloud_),
      leader_(loop, settings, choices, state_, cloud_, catalog_,
              {[this](std::string label, std::uint64_t term) {
                 peers_.leader_changed(label, term);
                 gateway_.leader_changed(label);
                 mail_.serve(label == own_label_);
               },
               [this](std::vector<codec::JobView> views) {
                 for (const auto& v : views) gateway_.view(v);
                 peers_.publish(std::move(views));
               }}),
      peers_(loop, settings,
             {[this] { return steady_now() - state_.last_contact(); },
              [this](std::uint64_t term) { leader_.tell([term](Leader& l) { l.newer_term(term); }); },
              [this](const codec::JobView& v) { gateway_.view(v); },
              [this](std::string body, std::function<void(int, std::string)> reply) {
                gateway_.relayed(body, std::move(reply), Leader::Way::Direct);
              },
              [this](const std::vector<std::string>& jobs) {
                leader_.tell([jobs](Leader& l) { l.cancelled(jobs); });
              },
              [this](double asked_at, double youngest) {
                leader_.tell([=](Leader& l) { l.peers_heard(asked_at, youngest); });
              },
              [this] { return leader_.settled_at(); }}),
      keeper_(loop, settings, state_),
      mail_(loop, settings, state_,
            [this](std::string body, Mail::Reply reply) {
              gateway_.relayed(body, std::move(reply), Leader::Way::Mail);
            }),
      gateway_(loop, settings, state_, catalog_, leader_, peers_, keeper_, mail_),
      stop_timer_(loop) {
  cloud_.observe([this](const http::Result& r) { log_outcome(cloud_outage_, r); });
}

void Controller::start() {
  catalog_.start();
  leader_.start();
  peers_.start();
  gateway_.start();
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

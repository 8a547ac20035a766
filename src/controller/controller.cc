#include "controller.h"

#include "constants.h"

namespace corkmux {

Controller::Controller(Loop& loop, const Settings& settings, const OperatorChoices& choices)
    : own_label_(settings.label),
      state_(loop, settings.state),
      cloud_(loop, settings.cloud, 3, 64),
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
              }}),
      keeper_(loop, settings, state_),
      mail_(loop, settings, state_,
            [this](std::string body, Mail::Reply reply) {
              gateway_.relayed(body, std::move(reply), Leader::Way::Mail);
            }),
      gateway_(loop, settings, state_, catalog_, leader_, peers_, keeper_, mail_) {}

void Controller::start() {
  catalog_.start();
  leader_.start();
  peers_.start();
  gateway_.start();
}

}  // namespace corkmux

#include "fanin_coordinator.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller_constants.h"

namespace corkmux {
namespace c = constants;

FanInCoordinator::FanInCoordinator(Loop& loop, const Settings& settings, Leader& leader, PeerExchange& peers,
                                   Gateway& gateway)
    : settings_(settings),
      leader_(leader),
      peer_exchange_(peers),
      gateway_(gateway),
      decision_(settings.max_connections),
      timer_(loop),
      settle_timer_(loop) {}

void FanInCoordinator::start() {
  timer_.every(c::kFanInInterval, [this] { look(); });
}

void FanInCoordinator::look() {
  bool leads = leader_.leading();
  // A new leader goes on as the one before did, until it knows its machines better.
  if (leads && !std::exchange(led_, leads)) decision_.start_from(!peer_exchange_.serving().empty());
  led_ = leads;
  if (!leads) return;
  bool shared = decision_.update(leader_.machines_up());
  auto labels = shared ? peer_exchange_.able_to_serve() : std::vector<std::string>();
  if (labels == peer_exchange_.serving()) return;
  if (labels.empty())
    spdlog::info("the leader serves all workers itself");
  else
    spdlog::info("workers are served by {}", fmt::join(labels, ", "));
  peer_exchange_.announce_serving(std::move(labels));
}

void FanInCoordinator::fanin_changed(const std::vector<std::string>& labels) {
  auto sharding = sharding_of(labels);
  settle_timer_.stop();
  if (!leader_.leading()) return gateway_.fanin_changed(std::move(sharding));
  // Guards against workers that are sent to a controller which has not heard yet that it serves them, and
  // would send them back.
  settle_timer_.once(c::kFanInSettleTime,
                     [this, sharding = std::move(sharding)] { gateway_.fanin_changed(sharding); });
}

fanin::WorkerSharding FanInCoordinator::sharding_of(const std::vector<std::string>& labels) const {
  std::vector<fanin::FanInMember> controllers;
  for (const auto& label : labels) {
    if (label == settings_.label) controllers.push_back({label, settings_.zone});
    for (const auto& peer : settings_.peers)
      if (peer.label == label) controllers.push_back({label, peer.zone});
  }
  return fanin::WorkerSharding(std::move(controllers));
}

}  // namespace corkmux

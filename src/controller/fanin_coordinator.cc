#include "fanin_coordinator.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace corkmux {

FanInCoordinator::FanInCoordinator(Loop& loop, const Settings& settings, Leader& leader, PeerExchange& peers,
                                   ShardingCallback sharding_changed)
    : settings_(settings),
      leader_(leader),
      peer_exchange_(peers),
      sharding_changed_(std::move(sharding_changed)),
      policy_(settings.max_connections),
      decision_timer_(loop),
      settle_timer_(loop) {}

void FanInCoordinator::start() {
  decision_timer_.every(constants::kFanInInterval, [this] { decide(); });
}

void FanInCoordinator::decide() {
  bool leads = leader_.leading();
  bool begins = leads && !led_;
  led_ = leads;
  if (!leads) return;
  // A new leader goes on as the one before did, until it knows its machines better.
  if (begins) policy_.start_from(!peer_exchange_.fanin_members().empty());
  bool shared = policy_.update(leader_.machines_up());
  auto members = shared ? peer_exchange_.eligible_fanin_members() : std::vector<std::string>();
  if (members == peer_exchange_.fanin_members()) return;
  if (members.empty())
    spdlog::info("fan-in ended: the leader takes all heartbeats");
  else
    spdlog::info("fan-in members changed: members={}", fmt::join(members, ","));
  peer_exchange_.announce_fanin_members(std::move(members));
}

void FanInCoordinator::fanin_changed(const std::vector<std::string>& labels) {
  auto sharding = sharding_of(labels);
  settle_timer_.stop();
  if (!leader_.leading()) return sharding_changed_(std::move(sharding));
  // Guards against workers that are redirected to a controller which has not heard yet that it owns a shard,
  // and would send them back.
  settle_timer_.once(constants::kFanInSettleTime,
                     [this, sharding = std::move(sharding)] { sharding_changed_(sharding); });
}

fanin::WorkerSharding FanInCoordinator::sharding_of(const std::vector<std::string>& labels) const {
  std::vector<fanin::FanInMember> members;
  for (const auto& label : labels) {
    if (label == settings_.label) members.push_back({label, settings_.zone});
    for (const auto& peer : settings_.peers)
      if (peer.label == label) members.push_back({label, peer.zone});
  }
  return fanin::WorkerSharding(std::move(members));
}

}  // namespace corkmux

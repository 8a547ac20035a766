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
  decision_timer_.every(constants::kFanInDecisionInterval, [this] { decide(); });
}

void FanInCoordinator::decide() {
  bool leading = leader_.leading();
  bool became_leader = leading && !was_leading_;
  was_leading_ = leading;
  if (!leading) return;
  // A new leader continues as its predecessor did, until heartbeats show how many machines are up.
  if (became_leader) policy_.set_initial(!peer_exchange_.fanin_members().empty());
  bool use_fanin_members = policy_.update(leader_.machines_up());
  auto members = use_fanin_members ? peer_exchange_.eligible_fanin_members() : std::vector<std::string>();
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
  // Guards against redirecting workers to a controller that has not received the announcement yet: it would
  // send them back.
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

#include "serving_coordinator.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.h"

namespace corkmux {
namespace c = constants;

ServingCoordinator::ServingCoordinator(Loop& loop, const Settings& settings, Leader& leader, Peers& peers,
                                       Gateway& gateway)
    : settings_(settings),
      leader_(leader),
      peers_(peers),
      gateway_(gateway),
      decision_(settings.max_connections),
      timer_(loop),
      settle_timer_(loop) {}

void ServingCoordinator::start() {
  timer_.every(c::kServingTick, [this] { look(); });
}

void ServingCoordinator::look() {
  bool leads = leader_.leading();
  // A new leader goes on as the one before did, until it knows its machines better.
  if (leads && !std::exchange(led_, leads)) decision_.start_from(!peers_.serving().empty());
  led_ = leads;
  if (!leads) return;
  bool shared = decision_.update(leader_.machines_up());
  auto labels = shared ? peers_.able_to_serve() : std::vector<std::string>();
  if (labels == peers_.serving()) return;
  if (labels.empty())
    spdlog::info("the leader serves all workers itself");
  else
    spdlog::info("workers are served by {}", fmt::join(labels, ", "));
  peers_.announce_serving(std::move(labels));
}

void ServingCoordinator::serving_changed(const std::vector<std::string>& labels) {
  auto assignment = assignment_of(labels);
  settle_timer_.stop();
  if (!leader_.leading()) return gateway_.serving_changed(std::move(assignment));
  // Guards against workers that are sent to a controller which has not heard yet that it serves them, and
  // would send them back.
  settle_timer_.once(c::kServingSettles,
                     [this, assignment = std::move(assignment)] { gateway_.serving_changed(assignment); });
}

serving::Assignment ServingCoordinator::assignment_of(const std::vector<std::string>& labels) const {
  std::vector<serving::ServingController> controllers;
  for (const auto& label : labels) {
    if (label == settings_.label) controllers.push_back({label, settings_.zone});
    for (const auto& peer : settings_.peers)
      if (peer.label == label) controllers.push_back({label, peer.zone});
  }
  return serving::Assignment(std::move(controllers));
}

}  // namespace corkmux

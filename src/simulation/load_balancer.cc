#include "load_balancer.h"

#include <algorithm>

#include "simulation_constants.h"

namespace corkmux::simulation {
namespace {

constexpr std::size_t kMaxConnections = 4000;  // open connections per controller
constexpr std::size_t kMaxAttempts = 3;        // controllers tried per request
constexpr int kFailedProbesToRemove = 2;
constexpr int kGoodProbesToReturn = 2;
constexpr int kRefusedConnectionsToSkip = 3;
constexpr double kRecentRemoval = 120;  // s; a removal within this time of the last doubles the pause
constexpr int kMaxPauseDoublings = 5;

}  // namespace

LoadBalancer::LoadBalancer(Loop& loop, const std::map<std::string, std::string>& controllers)
    : loop_(loop), rng_(fresh_seed()), probe_timer_(loop) {
  for (const auto& [label, address] : controllers) {
    auto controller = std::make_unique<Controller>();
    controller->client = std::make_unique<http::Client>(loop_, address, kMaxConnections, kMaxConnections);
    controllers_.push_back(std::move(controller));
  }
  probe_timer_.every(kProbeInterval, [this] {
    for (auto& controller : controllers_) probe(*controller);
  });
}

void LoadBalancer::probe(Controller& controller) {
  controller.client->request("GET", "/ready", "", kProbeTimeout, [&controller](const http::Result& result) {
    probed(controller, result.status == 200);
  });
}

void LoadBalancer::probed(Controller& controller, bool ready) {
  const double now = steady_now();
  controller.good_probes = ready ? controller.good_probes + 1 : 0;
  controller.failed_probes = ready ? 0 : controller.failed_probes + 1;
  if (controller.healthy && controller.failed_probes >= kFailedProbesToRemove) {
    const bool removed_lately = now - controller.removed_at < kRecentRemoval;
    controller.recent_removals = removed_lately ? controller.recent_removals + 1 : 0;
    controller.removed_at = now;
    controller.healthy = false;
    const int doublings = std::min(controller.recent_removals, kMaxPauseDoublings);
    controller.healthy_not_before = now + std::min(kMaxReadmitDelay, kReadmitDelay * (1 << doublings));
    return;
  }
  const int needed = controller.was_healthy ? kGoodProbesToReturn : 1;
  if (controller.healthy || now < controller.healthy_not_before || controller.good_probes < needed) return;
  controller.healthy = true;
  controller.was_healthy = true;
}

LoadBalancer::Controller* LoadBalancer::pick(const std::vector<Controller*>& tried) {
  const double now = steady_now();
  std::vector<Controller*> candidates;
  for (auto& controller : controllers_) {
    const bool was_tried = std::find(tried.begin(), tried.end(), controller.get()) != tried.end();
    if (controller->healthy && now >= controller->skipped_until && !was_tried)
      candidates.push_back(controller.get());
  }
  return candidates.empty() ? nullptr : candidates[rng_() % candidates.size()];
}

void LoadBalancer::request(const char* method, const std::string& target, const std::string& body,
                           double timeout_s, Done done) {
  run({method, target, body, timeout_s, std::move(done), {}});
}

void LoadBalancer::request_at(std::size_t controller, const char* method, const std::string& target,
                              std::string body, double timeout_s, Done done) {
  controllers_[controller]->client->request(method, target, std::move(body), timeout_s, std::move(done));
}

void LoadBalancer::run(Attempt attempt) {
  Controller* controller = attempt.tried.size() < kMaxAttempts ? pick(attempt.tried) : nullptr;
  if (!controller) {
    loop_.post([done = std::move(attempt.done)] {
      done(http::Result::not_sent("no controller takes connections"));
    });
    return;
  }
  attempt.tried.push_back(controller);
  auto answered = [this, controller, attempt](http::Result result) mutable {
    const bool refused = !result.sent && result.status == 0;
    controller->refused_connections = refused ? controller->refused_connections + 1 : 0;
    if (controller->refused_connections >= kRefusedConnectionsToSkip)
      controller->skipped_until = steady_now() + kFailedConnectionPause;
    if (!refused) return attempt.done(std::move(result));
    run(std::move(attempt));
  };
  controller->client->request(attempt.method, attempt.target, attempt.body, attempt.timeout_s,
                              std::move(answered));
}

}  // namespace corkmux::simulation

#include "controller_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace corkmux::simulation {
namespace {

constexpr int kFirstStatePort = 3000;   // the state store's port for the first controller
constexpr double kRestartSpread = 0.1;  // fraction by which a restart delay varies either way

std::string label_of(std::size_t index) { return fmt::format("c{}", index + 1); }
std::string controller_ip(std::size_t index) { return fmt::format("10.0.0.{}", index + 1); }

/// Labels, zones and peer addresses of all controllers, for their settings.
std::vector<PeerAddress> peer_addresses(const std::vector<std::string>& zones) {
  std::vector<PeerAddress> all;
  for (std::size_t i = 0; i < zones.size(); ++i)
    all.push_back({label_of(i), zones[i], fmt::format("{}:{}", controller_ip(i), kPeerPort)});
  return all;
}

}  // namespace

ControllerProcess::ControllerProcess(EventSimulator& simulator, Settings settings, std::size_t state_listener)
    : simulator_(simulator), settings_(std::move(settings)), state_listener_(state_listener) {}

ControllerProcess::~ControllerProcess() {
  if (running()) destroy_controller();
}

void ControllerProcess::start() {
  host_ =
      &simulator_.add_host(settings_.label, ip_of(settings_.listen), settings_.zone, HostRole::Controller);
  loop_ = std::make_unique<Loop>(*host_);
  simulator_.run_as(*host_, [&] {
    controller_ = std::make_unique<Controller>(*loop_, settings_, load_operator(""));
    controller_->start();
  });
}

void ControllerProcess::end(HostEnd how, double back_s) {
  if (!running()) return;
  host_->end(how);
  destroy_controller();
  double spread = simulator_.uniform(1 - kRestartSpread, 1 + kRestartSpread);
  simulator_.schedule_after(back_s * spread, [this] { start(); });
}

void ControllerProcess::destroy_controller() {
  simulator_.run_as(*host_, [&] {
    controller_.reset();
    loop_.reset();
  });
}

ControllerFleet::ControllerFleet(EventSimulator& simulator, const SimulationPlan& plan, Host& services_host,
                                 StateService& state, int cloud_port)
    : simulator_(simulator) {
  auto all = peer_addresses(plan.controllers);
  for (std::size_t i = 0; i < all.size(); ++i) {
    std::size_t listener = 0;
    simulator_.run_as(services_host, [&] {
      listener = state.add_listener(fmt::format("{}:{}", services_host.ip(), kFirstStatePort + i));
    });
    Settings settings = plan.site;
    settings.label = all[i].label;
    settings.zone = all[i].zone;
    settings.listen = fmt::format("{}:{}", controller_ip(i), kUserPort);
    settings.peer_listen = all[i].address;
    settings.state = fmt::format("{}:{}", services_host.ip(), state.listener_port(listener));
    settings.cloud = fmt::format("{}:{}", services_host.ip(), cloud_port);
    for (const auto& peer : all)
      if (peer.label != settings.label) settings.peers.push_back(peer);
    addresses_[settings.label] = settings.listen;
    processes_.push_back(std::make_unique<ControllerProcess>(simulator_, std::move(settings), listener));
  }
}

void ControllerFleet::start() {
  for (auto& process : processes_) process->start();
}

void ControllerFleet::roll(double every_s, double back_s) {
  for (std::size_t i = 0; i < processes_.size(); ++i)
    simulator_.schedule_after(every_s * static_cast<double>(i),
                              [process = processes_[i].get(), back_s] { process->crash(back_s); });
}

std::vector<ControllerProcess*> ControllerFleet::running() const {
  std::vector<ControllerProcess*> running;
  for (const auto& process : processes_)
    if (process->running()) running.push_back(process.get());
  return running;
}

std::vector<ControllerProcess*> ControllerFleet::draw(int count, bool leaders_first) {
  auto drawn = running();
  std::shuffle(drawn.begin(), drawn.end(), simulator_.rng());
  std::stable_sort(
      drawn.begin(), drawn.end(), [&](const ControllerProcess* left, const ControllerProcess* right) {
        return leaders_first ? left->leading() > right->leading() : left->leading() < right->leading();
      });
  if (drawn.size() > static_cast<std::size_t>(count)) drawn.resize(static_cast<std::size_t>(count));
  return drawn;
}

}  // namespace corkmux::simulation

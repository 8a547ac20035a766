#include "controller_group.h"

#include <fmt/format.h>
#include <signal.h>

#include <fstream>

#include "controller_settings.h"

namespace corkmux::scale_test {
namespace {

constexpr const char* kOperatorFile = "operator.textproto";

/// The counts in the last `traffic [` line of a controller's log; nullopt: none is logged yet.
std::optional<codec::Json> last_traffic(const std::string& log) {
  std::ifstream in(log);
  std::string last;
  for (std::string line; std::getline(in, line);)
    if (line.find("traffic [") != std::string::npos) last = line;
  auto at = last.find('{');
  if (at == std::string::npos) return std::nullopt;
  auto parsed = codec::Json::parse(last.substr(at), nullptr, false);
  if (!parsed.is_object()) return std::nullopt;
  return parsed;
}

}  // namespace

void ControllerGroup::start_all(const std::string& state, const std::string& cloud) {
  // All addresses are reserved before the first controller starts, because its outgoing connections take free
  // ports that a later reservation could need.
  for (int i = 0; i < plan_.controllers; ++i) {
    auto label = controller_label(static_cast<std::size_t>(i));
    controllers_.push_back(
        std::make_unique<Controller>(label, fmt::format("127.0.1.{}", i + 1), folder_.file(label + ".log")));
  }
  RunAddresses addresses;
  addresses.state = state;
  addresses.cloud = cloud;
  for (const auto& controller : controllers_) {
    addresses.users.push_back(controller->user_address.text());
    addresses.peers.push_back(controller->peer_address.text());
  }
  // The plan fixes the number of machines, so the controllers must not provision or return any for load.
  folder_.write(kOperatorFile, "manage_fleet: false\n");
  for (std::size_t number = 0; number < controllers_.size(); ++number) {
    folder_.write(controllers_[number]->label + ".toml", controller_settings(plan_, number, addresses));
    start(number);
  }
}

void ControllerGroup::start(std::size_t number) {
  Controller& controller = *controllers_[number];
  controller.process.start({program_, "--config", folder_.file(controller.label + ".toml"), "--operator",
                            folder_.file(kOperatorFile)});
}

void ControllerGroup::end() {
  for (auto& controller : controllers_) controller->process.end();
}

std::optional<std::size_t> ControllerGroup::find(const std::string& label) const {
  for (std::size_t number = 0; number < controllers_.size(); ++number)
    if (controllers_[number]->label == label) return number;
  return std::nullopt;
}

std::map<std::string, std::string> ControllerGroup::user_addresses() const {
  std::map<std::string, std::string> addresses;
  for (const auto& controller : controllers_) addresses[controller->label] = controller->user_address.text();
  return addresses;
}

std::vector<MeasuredProcess*> ControllerGroup::processes() const {
  std::vector<MeasuredProcess*> processes;
  for (const auto& controller : controllers_) processes.push_back(&controller->process);
  return processes;
}

void ControllerGroup::request_traffic() {
  for (auto& controller : controllers_) controller->process.signal(SIGUSR1);
}

void ControllerGroup::read_traffic() {
  for (auto& controller : controllers_)
    if (auto traffic = last_traffic(controller->process.log()))
      controller->process.set_traffic(std::move(*traffic));
}

}  // namespace corkmux::scale_test

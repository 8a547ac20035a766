// One controller: all actors, wired together.
#pragma once
#include <memory>

#include "command_delivery.h"
#include "fanin_coordinator.h"
#include "gateway.h"
#include "heartbeat_forwarder.h"

namespace corkmux {

class Controller {
 public:
  Controller(Loop& loop, const Settings& settings, const OperatorChoices& choices);
  void start();
  /// An orderly end: turns `/ready` off, refuses new work, gives leadership back, settles what is open, then
  /// calls `done`, within kEndTime whatever happens. Whatever it leaves undone is as after a crash.
  void stop(std::function<void()> done);
  int port() const { return gateway_.port(); }
  bool leading() const { return leader_.leading(); }
  StateClient& state() { return state_; }
  Gateway& gateway() { return gateway_; }

 private:
  void settle(double since, std::function<void()> done);
  Leader::Callbacks leader_callbacks();
  PeerExchange::Callbacks peer_callbacks();
  void leader_changed(const std::string& label, std::uint64_t term);
  /// A batch for whoever leads, ourselves included.
  void post_heartbeats(const std::string& label, std::string body, std::function<void(http::Result)> done);
  Settings settings_;
  std::string own_label_;
  bool alone_;  // no other controller is named in the settings
  StateClient state_;
  http::Client cloud_;
  OutageLog cloud_outage_;
  Catalog catalog_;
  Leader leader_;
  PeerExchange peer_exchange_;
  LeaseProxy lease_proxy_;
  StoreRelay store_relay_;
  fanin::HeartbeatForwarder forwarder_;
  fanin::CommandDelivery delivery_;
  Gateway gateway_;
  FanInCoordinator coordinator_;
  Timer stop_timer_;
  bool resigned_ = false;
};

}  // namespace corkmux

// One controller: all actors, wired together.
#pragma once
#include <memory>

#include "gateway.h"
#include "order_delivery.h"
#include "report_forwarder.h"
#include "serving_coordinator.h"

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
  Leader::Hooks leader_hooks();
  Peers::Hooks peer_hooks();
  void leader_changed(const std::string& label, std::uint64_t term);
  /// A batch for whoever leads, ourselves included.
  void post_reports(const std::string& label, std::string body, std::function<void(http::Result)> done);
  Settings settings_;
  std::string own_label_;
  bool alone_;  // no other controller is named in the settings
  StateClient state_;
  http::Client cloud_;
  OutageLog cloud_outage_;
  Catalog catalog_;
  Leader leader_;
  Peers peers_;
  Keeper keeper_;
  Mail mail_;
  serving::ReportForwarder forwarder_;
  serving::OrderDelivery delivery_;
  Gateway gateway_;
  ServingCoordinator coordinator_;
  Timer stop_timer_;
  bool resigned_ = false;
};

}  // namespace corkmux

// One controller: all actors, wired together.
#pragma once
#include <memory>

#include "gateway.h"

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
  Gateway gateway_;
  Timer stop_timer_;
  bool resigned_ = false;
};

}  // namespace corkmux

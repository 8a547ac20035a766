// A controller process: constructs all actors, connects their callbacks, and owns them and the order in which
// they start and stop. Makes no decisions of its own.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "command_delivery.h"
#include "fanin_coordinator.h"
#include "heartbeat_forwarder.h"
#include "http_front_end.h"
#include "job_admission.h"
#include "job_status_cache.h"
#include "readiness_probe.h"
#include "user_api.h"
#include "worker_endpoint.h"

namespace corkmux {

namespace constants {
inline constexpr double kShutdownTimeLimit = 4.0;       // s that an orderly shutdown takes at most
inline constexpr double kSuccessorWait = 1.5;           // s that a shutdown waits until a successor is known
inline constexpr double kShutdownCheckInterval = 0.05;  // s between checks whether the shutdown may complete
}  // namespace constants

class Controller {
 public:
  Controller(Loop& loop, const Settings& settings, const OperatorChoices& choices);
  void start();
  /// Shuts down in order: turns `/ready` off, refuses new work, releases the leader lease and settles open
  /// requests, then calls `done`, after kShutdownTimeLimit at the latest. Whatever is unsettled then is in
  /// the same state as after a crash.
  void stop(std::function<void()> done);
  /// An exception has left a handler: this controller stops leading, if it leads.
  void handler_failed();
  int port() const { return front_end_.port(); }
  bool leading() const { return leader_.leading(); }

  // Shared with other front ends to the same jobs.
  StateClient& state() { return state_; }
  const JobAdmission& admission() const { return admission_; }
  JobStatusCache& status_cache() { return status_cache_; }

 private:
  Leader::Callbacks leader_callbacks();
  CancelGossip::Callbacks cancel_callbacks();
  PeerExchange::Callbacks peer_callbacks();
  JobStatusCache::Callbacks status_callbacks();
  void leader_changed(const std::string& label, std::uint64_t term);
  /// Sends a batch of heartbeats to the leader with that label, which may be this controller.
  void post_heartbeats(const std::string& label, std::string body, PeerExchange::PostCallback done);
  void finish_stopping(double started_at, std::function<void()> done);

  Settings settings_;
  std::string own_label_;
  bool single_controller_;  // the settings name no other controller
  StateClient state_;
  http::Client cloud_;
  OutageLog cloud_outage_;
  Catalog catalog_;
  Leader leader_;
  CancelGossip cancel_gossip_;
  FanInMembership fanin_membership_;
  PeerExchange peer_exchange_;
  LeaseProxy lease_proxy_;
  StoreRelay store_relay_;
  fanin::HeartbeatForwarder forwarder_;
  fanin::CommandDelivery delivery_;
  JobAdmission admission_;
  JobStatusCache status_cache_;
  UserApi user_api_;
  WorkerEndpoint worker_endpoint_;
  ReadinessProbe readiness_;
  HttpFrontEnd front_end_;
  FanInCoordinator coordinator_;
  Timer stop_timer_;
  bool resigned_ = false;
};

}  // namespace corkmux

// One controller: all its actors, wired together. Owns them and the order in which they start and end;
// decides nothing itself.
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
inline constexpr double kEndTime = 4.0;            // s an orderly end takes at most
inline constexpr double kSuccessorTime = 1.5;      // s an end waits for a successor to be known
inline constexpr double kEndCheckInterval = 0.05;  // s between checks whether everything is settled
}  // namespace constants

class Controller {
 public:
  Controller(Loop& loop, const Settings& settings, const OperatorChoices& choices);
  void start();
  /// An orderly end: turns `/ready` off, refuses new work, gives leadership back, settles what is open, then
  /// calls `done`, within kEndTime whatever happens. Whatever it leaves undone is as after a crash.
  void stop(std::function<void()> done);
  int port() const { return front_end_.port(); }
  bool leading() const { return leader_.leading(); }

  // For other front ends to the same jobs.
  StateClient& state() { return state_; }
  const JobAdmission& admission() const { return admission_; }
  JobStatusCache& status_cache() { return status_cache_; }

 private:
  Leader::Callbacks leader_callbacks();
  PeerExchange::Callbacks peer_callbacks();
  JobStatusCache::Callbacks status_callbacks();
  void leader_changed(const std::string& label, std::uint64_t term);
  /// A batch for whoever leads, ourselves included.
  void post_heartbeats(const std::string& label, std::string body, std::function<void(http::Result)> done);
  void finish_stopping(double since, std::function<void()> done);

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

// The HTTP server for users, workers and health checks: passes each request to the module that answers it.
// Owns the server; maps paths and does not process requests itself.
#pragma once
#include "job_admission.h"
#include "readiness_probe.h"
#include "responder.h"
#include "settings.h"
#include "user_api.h"
#include "worker_endpoint.h"

namespace corkmux {

namespace constants {
inline constexpr int kReservedSockets = 160;  // for commands to workers, peers, state store and cloud
inline constexpr int kMinCallerSockets = 16;  // sockets for callers, however low the limit on connections
}  // namespace constants

class HttpFrontEnd {
 public:
  /// Binds the address; throws std::runtime_error if it is not available.
  HttpFrontEnd(Loop& loop, const Settings& settings, const JobAdmission& admission, UserApi& users,
               WorkerEndpoint& workers, const ReadinessProbe& readiness);
  /// Accepts no new connections; requests on open ones are still answered.
  void close() { server_.close(); }
  bool busy() const { return server_.busy(); }
  int port() const { return server_.port(); }

 private:
  void route(const Responder& caller, const http::Request& request);
  const JobAdmission& admission_;
  UserApi& users_;
  WorkerEndpoint& workers_;
  const ReadinessProbe& readiness_;
  http::Server server_;
};

}  // namespace corkmux

// The one HTTP server for users, workers and health checks: hands each request to whoever answers it. Owns
// the server; knows paths and nothing of what is behind them.
#pragma once
#include "job_admission.h"
#include "readiness_probe.h"
#include "responder.h"
#include "settings.h"
#include "user_api.h"
#include "worker_endpoint.h"

namespace corkmux {

namespace constants {
inline constexpr int kReservedSockets = 160;  // kept for commands to workers, peers, state service and cloud
inline constexpr int kSmallestFrontEnd = 16;  // sockets for callers, however few there are
}  // namespace constants

class HttpFrontEnd {
 public:
  /// Binds at once; throws std::runtime_error when the address cannot be had.
  HttpFrontEnd(Loop& loop, const Settings& settings, const JobAdmission& admission, UserApi& users,
               WorkerEndpoint& workers, const ReadinessProbe& readiness);
  /// Takes no new connections; what is open is answered.
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

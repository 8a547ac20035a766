#include "http_front_end.h"

#include <algorithm>

namespace corkmux {

HttpFrontEnd::HttpFrontEnd(Loop& loop, const Settings& settings, const JobAdmission& admission,
                           UserApi& users, WorkerEndpoint& workers, const ReadinessProbe& readiness)
    : admission_(admission),
      users_(users),
      workers_(workers),
      readiness_(readiness),
      server_(loop, settings.listen,
              static_cast<std::size_t>(std::max(constants::kMinCallerSockets,
                                                settings.max_connections - constants::kReservedSockets)),
              [this](http::Server::ConnectionId connection, const http::Request& request) {
                route(Responder(server_, connection), request);
              }) {}

void HttpFrontEnd::route(const Responder& caller, const http::Request& request) {
  auto routed = codec::route(request.method, request.target);
  // Only users are refused: workers are still redirected to another controller.
  if (admission_.closing() && routed.route != codec::Route::Heartbeat)
    return caller.unavailable("this controller is ending: try another");
  switch (routed.route) {
    case codec::Route::None:
      return caller.error(404, "no such path");
    case codec::Route::WrongMethod:
      return caller.error(405, "method not allowed here");
    case codec::Route::Ready:
      if (!readiness_.ready()) return caller.unavailable("not ready");
      return caller.answer_encoded(200, "");
    case codec::Route::Submit:
      return users_.submit(caller, request.body);
    case codec::Route::Query:
      return users_.query(caller, routed.job);
    case codec::Route::Cancel:
      return users_.cancel(caller, routed.job);
    case codec::Route::Heartbeat:
      return workers_.heartbeat(caller, request.body);
  }
}

}  // namespace corkmux

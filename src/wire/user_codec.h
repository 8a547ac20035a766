// Requests of users and their responses: submissions, views of jobs, errors; and the paths of all requests to
// a controller.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "field_error.h"
#include "job_spec.h"
#include "msgpack.h"

namespace corkmux::codec {

struct ParsedJob {
  std::optional<JobSpec> job;
  FieldError error;  // set if `job` is absent
};
ParsedJob parse_job(const Json& body);
Json job_to_wire(const JobSpec& job);
bool valid_job_id(std::string_view id);

/// A job as displayed to users.
struct JobView {
  std::string id;
  std::string phase;
  int done = 0;
  int running = 0;
  std::string reason;  // why the job waits or failed; an optional field, may be empty
};
Json view_to_wire(const JobView& view, bool with_counts);
Json error_to_wire(std::string_view text);
Json error_to_wire(const FieldError& error);

enum class Route { None, Submit, Query, Cancel, Ready, Heartbeat, WrongMethod };
struct Routed {
  Route route = Route::None;
  std::string job = {};  // of a query or cancel
};
Routed route(std::string_view method, std::string_view target);

}  // namespace corkmux::codec

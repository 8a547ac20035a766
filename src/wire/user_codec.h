// What users send and receive: submissions, displays of jobs, errors, and the paths of all requests to a
// controller.
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
  FieldError error;  // if there is no job
};
ParsedJob parse_job(const Json& body);
Json job_to_wire(const JobSpec& job);
bool valid_job_id(std::string_view id);

/// A job as it is displayed to users.
struct JobView {
  std::string id;
  std::string phase;
  int done = 0;
  int running = 0;
  std::string reason;  // why it waits or failed; an extra field, may be empty
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

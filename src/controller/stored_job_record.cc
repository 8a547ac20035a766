#include "stored_job_record.h"

#include <algorithm>

#include "event_loop.h"

namespace corkmux {
using codec::Json;

StoredJobRecord StoredJobRecord::for_new_job(const JobSpec& job) {
  return StoredJobRecord(Json{{"j", codec::job_to_wire(job)}, {"c", 0}, {"t", wall_now()}});
}

StoredJobRecord StoredJobRecord::for_new_job_in_pieces(int pieces) {
  return StoredJobRecord(Json{{"x", pieces}, {"c", 0}, {"t", wall_now()}});
}

bool StoredJobRecord::cancelled() const { return stored_.value("c", 0) != 0; }

bool StoredJobRecord::has_dependencies() const {
  if (!stored_.is_object()) return false;
  auto job = stored_.find("j");
  return job == stored_.end() || !job->is_object() || job->contains("awaits");
}

Json piece_record(std::string text) { return Json{{"x", std::move(text)}}; }

Json cancel_mark_record() { return Json{{"c", 1}}; }

double parse_dependency_barrier(const Json& record) {
  return steady_now() - std::max(0.0, wall_now() - record.value("t", 0.0));
}

}  // namespace corkmux

#include "job_record.h"

#include <algorithm>

#include "event_loop.h"
#include "wire_constants.h"
#include "wire_fields.h"

namespace corkmux {
namespace {

std::optional<double> time_in(const codec::Json& record) {
  const codec::Json* time = codec::field(record, "t");
  if (!time || !time->is_number()) return std::nullopt;
  return time->get<double>();
}

}  // namespace

JobRecord parse_job_record(const codec::Json& record) {
  JobRecord job;
  if (auto spec = record.find("j"); spec != record.end()) {
    job.holds_spec = true;
    job.spec = codec::parse_job(*spec).job;
  }
  job.cancelled = is_marked_cancelled(record);
  job.accepted_at = time_in(record);
  return job;
}

bool is_marked_cancelled(const codec::Json& record) { return codec::number(record, "c") != 0; }

StoredJobRecord StoredJobRecord::for_new_job(const JobSpec& job) {
  return StoredJobRecord(codec::Json{{"j", codec::job_to_wire(job)}, {"c", 0}, {"t", wall_now()}});
}

StoredJobRecord StoredJobRecord::for_new_job_in_pieces(int pieces) {
  return StoredJobRecord(codec::Json{{"x", pieces}, {"c", 0}, {"t", wall_now()}});
}

bool StoredJobRecord::has_dependencies() const {
  if (!stored_.is_object()) return false;
  auto job = stored_.find("j");
  return job == stored_.end() || !job->is_object() || job->contains("awaits");
}

void StoredJobRecord::mark_cancelled() {
  if (!stored_.is_object()) stored_ = codec::Json::object();  // an unreadable record is replaced
  stored_["c"] = 1;
}

codec::Json cancel_mark_to_json() { return codec::Json{{"c", 1}}; }

codec::Json job_piece_to_json(std::string text) { return codec::Json{{"x", std::move(text)}}; }

std::string parse_job_piece(const codec::Json& piece) { return codec::text(piece, "x"); }

std::optional<JobSpec> parse_joined_spec(const std::string& text) {
  return codec::parse_job(codec::Json::parse(text, nullptr, false)).job;
}

codec::Json to_json(const JobOutcomeRecord& outcome) {
  codec::Json record = {{"p", outcome.phase}, {"n", outcome.tasks_done}};
  if (outcome.ended_at) record["t"] = *outcome.ended_at;
  return record;
}

JobOutcomeRecord parse_job_outcome(const codec::Json& record) {
  const auto tasks_done = std::min<std::uint64_t>(codec::integer(record, "n"), constants::kMaxTasks);
  return {codec::text(record, "p"), static_cast<int>(tasks_done), time_in(record)};
}

}  // namespace corkmux

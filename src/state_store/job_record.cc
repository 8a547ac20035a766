#include "job_record.h"

namespace corkmux {
namespace {

std::optional<double> time_in(const codec::Json& record) {
  if (!record.contains("t")) return std::nullopt;
  return record.value("t", 0.0);
}

}  // namespace

JobRecord parse_job_record(const codec::Json& record) {
  JobRecord job;
  if (auto spec = record.find("j"); spec != record.end()) {
    job.holds_spec = true;
    job.spec = codec::parse_job(*spec).job;
  }
  job.cancelled = record.value("c", 0) != 0;
  job.accepted_at = time_in(record);
  return job;
}

std::string parse_job_piece(const codec::Json& piece) { return piece.value("x", ""); }

std::optional<JobSpec> parse_joined_spec(const std::string& text) {
  return codec::parse_job(codec::Json::parse(text, nullptr, false)).job;
}

codec::Json to_json(const JobOutcomeRecord& outcome) {
  codec::Json record = {{"p", outcome.phase}, {"n", outcome.tasks_done}};
  if (outcome.ended_at) record["t"] = *outcome.ended_at;
  return record;
}

JobOutcomeRecord parse_job_outcome(const codec::Json& record) {
  return {record.value("p", ""), record.value("n", 0), time_in(record)};
}

}  // namespace corkmux

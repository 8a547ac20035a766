// The stored forms of a job: its record while it is unfinished (kJobs), the pieces of one that is too long
// for one value, the mark of a cancel beside such a record, and how the job ended (kFinals).
#pragma once
#include <optional>
#include <string>

#include "codec.h"

namespace corkmux {

/// An unfinished job's record. One that is too long for one value holds no specification: that stands in
/// pieces beside it.
struct JobRecord {
  bool holds_spec = false;
  std::optional<JobSpec> spec;  // nullopt: the record holds none, or one that this version cannot read
  bool cancelled = false;
  std::optional<double> accepted_at;  // s since 1970
};

/// Reads an unfinished job's record, or the mark of a cancel.
JobRecord parse_job_record(const codec::Json& record);
/// The text in one piece of a long specification.
std::string parse_job_piece(const codec::Json& piece);
/// The specification whose pieces, joined, are this text; nullopt: unreadable.
std::optional<JobSpec> parse_joined_spec(const std::string& text);

/// How a job ended.
struct JobOutcomeRecord {
  std::string phase;  // "done" or "cancelled"
  int tasks_done = 0;
  std::optional<double> ended_at;  // s since 1970; records of the first version do not say
};

/// The stored form.
codec::Json to_json(const JobOutcomeRecord& outcome);
/// Reads the stored form; what is missing stays empty.
JobOutcomeRecord parse_job_outcome(const codec::Json& record);

}  // namespace corkmux

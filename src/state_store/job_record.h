// The stored forms of a job: its record while it is unfinished (kJobs), the pieces of a record that is too
// long for one value, the cancel mark beside such a record, and the outcome of the job (kFinals). The fields
// of these records are defined in this module only.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "codec.h"

namespace corkmux {

/// An unfinished job's record. A record that is too long for one value contains no specification; this is
/// stored in pieces beside it.
struct JobRecord {
  bool holds_spec = false;
  std::optional<JobSpec> spec;  // nullopt: absent from the record, or unreadable for this version
  bool cancelled = false;
  std::optional<double> accepted_at;  // s since 1970
};

/// Parses an unfinished job's record, or a cancel mark.
JobRecord parse_job_record(const codec::Json& record);
/// Whether an unfinished job's record, or a mark beside it, states that the job is cancelled. For callers
/// that read many records and need no other field.
bool is_marked_cancelled(const codec::Json& record);

/// The record of an unfinished job, for writing. Writers set few of its fields, and fields that are unknown
/// to this version are kept when the record is written back.
class StoredJobRecord {
 public:
  StoredJobRecord() = default;
  explicit StoredJobRecord(codec::Json stored) : stored_(std::move(stored)) {}
  /// The record of a job that is submitted now.
  static StoredJobRecord for_new_job(const JobSpec& job);
  /// The record of a job that is submitted now and whose specification is stored in so many pieces beside it.
  static StoredJobRecord for_new_job_in_pieces(int pieces);
  bool cancelled() const { return is_marked_cancelled(stored_); }
  /// Whether the job may depend on other jobs. True for every long record, since its pieces are not read for
  /// this.
  bool has_dependencies() const;
  void mark_cancelled();
  /// Size in the state store, bytes.
  std::size_t size() const { return codec::json_size(stored_); }
  const codec::Json& json() const { return stored_; }

 private:
  codec::Json stored_;
};

/// One piece of a long specification.
codec::Json job_piece_to_json(std::string text);
/// The text in one piece of a long specification.
std::string parse_job_piece(const codec::Json& piece);
/// Parses a specification from its joined pieces; nullopt: unreadable.
std::optional<JobSpec> parse_joined_spec(const std::string& text);

/// The cancel mark of a job whose own record cannot be written again.
codec::Json cancel_mark_to_json();

/// The phases of jobs, as reported to users and as stored in the records of ended jobs.
namespace job_phase {
inline constexpr const char* kQueued = "queued";
inline constexpr const char* kRunning = "running";
inline constexpr const char* kDone = "done";
inline constexpr const char* kCancelled = "cancelled";
}  // namespace job_phase

/// The outcome of an ended job.
struct JobOutcomeRecord {
  std::string phase;  // job_phase::kDone or kCancelled
  int tasks_done = 0;
  std::optional<double> ended_at;  // s since 1970; absent from records of the first version
};

/// The stored form.
codec::Json to_json(const JobOutcomeRecord& outcome);
/// Parses the stored form; missing fields stay empty.
JobOutcomeRecord parse_job_outcome(const codec::Json& record);

}  // namespace corkmux

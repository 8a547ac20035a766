// The stored forms of a job: its record while it is unfinished (kJobs), the pieces of one that is too long
// for one value, the mark of a cancel beside such a record, and how the job ended (kFinals). The only file
// that knows their fields.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

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
/// Whether an unfinished job's record, or a mark beside it, says that the job is cancelled; for readers of
/// many records, who need nothing else of them.
bool says_cancelled(const codec::Json& record);

/// The record of an unfinished job for those who write it: they set few of its fields, and what this version
/// does not know of it is kept when it is written back.
class StoredJobRecord {
 public:
  StoredJobRecord() = default;
  explicit StoredJobRecord(codec::Json stored) : stored_(std::move(stored)) {}
  /// Of a job that is submitted now.
  static StoredJobRecord for_new_job(const JobSpec& job);
  /// Of a job that is submitted now and whose specification stands in that many pieces beside it.
  static StoredJobRecord for_new_job_in_pieces(int pieces);
  bool cancelled() const { return says_cancelled(stored_); }
  /// Whether it depends on other jobs, or may: the pieces of a long record are not read for it.
  bool has_dependencies() const;
  void mark_cancelled();
  /// Bytes that it takes in the store.
  std::size_t size() const { return stored_.dump().size(); }
  const codec::Json& json() const { return stored_; }

 private:
  codec::Json stored_;
};

/// One piece of a long specification.
codec::Json job_piece_to_json(std::string text);
/// The text in one piece of a long specification.
std::string parse_job_piece(const codec::Json& piece);
/// The specification whose pieces, joined, are this text; nullopt: unreadable.
std::optional<JobSpec> parse_joined_spec(const std::string& text);

/// The mark of a cancelled job whose own record cannot be written any more.
codec::Json cancel_mark_to_json();

/// The phases of jobs, as users are told them and as records of ended jobs name them.
namespace job_phase {
inline constexpr const char* kQueued = "queued";
inline constexpr const char* kRunning = "running";
inline constexpr const char* kDone = "done";
inline constexpr const char* kCancelled = "cancelled";
}  // namespace job_phase

/// How a job ended.
struct JobOutcomeRecord {
  std::string phase;  // job_phase::kDone or kCancelled
  int tasks_done = 0;
  std::optional<double> ended_at;  // s since 1970; records of the first version do not say
};

/// The stored form.
codec::Json to_json(const JobOutcomeRecord& outcome);
/// Reads the stored form; what is missing stays empty.
JobOutcomeRecord parse_job_outcome(const codec::Json& record);

}  // namespace corkmux

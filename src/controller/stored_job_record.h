// The record of an unfinished job as it stands in the state store (kJobs), for front ends that look at few of
// its fields and write it back as a whole. `job_record.h` of the state store's folder reads it in full.
#pragma once
#include <cstddef>
#include <string>

#include "codec.h"
#include "model.h"

namespace corkmux {

/// The phases that users are told.
namespace job_phase {
inline constexpr const char* kQueued = "queued";
inline constexpr const char* kRunning = "running";
inline constexpr const char* kDone = "done";
inline constexpr const char* kCancelled = "cancelled";
}  // namespace job_phase

/// The record of an unfinished job. Fields that this version does not know are kept when it is written back.
class StoredJobRecord {
 public:
  StoredJobRecord() = default;
  explicit StoredJobRecord(codec::Json stored) : stored_(std::move(stored)) {}
  /// Of a job that is submitted now.
  static StoredJobRecord for_new_job(const JobSpec& job);
  /// Of a job whose description stands in `pieces` records of its own.
  static StoredJobRecord for_new_job_in_pieces(int pieces);
  bool cancelled() const;
  /// Whether it depends on other jobs, or may: the pieces of a long record are not read for it.
  bool has_dependencies() const;
  void mark_cancelled() { stored_["c"] = 1; }
  /// Bytes that it takes in the store.
  std::size_t size() const { return stored_.dump().size(); }
  const codec::Json& json() const { return stored_; }

 private:
  codec::Json stored_;
};

/// One piece of a job's description.
codec::Json piece_record(std::string text);
/// The mark of a cancelled job whose own record cannot be written any more.
codec::Json cancel_mark_record();
/// Steady time at which the dependency barrier stood, by the record under kDependencyBarrierKey.
double parse_dependency_barrier(const codec::Json& record);

}  // namespace corkmux

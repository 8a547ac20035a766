// Reads the state of a job from the state store. Owns nothing; notes ends and cancels that it reads in the
// job status cache. Never writes to the store.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "job_admission.h"
#include "job_record.h"
#include "job_status_cache.h"
#include "state_client.h"

namespace corkmux {

/// A job as read from the state store.
struct StoredJob {
  std::string phase;           // as shown to users; empty: never accepted
  std::uint64_t revision = 0;  // of the record, for an unfinished job
  StoredJobRecord record;      // for an unfinished job
  bool accepted() const { return !phase.empty(); }
  bool unfinished() const { return phase == job_phase::kQueued; }
  /// Whether the job is unfinished and depends on other jobs, or may depend on some.
  bool has_dependencies() const { return unfinished() && record.has_dependencies(); }
};

class JobReader {
 public:
  /// No value: the state store could not be read.
  using Callback = std::function<void(std::optional<StoredJob>)>;
  JobReader(StateClient& state, const JobAdmission& admission, JobStatusCache& status_cache)
      : state_(state), admission_(admission), status_cache_(status_cache) {}
  /// Reads a job's record, and its outcome where the record does not settle the state.
  void read(const std::string& job, Callback done);

 private:
  void read_outcome(const std::string& job, StoredJob state_from_record, Callback done);
  StateClient& state_;
  const JobAdmission& admission_;
  JobStatusCache& status_cache_;
};

}  // namespace corkmux

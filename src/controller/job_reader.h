// Reads how a job stands in the state store. Owns nothing; what it reads of ends and cancels it notes in the
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

/// A job as the state store has it.
struct StoredJob {
  std::string phase;           // as users are told; empty: never accepted
  std::uint64_t revision = 0;  // of the record of an unfinished job
  StoredJobRecord record;      // of an unfinished job
  bool accepted() const { return !phase.empty(); }
  bool unfinished() const { return phase == job_phase::kQueued; }
  /// Whether it is unfinished and depends on other jobs, or may.
  bool has_dependencies() const { return unfinished() && record.has_dependencies(); }
};

class JobReader {
 public:
  /// No value: the state service could not say.
  using Callback = std::function<void(std::optional<StoredJob>)>;
  JobReader(StateClient& state, const JobAdmission& admission, JobStatusCache& status_cache)
      : state_(state), admission_(admission), status_cache_(status_cache) {}
  /// Reads a job's record, then its end.
  void read(const std::string& job, Callback done);

 private:
  void read_end(const std::string& job, StoredJob so_far, Callback done);
  StateClient& state_;
  const JobAdmission& admission_;
  JobStatusCache& status_cache_;
};

}  // namespace corkmux

// Reads objects and the progress of their jobs from the state store. Read only; holds references, owns
// nothing.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "job_record.h"
#include "job_status_cache.h"
#include "objects.h"
#include "state_client.h"

namespace corkmux::kube {

/// An object as read from the state store, with the state of its job.
struct FoundObject {
  StoredObject stored;
  std::uint64_t revision = 0;      // of its record
  std::uint64_t job_revision = 0;  // of its job's record; 0: the job has ended
  StoredJobRecord job_record;      // set while the job is unfinished
  Progress progress;
};

/// Reads single objects. The state client and the cache must outlive the reader, which must outlive its
/// pending reads.
class ObjectReader {
 public:
  enum class Error { NoSuchObject, StoreUnavailable };
  using ObjectCallback = std::function<void(std::optional<FoundObject>)>;
  using ReadCallback = std::function<void(std::optional<FoundObject>, Error)>;

  ObjectReader(StateClient& state, JobStatusCache& status_cache)
      : state_(state), status_cache_(status_cache) {}
  /// Reads an object's record and the progress of its job. The error is meaningful only if no object is
  /// passed.
  void read(const std::string& namespace_name, const std::string& name, ReadCallback done);
  /// Reads the progress of an object's job. `revision` is that of the object's record. `done` gets nullopt if
  /// the progress cannot be read.
  void read_progress(StoredObject stored, std::uint64_t revision, ObjectCallback done);

 private:
  using FoundObjectPtr = std::shared_ptr<FoundObject>;
  void on_job_record(const FoundObjectPtr& found, const StateReply& reply, const ObjectCallback& done);
  void read_outcome(const FoundObjectPtr& found, const ObjectCallback& done);

  StateClient& state_;
  JobStatusCache& status_cache_;
};

}  // namespace corkmux::kube

// Reads objects from the state store, with how their jobs stand. Owns nothing; never writes.
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

/// An object as it stands in the store.
struct FoundObject {
  StoredObject stored;
  std::uint64_t revision = 0;      // of its record
  std::uint64_t job_revision = 0;  // of its job's record; 0: the job is over
  StoredJobRecord job_record;      // while the job is unfinished
  Progress progress;
};

/// Reads single objects. The client and the cache have to outlive it and its reads.
class ObjectReader {
 public:
  enum class Error { NoSuchObject, StoreUnavailable };
  using ObjectCallback = std::function<void(std::optional<FoundObject>)>;
  using ReadCallback = std::function<void(std::optional<FoundObject>, Error)>;

  ObjectReader(StateClient& state, JobStatusCache& status_cache)
      : state_(state), status_cache_(status_cache) {}
  /// Reads an object's record and how its job stands. The error means something only without an object.
  void read(const std::string& namespace_name, const std::string& name, ReadCallback done);
  /// Reads how the job of an object stands, whose record had that revision; nullopt: it cannot be read.
  void read_progress(StoredObject stored, std::uint64_t revision, ObjectCallback done);

 private:
  using FoundObjectPtr = std::shared_ptr<FoundObject>;
  void on_job_record(const FoundObjectPtr& found, const StateReply& reply, const ObjectCallback& done);
  void read_outcome(const FoundObjectPtr& found, const ObjectCallback& done);

  StateClient& state_;
  JobStatusCache& status_cache_;
};

}  // namespace corkmux::kube

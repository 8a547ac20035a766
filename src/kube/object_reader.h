// Reads objects from the state store, with how their jobs stand. Owns nothing; never writes.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "job_status_cache.h"
#include "objects.h"
#include "state_client.h"

namespace corkmux::kube {

/// The key under which an object is stored.
std::string object_key(const std::string& space, const std::string& name);
/// The prefix of the keys of all objects of a namespace.
std::string objects_prefix(const std::string& space);

/// An object as it stands in the store.
struct FoundObject {
  Stored stored;
  std::uint64_t revision = 0;      // of its record
  std::uint64_t job_revision = 0;  // of its job's record; 0: the job is over
  Json job_record;
  Progress progress;
};

class ObjectReader {
 public:
  enum class Error { NoSuchObject, StoreUnavailable };
  using ObjectCallback = std::function<void(std::optional<FoundObject>)>;
  using ReadCallback = std::function<void(std::optional<FoundObject>, Error)>;

  ObjectReader(StateClient& state, JobStatusCache& status_cache)
      : state_(state), status_cache_(status_cache) {}
  /// Reads an object's record and how its job stands. The error means something only without an object.
  void read(const std::string& space, const std::string& name, ReadCallback done);
  /// Reads how the job of an object stands, whose record had that revision; nullopt: it cannot be read.
  void read_progress(Stored stored, std::uint64_t revision, ObjectCallback done);

 private:
  StateClient& state_;
  JobStatusCache& status_cache_;
};

}  // namespace corkmux::kube

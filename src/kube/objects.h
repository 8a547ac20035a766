// Objects of the Kubernetes API (batch/v1 Job, API reference v1.28): how they are stored, and how they and
// errors are shown to clients. Pure functions.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "job_record.h"
#include "request_body.h"

namespace corkmux::kube {

// The API's reasons of causes.
inline constexpr const char* kInvalidValue = "FieldValueInvalid";
inline constexpr const char* kNotSupported = "FieldValueNotSupported";
inline constexpr const char* kRequired = "FieldValueRequired";

/// What is wrong with a field, as `details.causes` of a Status tells it.
struct Cause {
  std::string field;
  std::string message;
  const char* reason = kInvalidValue;
};

/// How a submission is kept in the state store, under kKubeObjects; `f` of the record is its format.
struct StoredObject {
  std::string uid;
  std::string job;     // the id under which everything below the interface knows it
  double created = 0;  // s since 1970
  Json metadata;       // as submitted: name, labels and annotations
  Json spec;           // as submitted
};
/// The name; empty if the record has none.
std::string name_of(const StoredObject& stored);
/// The labels as submitted; what is no text is left out.
std::map<std::string, std::string> labels_of(const StoredObject& stored);
/// The number of its tasks. Guards against `null`, which is a field left out and is stored as it was sent.
int tasks_of(const StoredObject& stored);
/// The record of it in the state store.
Json to_record(const StoredObject& stored);
/// Reads a record of the state store. nullopt: a later version wrote it, or it is no such record.
std::optional<StoredObject> parse_record(const Json& record);

/// How its job stands.
struct Progress {
  enum class Phase { Unfinished, Done, Cancelled };
  Phase phase = Phase::Unfinished;
  int tasks = 1;
  int done = 0;
  int running = 0;
  std::string reason;              // why it waits
  std::optional<double> ended_at;  // s since 1970, if that is known
  std::uint64_t revision = 0;      // of what this was read from
};
/// Completes the progress of a job that has ended.
void apply_outcome(Progress& progress, const JobOutcomeRecord& outcome);
/// The object as clients see it.
Json job_object(const StoredObject& stored, const std::string& namespace_name, const Progress& progress);
/// A table of objects, as command-line clients print it. `now`: s since 1970, for their ages.
Json job_table(const std::vector<Json>& jobs, const Json& metadata, double now);

/// The API's `Status` object: how a request ended that is not answered with an object.
struct ApiStatus {
  int code = 500;  // of HTTP
  std::string reason = {};
  std::string message = {};
  std::string name = {};  // of the object
  std::string kind = {};  // of the object; empty: the status is about none
  std::vector<Cause> causes = {};
  std::string uid = {};  // of the object
};
Json status_object(const ApiStatus& status);

/// As the API writes times (RFC 3339).
std::string time_text(double since_1970);
/// Whether it can be the name of an object.
bool valid_name(const std::string& name);

}  // namespace corkmux::kube

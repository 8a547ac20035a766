// Objects of the Kubernetes API (batch/v1 Job, API reference v1.28): their record format in the state store,
// and the JSON of objects and errors that clients get. All functions are pure.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "job_record.h"
#include "request_body.h"

namespace corkmux::kube {

// Reasons of causes that the API defines.
inline constexpr const char* kInvalidValue = "FieldValueInvalid";
inline constexpr const char* kNotSupported = "FieldValueNotSupported";
inline constexpr const char* kRequired = "FieldValueRequired";

/// An error in one field, as listed in `details.causes` of a Status.
struct Cause {
  std::string field;
  std::string message;
  const char* reason = kInvalidValue;
};

/// A submitted object as stored in the state store under kKubeObjects. The field `f` of the record is the
/// record format.
struct StoredObject {
  std::string uid;
  std::string job;     // the job's id in the scheduler and in all code outside src/kube
  double created = 0;  // s since 1970
  Json metadata;       // as submitted: name, labels and annotations
  Json spec;           // as submitted
};
/// Returns the object's name; empty if the record has none.
std::string name_of(const StoredObject& stored);
/// Returns the labels as submitted, without values that are not strings.
std::map<std::string, std::string> labels_of(const StoredObject& stored);
/// Returns the number of tasks of the object's job: `completions`, or 1 if the field is absent or null. A
/// null field counts as absent, but is stored as submitted.
int task_count(const StoredObject& stored);
/// Encodes the object as a record of the state store.
Json to_record(const StoredObject& stored);
/// Decodes a record of the state store. nullopt if a later version wrote it, or if it is not a record of an
/// object.
std::optional<StoredObject> parse_record(const Json& record);

/// The progress of an object's job.
struct Progress {
  enum class Phase { Unfinished, Done, Cancelled };
  Phase phase = Phase::Unfinished;
  int tasks = 1;
  int done = 0;
  int running = 0;
  std::string reason;              // why the job waits
  std::optional<double> ended_at;  // s since 1970; nullopt: not ended or not known
  std::uint64_t revision = 0;      // of the latest record that this was read from
};
/// Sets the phase and the end time from the outcome record of a job that has ended.
void apply_outcome(Progress& progress, const JobOutcomeRecord& outcome);
/// Returns the object as sent to clients.
Json job_object(const StoredObject& stored, const std::string& namespace_name, const Progress& progress);
/// Returns a table of objects, as command-line clients print it. `now` (s since 1970) determines their ages.
Json job_table(const std::vector<Json>& jobs, const Json& metadata, double now);

/// The content of the API's `Status` object, the response to a request that returns no object.
struct ApiStatus {
  int code = 500;  // HTTP status code
  std::string reason = {};
  std::string message = {};
  std::string name = {};  // of the object
  std::string kind = {};  // of the object; empty: the status refers to no object
  std::vector<Cause> causes = {};
  std::string uid = {};  // of the object
};
Json status_object(const ApiStatus& status);

/// Formats a time in UTC (RFC 3339), the API's format. `since_1970` is in seconds.
std::string format_time(double since_1970);
/// Returns whether the text is a valid name of an object: an RFC 1123 subdomain of at most 63 bytes.
bool valid_name(const std::string& name);

}  // namespace corkmux::kube

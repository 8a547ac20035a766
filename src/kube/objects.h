// Objects of the Kubernetes API (batch/v1 Job, API reference v1.28): how they are stored, and how they and
// errors are shown to clients. Pure functions.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "body.h"

namespace corkmux::kube {

/// What is wrong with a field, as `details.causes` of a Status tells it.
struct Cause {
  std::string field;
  std::string message;
  const char* reason = "FieldValueInvalid";
};

/// How a submission is kept in the state store, under kKubeObjects; `f` of the record is its format.
struct Stored {
  std::string uid;
  std::string job;     // the id under which everything below the interface knows it
  double created = 0;  // s since 1970
  Json metadata;       // as submitted: name, labels and annotations
  Json spec;           // as submitted
};
std::map<std::string, std::string> labels_of(const Stored& stored);
/// Guards against `null`, which is a field left out and is stored as it was sent.
int tasks_of(const Stored& stored);
Json to_record(const Stored& stored);
/// nullopt: a later version wrote it, or it is no such record.
std::optional<Stored> from_record(const Json& record);

/// How its job stands.
struct Progress {
  enum class Phase { Unfinished, Done, Cancelled };
  Phase phase = Phase::Unfinished;
  int tasks = 1;
  int done = 0;
  int running = 0;
  std::string reason;          // why it waits
  double ended = 0;            // s since 1970; 0: not known
  std::uint64_t revision = 0;  // of what this was read from
};
Json job_object(const Stored& stored, const std::string& space, const Progress& progress);
Json job_table(const std::vector<Json>& jobs, const Json& metadata, double now);

/// The API's answer for what went wrong.
struct Failure {
  int code = 500;
  std::string reason;
  std::string message;
  std::string name;
  std::string kind;
  std::vector<Cause> causes;
  std::string uid;
};
Json status_object(const Failure& failure);

std::string time_text(double since_1970);
bool valid_name(const std::string& name);

}  // namespace corkmux::kube

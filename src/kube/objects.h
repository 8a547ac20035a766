// Objects of the Kubernetes API as the field's terms and back: batch/v1 Job (API reference v1.28). Pure
// functions. What a field of a submission becomes, and which are refused, is in docs/kubernetes.md.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "body.h"
#include "model.h"

namespace corkmux::kube {

/// What is wrong with a field, as `details.causes` of a Status tells it.
struct Cause {
  std::string field, message;
  const char* reason = "FieldValueInvalid";
};

struct Translated {
  JobSpec job;                // without id and team
  std::vector<Cause> causes;  // empty: the job can be submitted
  std::vector<std::string> warnings;
};
Translated translate_job(const Json& object);

/// Checks `metadata`: name or generateName, labels, annotations; and that it names no other namespace.
std::vector<Cause> check_metadata(const Json& object, const std::string& space);

/// How a submission is kept in the state service, under kKubeObjects; its own form is in `f`.
struct Stored {
  std::string uid, job;  // job: the id under which everything below the interface knows it
  double created = 0;    // s since 1970
  Json metadata, spec;   // as submitted; of the metadata name, labels and annotations
};
std::map<std::string, std::string> labels_of(const Stored& s);
/// Guards against `null`, which is a field left out and is stored as it was sent.
int tasks_of(const Stored& s);
Json to_record(const Stored& s);
/// nullopt: a later version wrote it, or it is no such record.
std::optional<Stored> from_record(const Json& record);

/// How its job stands.
struct Progress {
  enum class Phase { Unfinished, Done, Cancelled } phase = Phase::Unfinished;
  int tasks = 1, done = 0, running = 0;
  std::string reason;          // why it waits
  double ended = 0;            // s since 1970; 0: not known
  std::uint64_t revision = 0;  // of what this was read from
};
Json job_object(const Stored& s, const std::string& space, const Progress& p);
Json job_table(const std::vector<Json>& jobs, const Json& metadata, double now);

/// The API's answer for what went wrong.
struct Failure {
  int code = 500;
  std::string reason, message, name, kind;
  std::vector<Cause> causes;
  std::string uid;
};
Json status_object(const Failure& f);

std::string time_text(double since_1970);
bool valid_name(const std::string& name);

}  // namespace corkmux::kube

// Creates and deletes objects: the write requests of ApiServer.
#include <algorithm>
#include <utility>

#include "api_server.h"
#include "codec.h"
#include "job_record.h"
#include "job_translation.h"
#include "object_keys.h"
#include "request_body.h"
#include "store_keys.h"

namespace corkmux::kube {
using codec::Write;

namespace {

bool is_text(const Json& object, const char* field, const char* value) {
  auto it = object.find(field);
  return it != object.end() && it->is_string() && *it == value;
}

std::string given_name(const Json& metadata) {
  return metadata.contains("name") && metadata["name"].is_string() ? metadata["name"].get<std::string>() : "";
}

/// Returns the metadata of an object. If it has none, returns the object itself, which has none of the fields
/// that callers look up.
const Json& metadata_of(const Json& object) {
  return object.contains("metadata") && object["metadata"].is_object() ? object["metadata"] : object;
}

bool preconditions_hold(const Json& options, const FoundObject& found) {
  auto it = options.find("preconditions");
  if (it == options.end() || !it->is_object()) return true;
  auto differs = [&](const char* field, const std::string& value) {
    return it->contains(field) && it->at(field).is_string() && it->at(field) != value;
  };
  return !differs("uid", found.stored.uid) &&
         !differs("resourceVersion", std::to_string(found.progress.revision));
}

}  // namespace

// ---------------------------------------------------------------- create

std::string ApiServer::object_name(const Json& metadata) {
  auto given = given_name(metadata);
  if (!given.empty()) return given;
  auto prefix = metadata["generateName"].get<std::string>().substr(0, kGeneratedNamePrefix);
  return prefix + random_ids_.name_suffix();
}

StoredObject ApiServer::make_stored_object(const Json& object, const Json& metadata,
                                           const std::string& name) {
  StoredObject stored;
  stored.uid = random_ids_.uid();
  // The id contains a random uid, so no native submission can have guessed and used it. The transaction
  // checks for an existing job nevertheless.
  stored.job = "run-" + stored.uid;
  stored.created = wall_now();
  stored.metadata = {{"name", name}};
  for (const char* field : {"labels", "annotations", "generateName"})
    if (metadata.contains(field) && !metadata[field].is_null()) stored.metadata[field] = metadata[field];
  stored.spec = object.at("spec");
  return stored;
}

bool ApiServer::check_admission(const CallPtr& call, const Submission& submission,
                                const std::string& given_name) {
  auto refuse = [&](const std::string& why) {
    fail_invalid(call, given_name, {{"spec", why}});
    return false;
  };
  // Rejects every job that the native interface rejects, for the same reasons.
  auto checked = codec::parse_job(codec::job_to_wire(submission.job));
  if (!checked.job) return refuse(checked.error.text());
  if (auto refused = admission_.check(*checked.job)) return refuse(refused->text);
  auto size = std::max(to_record(submission.stored).dump().size(),
                       StoredJobRecord::for_new_job(submission.job).size());
  if (size <= admission_.record_size_limit()) return true;
  fail(call, 413, "RequestEntityTooLarge", "the object is larger than a record may be");
  return false;
}

void ApiServer::create(const CallPtr& call) {
  auto body = parse_body(call->body, call->content_type);
  if (!body.object) return fail_bad_request(call, body.error.text);
  const Json& object = *body.object;
  if (!is_text(object, "kind", "Job") || !is_text(object, "apiVersion", "batch/v1"))
    return fail_bad_request(call, "the object is not a batch/v1 Job");
  auto causes = check_metadata(object, call->namespace_name);
  auto translated = translate_job(object);
  causes.insert(causes.end(), translated.causes.begin(), translated.causes.end());
  const Json& metadata = metadata_of(object);
  const std::string given = given_name(metadata);
  if (!causes.empty()) return fail_invalid(call, given, std::move(causes));
  if (!admission_.types_known()) return fail_unavailable(call, "the machine types are not known yet");

  call->name = object_name(metadata);
  Submission submission;
  submission.stored = make_stored_object(object, metadata, call->name);
  submission.job = std::move(translated.job);
  submission.job.id = submission.stored.job;
  submission.job.team = teams_.at(call->namespace_name);
  submission.warnings = std::move(translated.warnings);
  if (!check_admission(call, submission, given)) return;
  auto dry_run = call->query.find("dryRun");
  if (dry_run == call->query.end()) return store(call, submission);
  if (dry_run->second != "All") return fail_bad_request(call, "dryRun: only All is known");
  dry_run_create(call, submission);
}

void ApiServer::dry_run_create(const CallPtr& call, const Submission& submission) {
  state_.get(object_key(call->namespace_name, call->name), [this, call, submission](StateReply reply) {
    if (reply.ok()) return fail_exists(call);
    if (reply.status != StateStatus::Missing)
      return fail_unavailable(call, "the state service cannot be read now");
    Progress progress;
    progress.tasks = submission.job.tasks;
    respond(call, 201, job_object(submission.stored, call->namespace_name, progress), submission.warnings);
  });
}

void ApiServer::store(const CallPtr& call, const Submission& submission) {
  const JobSpec& job = submission.job;
  auto key = object_key(call->namespace_name, call->name);
  state_.transaction(
      {{key, 0}, {kJobs + job.id, 0}, {kFinals + job.id, 0}},
      {{key, to_record(submission.stored), 0}, {kJobs + job.id, StoredJobRecord::for_new_job(job).json(), 0}},
      [this, call, submission](StateReply reply) { on_stored(call, submission, reply); });
}

void ApiServer::on_stored(const CallPtr& call, const Submission& submission, const StateReply& reply) {
  switch (reply.status) {
    case StateStatus::Ok: {
      Progress progress;
      progress.tasks = submission.job.tasks;
      progress.revision = codec::parse_revision(reply.body);
      return respond(call, 201, job_object(submission.stored, call->namespace_name, progress),
                     submission.warnings);
    }
    case StateStatus::Conflict:
      // The existing object may stem from an earlier attempt of the same client whose response was lost. The
      // client can read the object to find out.
      return fail_exists(call);
    case StateStatus::Refused:
      return fail_unavailable(call, "the state service takes no changes now: nothing was stored");
    case StateStatus::Invalid:
      return fail(call, 413, "RequestEntityTooLarge", "the object is larger than a record may be now");
    default:
      return fail_unavailable(
          call,
          "the state service did not answer, the job may have been stored: create it again, "
          "AlreadyExists then says that it was");
  }
}

// ---------------------------------------------------------------- delete

std::optional<Json> ApiServer::read_delete_options(const CallPtr& call) {
  Json options = Json::object();
  if (!call->body.empty()) {
    auto body = parse_body(call->body, call->content_type);
    if (!body.object) {
      fail_bad_request(call, body.error.text);
      return std::nullopt;
    }
    options = std::move(*body.object);
  }
  std::string policy = call->query["propagationPolicy"];
  if (policy.empty() && options.contains("propagationPolicy") && options["propagationPolicy"].is_string())
    policy = options["propagationPolicy"].get<std::string>();
  if (policy.empty() || policy == "Background") return options;
  respond_with_status(
      call,
      {.code = 422,
       .reason = "Invalid",
       .message = "propagationPolicy: only Background is served: tasks are stopped after the job is gone",
       .causes = {{"propagationPolicy", "only Background is served", kNotSupported}}});
  return std::nullopt;
}

void ApiServer::delete_object(const CallPtr& call) {
  auto options = read_delete_options(call);
  if (!options) return;
  bool dry_run =
      call->query["dryRun"] == "All" || (options->contains("dryRun") && !(*options)["dryRun"].empty());
  read(call, [this, call, options = std::move(*options), dry_run](FoundObject found) {
    if (!preconditions_hold(options, found))
      return respond_with_status(call, {.code = 409,
                                        .reason = "Conflict",
                                        .message = "the precondition does not hold",
                                        .uid = found.stored.uid});
    if (dry_run) return respond_with_status(call, {.code = 200, .uid = found.stored.uid});
    delete_found(call, found);
  });
}

void ApiServer::delete_found(const CallPtr& call, const FoundObject& found) {
  const std::string& job = found.stored.job;
  const std::string key = object_key(call->namespace_name, call->name);
  std::vector<codec::Condition> conditions{{key, found.revision}};
  std::vector<Write> writes{{key, std::nullopt, 0}};
  const bool unfinished = found.job_revision != 0;
  if (unfinished) {
    StoredJobRecord record = found.job_record;
    record.mark_cancelled();
    conditions.push_back({kJobs + job, found.job_revision});
    conditions.push_back({kFinals + job, 0});
    writes.push_back({kJobs + job, record.json(), 0});
    const JobOutcomeRecord outcome{job_phase::kCancelled, 0, wall_now()};
    writes.push_back({kFinals + job, to_json(outcome), 0});
  }
  state_.transaction(conditions, writes, [this, call, found, unfinished](const StateReply& reply) {
    if (!reply.ok()) return on_delete_failed(call, reply.status);
    if (unfinished) status_cache_.note_cancelled(found.stored.job);
    respond_with_status(call, {.code = 200, .uid = found.stored.uid});
  });
}

void ApiServer::on_delete_failed(const CallPtr& call, StateStatus status) {
  // The job ended meanwhile, or another client deleted the object.
  if (status == StateStatus::Conflict && ++call->delete_attempts < kDeleteAttempts)
    return delete_object(call);
  fail_unavailable(call, status == StateStatus::Unanswered
                             ? "the state service did not answer, the job may be gone: delete it again"
                             : "the state service takes no changes now");
}

}  // namespace corkmux::kube

// Creating and deleting of objects.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "api.h"
#include "codec.h"
#include "job_record.h"
#include "job_translation.h"
#include "kube_constants.h"
#include "store_keys.h"

namespace corkmux::kube {
namespace c = constants;
using codec::Write;

namespace {

constexpr std::size_t kGeneratedNamePrefix = 58;  // bytes of generateName that are kept
constexpr int kGeneratedNameLetters = 5;

bool is_text(const Json& object, const char* field, const char* value) {
  auto it = object.find(field);
  return it != object.end() && it->is_string() && *it == value;
}

std::string given_name(const Json& metadata) {
  return metadata.contains("name") && metadata["name"].is_string() ? metadata["name"].get<std::string>() : "";
}

/// The metadata of an object; the object itself if it has none, in which nothing is found then.
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

std::string Api::random_text(int letters) {
  // As the API's own generated names: without vowels and digits that are taken for them.
  static constexpr std::string_view kLetters = "bcdfghjklmnpqrstvwxz2456789";
  std::string out;
  std::uniform_int_distribution<std::size_t> any(0, kLetters.size() - 1);
  for (int i = 0; i < letters; ++i) out += kLetters[any(rng_)];
  return out;
}

/// RFC 9562, version 4.
std::string Api::random_uid() {
  std::uniform_int_distribution<std::uint64_t> any;
  std::uint64_t high = (any(rng_) & ~0xf000ULL) | 0x4000ULL;
  std::uint64_t low = (any(rng_) & ~(3ULL << 62)) | (2ULL << 62);
  return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", high >> 32, (high >> 16) & 0xffff, high & 0xffff,
                     low >> 48, low & 0xffffffffffffULL);
}

void Api::fail_invalid(const CallPtr& call, const std::string& given_name, std::vector<Cause> causes) {
  std::string text = "Job.batch \"" + given_name + "\" is invalid";
  const char* separator = ": ";
  for (const auto& cause : causes) {
    text += separator + cause.field + ": " + cause.message;
    separator = "; ";
  }
  fail(call, {422, "Invalid", text, given_name, "", std::move(causes), ""});
}

void Api::fail_exists(const CallPtr& call) {
  fail(call, 409, "AlreadyExists", "jobs.batch \"" + call->name + "\" already exists");
}

std::string Api::object_name(const Json& metadata) {
  auto given = given_name(metadata);
  if (!given.empty()) return given;
  auto prefix = metadata["generateName"].get<std::string>().substr(0, kGeneratedNamePrefix);
  return prefix + random_text(kGeneratedNameLetters);
}

Stored Api::make_stored(const Json& object, const Json& metadata, const std::string& name) {
  Stored stored;
  stored.uid = random_uid();
  // Not to be guessed, so no native submission has taken it; the transaction looks all the same.
  stored.job = "run-" + stored.uid;
  stored.created = wall_now();
  stored.metadata = {{"name", name}};
  for (const char* field : {"labels", "annotations", "generateName"})
    if (metadata.contains(field) && !metadata[field].is_null()) stored.metadata[field] = metadata[field];
  stored.spec = object.at("spec");
  return stored;
}

bool Api::check_admission(const CallPtr& call, const Submission& submission, const std::string& given_name) {
  auto refuse = [&](const std::string& why) {
    fail_invalid(call, given_name, {{"spec", why}});
    return false;
  };
  // Whatever the native interface would refuse is refused here, for the same reasons.
  auto checked = codec::parse_job(codec::job_to_wire(submission.job));
  if (!checked.job) return refuse(checked.error.text());
  if (auto refused = admission_.check(*checked.job)) return refuse(refused->text);
  auto size = std::max(to_record(submission.stored).dump().size(),
                       StoredJobRecord::for_new_job(submission.job).size());
  if (size <= admission_.record_size_limit()) return true;
  fail(call, 413, "RequestEntityTooLarge", "the object is larger than a record may be");
  return false;
}

void Api::create(const CallPtr& call) {
  auto body = parse_body(call->body, call->content_type);
  if (!body.error.empty()) return fail(call, 400, "BadRequest", body.error);
  const Json& object = body.value;
  if (!is_text(object, "kind", "Job") || !is_text(object, "apiVersion", "batch/v1"))
    return fail(call, 400, "BadRequest", "the object is not a batch/v1 Job");
  auto causes = check_metadata(object, call->space);
  auto translated = translate_job(object);
  causes.insert(causes.end(), translated.causes.begin(), translated.causes.end());
  const Json& metadata = metadata_of(object);
  const std::string given = given_name(metadata);
  if (!causes.empty()) return fail_invalid(call, given, std::move(causes));
  if (!admission_.types_known()) return unavailable(call, "the machine types are not known yet");

  call->name = object_name(metadata);
  Submission submission;
  submission.stored = make_stored(object, metadata, call->name);
  submission.job = std::move(translated.job);
  submission.job.id = submission.stored.job;
  submission.job.team = teams_.at(call->space);
  submission.warnings = std::move(translated.warnings);
  if (!check_admission(call, submission, given)) return;
  auto dry_run = call->query.find("dryRun");
  if (dry_run == call->query.end()) return store(call, submission);
  if (dry_run->second != "All") return fail(call, 400, "BadRequest", "dryRun: only All is known");
  create_dry(call, submission);
}

void Api::create_dry(const CallPtr& call, const Submission& submission) {
  state_.get(object_key(call->space, call->name), [this, call, submission](StateReply reply) {
    if (reply.ok()) return fail_exists(call);
    if (reply.status != StateStatus::Missing)
      return unavailable(call, "the state service cannot be read now");
    Progress progress;
    progress.tasks = submission.job.tasks;
    answer(call, 201, job_object(submission.stored, call->space, progress), submission.warnings);
  });
}

void Api::store(const CallPtr& call, const Submission& submission) {
  const JobSpec& job = submission.job;
  auto key = object_key(call->space, call->name);
  state_.transaction(
      {{key, 0}, {kJobs + job.id, 0}, {kFinals + job.id, 0}},
      {{key, to_record(submission.stored), 0}, {kJobs + job.id, StoredJobRecord::for_new_job(job).json(), 0}},
      [this, call, submission](StateReply reply) { on_stored(call, submission, reply); });
}

void Api::on_stored(const CallPtr& call, const Submission& submission, const StateReply& reply) {
  switch (reply.status) {
    case StateStatus::Ok: {
      Progress progress;
      progress.tasks = submission.job.tasks;
      progress.revision = codec::parse_revision(reply.body);
      return answer(call, 201, job_object(submission.stored, call->space, progress), submission.warnings);
    }
    case StateStatus::Conflict:
      // Perhaps an earlier try of the same client whose answer was lost; it can read which it is.
      return fail_exists(call);
    case StateStatus::Refused:
      return unavailable(call, "the state service takes no changes now: nothing was stored");
    case StateStatus::Invalid:
      return fail(call, 413, "RequestEntityTooLarge", "the object is larger than a record may be now");
    default:
      return unavailable(call,
                         "the state service did not answer, the job may have been stored: create it again, "
                         "AlreadyExists then says that it was");
  }
}

// ---------------------------------------------------------------- delete

std::optional<Json> Api::read_delete_options(const CallPtr& call) {
  Json options = Json::object();
  if (!call->body.empty()) {
    auto body = parse_body(call->body, call->content_type);
    if (!body.error.empty()) {
      fail(call, 400, "BadRequest", body.error);
      return std::nullopt;
    }
    options = std::move(body.value);
  }
  std::string policy = call->query["propagationPolicy"];
  if (policy.empty() && options.contains("propagationPolicy") && options["propagationPolicy"].is_string())
    policy = options["propagationPolicy"].get<std::string>();
  if (policy.empty() || policy == "Background") return options;
  fail(call, {422,
              "Invalid",
              "propagationPolicy: only Background is served: tasks are stopped after the job is gone",
              "",
              "",
              {{"propagationPolicy", "only Background is served", "FieldValueNotSupported"}},
              ""});
  return std::nullopt;
}

void Api::remove(const CallPtr& call) {
  auto options = read_delete_options(call);
  if (!options) return;
  bool dry_run =
      call->query["dryRun"] == "All" || (options->contains("dryRun") && !(*options)["dryRun"].empty());
  read(call, [this, call, options = std::move(*options), dry_run](FoundObject found) {
    if (!preconditions_hold(options, found))
      return fail(call, {409, "Conflict", "the precondition does not hold", "", "", {}, found.stored.uid});
    if (dry_run) return fail(call, {200, "", "", "", "", {}, found.stored.uid});
    remove_found(call, found);
  });
}

void Api::remove_found(const CallPtr& call, const FoundObject& found) {
  const std::string job = found.stored.job;
  const std::string key = object_key(call->space, call->name);
  std::vector<codec::Condition> conditions{{key, found.revision}};
  std::vector<Write> writes{{key, std::nullopt, 0}};
  const bool unfinished = found.job_revision != 0;
  if (unfinished) {
    Json record = found.job_record;
    record["c"] = 1;
    conditions.push_back({kJobs + job, found.job_revision});
    conditions.push_back({kFinals + job, 0});
    writes.push_back({kJobs + job, std::move(record), 0});
    writes.push_back({kFinals + job, Json{{"p", "cancelled"}, {"n", 0}, {"t", wall_now()}}, 0});
  }
  state_.transaction(
      conditions, writes, [this, call, job, unfinished, uid = found.stored.uid](StateReply reply) {
        if (reply.ok()) {
          if (unfinished) status_cache_.note_cancelled(job);
          return fail(call, {200, "", "", "", "", {}, uid});
        }
        // It ended meanwhile, or somebody else deleted it.
        if (reply.status == StateStatus::Conflict && ++call->tries < c::kKubeTries) return remove(call);
        unavailable(call, reply.status == StateStatus::Unanswered
                              ? "the state service did not answer, the job may be gone: delete it again"
                              : "the state service takes no changes now");
      });
}

}  // namespace corkmux::kube

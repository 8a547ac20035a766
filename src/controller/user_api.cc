#include "user_api.h"

#include <spdlog/spdlog.h>

#include "job_record.h"
#include "mutation.h"
#include "store_keys.h"

namespace corkmux {
namespace {

constexpr const char* kBarrierUnknown =
    "it awaits other jobs, and whether these were cancelled is not known now";
constexpr const char* kUnreadable = "the state service cannot be read now";
constexpr const char* kNoChanges = "the state service takes no changes now";
constexpr const char* kNoSuchJob = "no such job";

codec::Json phase_only(const std::string& job, const std::string& phase) {
  return codec::view_to_wire({job, phase, 0, 0, ""}, false);
}

}  // namespace

UserApi::UserApi(Loop& loop, const Settings& settings, StateClient& state, const JobAdmission& admission,
                 JobStatusCache& status_cache, PeerExchange& peer_exchange)
    : state_(state),
      admission_(admission),
      status_cache_(status_cache),
      reader_(state, admission, status_cache),
      writer_(settings, state, admission),
      dependency_barrier_(settings, state, peer_exchange),
      linearizable_reader_(loop, settings, state, read_for_batcher()) {}

LinearizableReader::ReadJob UserApi::read_for_batcher() {
  return [this](const std::string& job, LinearizableReader::Done done) {
    reader_.read(job, [done = std::move(done)](std::optional<StoredJob> found) {
      if (!found) return done(std::nullopt);
      done(LinearizableReader::ReadResult{found->unfinished(), found->revision, found->phase,
                                          found->has_dependencies()});
    });
  };
}

void UserApi::read_for(const Responder& caller, const std::string& job, std::function<void(StoredJob)> then) {
  reader_.read(job, [caller, then = std::move(then)](std::optional<StoredJob> found) {
    if (!found) return caller.unavailable(kUnreadable);
    then(std::move(*found));
  });
}

// ---------------------------------------------------------------- submit

void UserApi::submit(const Responder& caller, const std::string& body) {
  auto parsed = codec::unpack(body);
  if (!parsed) return caller.error(400, "not MessagePack");
  auto result = codec::parse_job(*parsed);
  if (!result.job) return caller.error(400, result.error.text());
  if (!admission_.types_known()) return caller.unavailable("the machine types are not known yet");
  auto job = std::make_shared<const JobSpec>(std::move(*result.job));
  // A job that was accepted stays accepted, even if the machine types have changed since.
  if (auto refused = admission_.check(*job)) return answer_accepted_or(caller, job->id, {422, refused->text});
  if (status_cache_.ended(job->id))
    return caller.answer(200, codec::view_to_wire(status_cache_.display_ended(job->id), false));
  if (!job->dependencies.empty()) return check_dependencies(caller, job);
  store(caller, job);
}

void UserApi::answer_accepted_or(const Responder& caller, const std::string& job, Refusal refusal) {
  read_for(caller, job,
           [this, caller, job, refusal = std::move(refusal),
            barrier_at = dependency_barrier_.barrier_at()](const StoredJob& found) {
             if (!found.accepted() && refusal.status == 503) return caller.unavailable(refusal.text);
             if (!found.accepted()) return caller.error(refusal.status, refusal.text);
             if (found.has_dependencies() && !dependency_barrier_.may_report_unfinished(barrier_at))
               return caller.unavailable(kBarrierUnknown);
             caller.answer(200, codec::view_to_wire(status_cache_.display(job, found.phase), false));
           });
}

/// Checks a new submission: all jobs that it depends on have to have been accepted.
void UserApi::check_dependencies(const Responder& caller, const JobPtr& job) {
  double deadline = steady_now() + constants::kSubmitTimeLimit;
  std::vector<std::string> unknown;
  for (const auto& dependency : job->dependencies) {
    if (dependency == job->id)
      return answer_accepted_or(caller, job->id, {422, "awaits: names the job itself"});
    if (!status_cache_.known_accepted(dependency)) unknown.push_back(dependency);
  }
  DependencyCheck::start(state_, status_cache_, std::move(unknown), deadline,
                         [this, caller, job](const DependencyCheck::Result& result) {
                           switch (result.status) {
                             case DependencyCheck::Status::AllAccepted:
                               return store(caller, job);
                             case DependencyCheck::Status::NeverAccepted:
                               return answer_accepted_or(
                                   caller, job->id, {422, "awaits: " + result.job + " was never accepted"});
                             case DependencyCheck::Status::Unreadable:
                               return caller.unavailable(kUnreadable);
                             case DependencyCheck::Status::DeadlineExceeded:
                               return caller.unavailable("too many jobs to look up: try again");
                           }
                         });
}

void UserApi::store(const Responder& caller, const JobPtr& job) {
  writer_.store(job,
                [this, caller, job](const JobWriter::Result& result) { answer_store(caller, *job, result); });
}

void UserApi::answer_store(const Responder& caller, const JobSpec& job, const JobWriter::Result& result) {
  switch (result.status) {
    case JobWriter::Status::Stored:
      status_cache_.note_accepted(job.id);
      // All changes of a transaction share one revision, so it is also the revision of the record.
      linearizable_reader_.note_revision(job.id, result.revision, !job.dependencies.empty());
      return caller.answer(201, phase_only(job.id, job_phase::kQueued));
    case JobWriter::Status::Exists:
      if (mutation_enabled("a repeated submission is refused")) return caller.error(422, "planted");
      return answer_accepted_or(caller, job.id, {503, "try again"});
    case JobWriter::Status::Unanswered:
      return answer_accepted_or(caller, job.id, {503, "the state service did not answer"});
    case JobWriter::Status::Refused:
      return caller.unavailable(kNoChanges);
    case JobWriter::Status::Unreadable:
      return caller.unavailable(kUnreadable);
  }
}

// ---------------------------------------------------------------- query

void UserApi::query(const Responder& caller, const std::string& job) {
  if (!codec::valid_job_id(job)) return caller.error(404, kNoSuchJob);
  if (status_cache_.ended(job))
    return caller.answer(200, codec::view_to_wire(status_cache_.display_ended(job), true));
  linearizable_reader_.request_read(job, [this, caller, job, barrier_at = dependency_barrier_.barrier_at()](
                                             const std::optional<LinearizableReader::ReadResult>& found) {
    if (!found) return caller.unavailable(kUnreadable);
    if (found->unfinished && found->has_dependencies &&
        !dependency_barrier_.may_report_unfinished(barrier_at))
      return caller.unavailable(kBarrierUnknown);
    if (!found->unfinished && found->phase.empty()) return caller.error(404, kNoSuchJob);
    auto phase = found->unfinished ? job_phase::kQueued : found->phase;
    caller.answer(200, codec::view_to_wire(status_cache_.display(job, phase), true));
  });
}

// ---------------------------------------------------------------- cancel

void UserApi::cancel(const Responder& caller, const std::string& job) {
  cancel(caller, job, constants::kMaxCancelAttempts, CancelMarkLocation::InRecord);
}

void UserApi::cancel(const Responder& caller, const std::string& job, int attempts_left,
                     CancelMarkLocation mark_location) {
  if (!codec::valid_job_id(job)) return caller.error(404, kNoSuchJob);
  read_for(caller, job, [this, caller, job, attempts_left, mark_location](StoredJob found) {
    if (!found.accepted()) return caller.error(404, kNoSuchJob);
    if (!found.unfinished()) return caller.answer(200, phase_only(job, found.phase));
    found.record.mark_cancelled();
    codec::Write mark{kJobs + job, found.record.json(), 0};
    // A record that the first version of the software stored may exceed a limit that was lowered since: then
    // the cancel gets a key of its own.
    if (mark_location == CancelMarkLocation::BesideRecord)
      mark = {kJobs + job + "/c", cancel_mark_to_json(), 0};
    state_.transaction({{kJobs + job, found.revision}, {kFinals + job, 0}},
                       {std::move(mark),
                        {kFinals + job, to_json(JobOutcomeRecord{job_phase::kCancelled, 0, wall_now()}), 0}},
                       [this, caller, job, attempts_left, mark_location](const StateReply& reply) {
                         answer_cancel(caller, job, attempts_left, mark_location, reply.status);
                       });
  });
}

void UserApi::answer_cancel(const Responder& caller, const std::string& job, int attempts_left,
                            CancelMarkLocation mark_location, StateStatus status) {
  if (status == StateStatus::Ok) {
    spdlog::debug("job {} cancelled; answering its user", job);
    status_cache_.note_cancelled(job);
    return caller.answer(200, phase_only(job, job_phase::kCancelled));
  }
  if (status == StateStatus::Conflict && attempts_left > 1)
    return cancel(caller, job, attempts_left - 1, mark_location);
  // The cancel may be stored: the job is read again and, if it is not cancelled, the cancel is tried once
  // more while its user waits.
  if (status == StateStatus::Unanswered && attempts_left > 1) return cancel(caller, job, 1, mark_location);
  if (status == StateStatus::Invalid && mark_location == CancelMarkLocation::InRecord)
    return cancel(caller, job, attempts_left, CancelMarkLocation::BesideRecord);
  caller.unavailable(kNoChanges);
}

}  // namespace corkmux

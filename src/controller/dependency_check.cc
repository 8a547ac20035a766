#include "dependency_check.h"

#include "store_keys.h"

namespace corkmux {

DependencyCheck::DependencyCheck(StateClient& state, JobStatusCache& status_cache,
                                 std::vector<std::string> jobs, double deadline, Callback done)
    : state_(state),
      status_cache_(status_cache),
      pending_jobs_(std::move(jobs)),
      deadline_(deadline),
      done_(std::move(done)) {}

void DependencyCheck::start(StateClient& state, JobStatusCache& status_cache, std::vector<std::string> jobs,
                            double deadline, Callback done) {
  std::shared_ptr<DependencyCheck> check(
      new DependencyCheck(state, status_cache, std::move(jobs), deadline, std::move(done)));
  check->advance();
}

void DependencyCheck::advance() {
  if (finished_) return;
  if (pending_jobs_.empty() && reads_in_flight_ == 0) return finish({Status::AllAccepted, ""});
  if (steady_now() > deadline_) return finish({Status::DeadlineExceeded, ""});
  while (!pending_jobs_.empty() && reads_in_flight_ < constants::kMaxConcurrentOutcomeReads) {
    auto job = std::move(pending_jobs_.back());
    pending_jobs_.pop_back();
    ++reads_in_flight_;
    look_up(job);
  }
}

void DependencyCheck::look_up(const std::string& job) {
  state_.get(kJobs + job, [self = shared_from_this(), job](StateReply reply) {
    if (reply.ok()) return self->add_accepted(job);
    if (reply.status != StateStatus::Missing) return self->finish({Status::Unreadable, ""});
    self->look_up_outcome(job);
  });
}

void DependencyCheck::look_up_outcome(const std::string& job) {
  state_.get(kFinals + job, [self = shared_from_this(), job](StateReply reply) {
    if (reply.ok()) return self->add_accepted(job);
    if (reply.status != StateStatus::Missing) return self->finish({Status::Unreadable, ""});
    self->finish({Status::NeverAccepted, job});
  });
}

void DependencyCheck::add_accepted(const std::string& job) {
  --reads_in_flight_;
  status_cache_.note_accepted(job);
  advance();
}

void DependencyCheck::finish(const Result& result) {
  if (std::exchange(finished_, true)) return;
  done_(result);
}

}  // namespace corkmux

#include "dependency_check.h"

#include "store_keys.h"

namespace corkmux {

DependencyCheck::DependencyCheck(StateClient& state, JobStatusCache& status_cache,
                                 std::vector<std::string> jobs, double until, Callback done)
    : state_(state),
      status_cache_(status_cache),
      not_looked_up_(std::move(jobs)),
      until_(until),
      done_(std::move(done)) {}

void DependencyCheck::start(StateClient& state, JobStatusCache& status_cache, std::vector<std::string> jobs,
                            double until, Callback done) {
  std::shared_ptr<DependencyCheck> check(
      new DependencyCheck(state, status_cache, std::move(jobs), until, std::move(done)));
  check->advance();
}

void DependencyCheck::advance() {
  if (finished_) return;
  if (not_looked_up_.empty() && reading_ == 0) return finish({Status::AllAccepted, ""});
  if (steady_now() > until_) return finish({Status::OutOfTime, ""});
  while (!not_looked_up_.empty() && reading_ < constants::kMaxConcurrentOutcomeReads) {
    auto job = std::move(not_looked_up_.back());
    not_looked_up_.pop_back();
    ++reading_;
    look_up(job);
  }
}

void DependencyCheck::look_up(const std::string& job) {
  state_.get(kJobs + job, [self = shared_from_this(), job](StateReply reply) {
    if (reply.ok()) return self->found(job);
    if (reply.status != StateStatus::Missing) return self->finish({Status::Unreadable, ""});
    self->look_up_end(job);
  });
}

void DependencyCheck::look_up_end(const std::string& job) {
  state_.get(kFinals + job, [self = shared_from_this(), job](StateReply reply) {
    if (reply.ok()) return self->found(job);
    if (reply.status != StateStatus::Missing) return self->finish({Status::Unreadable, ""});
    self->finish({Status::NeverAccepted, job});
  });
}

void DependencyCheck::found(const std::string& job) {
  --reading_;
  status_cache_.note_accepted(job);
  advance();
}

void DependencyCheck::finish(const Result& result) {
  if (std::exchange(finished_, true)) return;
  done_(result);
}

}  // namespace corkmux

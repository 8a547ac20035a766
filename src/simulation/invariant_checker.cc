#include "invariant_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <variant>

#include "simulation_constants.h"

namespace corkmux::simulation {
namespace {

bool is_success(int status) { return status == 200 || status == 201; }
bool is_refusal(int status) { return status == 400 || status == 422; }

/// Whether a user had received the earlier answer before this request was sent; the answer must then reflect
/// it.
bool received_before(const std::optional<double>& received_at, double requested_at) {
  return received_at && *received_at <= requested_at;
}

bool is_reported_finished(const JobHistory& history) {
  return history.completion_confirmed_at.has_value() || history.cancellation_confirmed_at.has_value();
}

std::string task_name(const std::string& job, int index) { return fmt::format("{}/{}", job, index); }

}  // namespace

void InvariantChecker::violated(const char* rule, const std::string& what) {
  violations_.push_back(fmt::format("{}: {} at {:.2f} s", rule, what, now_()));
}

bool InvariantChecker::violates(const std::string& rule) const {
  return std::any_of(violations_.begin(), violations_.end(),
                     [&](const std::string& violation) { return violation.starts_with(rule + ":"); });
}

// ---------------------------------------------------------------- machines

void InvariantChecker::task_placed(const MachineFacts& machine, const SimulatedJob& job, int index,
                                   std::uint64_t /*attempt*/) {
  const JobSpec& spec = job.spec;
  JobHistory& history = jobs_[spec.id];
  const auto task = task_name(spec.id, index);
  if (auto found = history.placements.find(index); found != history.placements.end())
    violated("ran_twice",
             fmt::format("{} starts on {} while on {}", task, machine.name, found->second.machine));
  check_requirements(spec, machine, task);
  check_zones(history, spec, machine.zone, task);
  check_not_cancelled(history, task);
  history.placements[index] = {machine.name, machine.zone};
  team_usage_[spec.team] += spec.need;
  check_quota(spec.team);
  ++starts_;
  last_start_ = now_();
}

void InvariantChecker::check_requirements(const JobSpec& spec, const MachineFacts& machine,
                                          const std::string& task) {
  const bool wrong_zone = spec.zone && *spec.zone != machine.zone;
  const bool wrong_kind = machine.spot && !spec.spot;
  if (!spec.allows_type(machine.type.name) || wrong_zone || wrong_kind)
    violated("wrong_place",
             fmt::format("{} on {} ({} in {})", task, machine.name, machine.type.name, machine.zone));
}

void InvariantChecker::check_zones(const JobHistory& history, const JobSpec& spec, const std::string& zone,
                                   const std::string& task) {
  int in_zone = 1;
  for (const auto& [index, other] : history.placements) {
    if (other.zone == zone) ++in_zone;
    if (spec.one_zone && other.zone != zone)
      violated("wrong_place", fmt::format("{} in {}, mate in {}", task, zone, other.zone));
  }
  if (spec.spread && in_zone > (spec.tasks + 1) / 2)
    violated("wrong_place", fmt::format("{}: too many in {}", task, zone));
}

bool InvariantChecker::is_past_cancellation(const JobHistory& history) const {
  return history.cancellation_confirmed_at && now_() > *history.cancellation_confirmed_at + cancel_s_;
}

void InvariantChecker::check_not_cancelled(const JobHistory& history, const std::string& task) {
  if (!history.cancellation_confirmed_at) return;
  if (is_past_cancellation(history)) violated("ran_cancelled", fmt::format("{} starts", task));
  ++starts_after_cancel_;
  latest_start_after_cancel_ =
      std::max(latest_start_after_cancel_, now_() - *history.cancellation_confirmed_at);
}

void InvariantChecker::check_quota(const std::string& team) {
  const Resources& usage = team_usage_[team];
  const auto quota =
      std::find_if(teams_.begin(), teams_.end(), [&](const Team& other) { return other.name == team; });
  if (quota != teams_.end() && !quota->allows(usage))
    violated("quota", fmt::format("{} uses {:.0f} CPUs and {:.0f} GPUs", team, usage.cpus, usage.gpus));
}

void InvariantChecker::task_removed(const std::string& machine, const SimulatedJob& job, int index,
                                    std::uint64_t /*attempt*/, const std::string& /*why*/) {
  JobHistory& history = jobs_[job.spec.id];
  team_usage_[job.spec.team] -= job.spec.need;
  if (is_past_cancellation(history))
    violated("ran_cancelled", fmt::format("{} was still there", task_name(job.spec.id, index)));
  const auto found = history.placements.find(index);
  if (found != history.placements.end() && found->second.machine == machine) history.placements.erase(found);
}

void InvariantChecker::progress_lost(const SimulatedJob& /*job*/, const std::string& why, double seconds) {
  lost_seconds_[why] += std::max(0.0, seconds);
}

void InvariantChecker::task_running(const SimulatedJob& job, int /*index*/) {
  JobHistory& history = jobs_[job.spec.id];
  if (!history.first_run_at) history.first_run_at = now_();
}

void InvariantChecker::task_done(const SimulatedJob& job, int /*index*/) {
  JobHistory& history = jobs_[job.spec.id];
  ++history.tasks_done;
  if (history.tasks_done == job.spec.tasks) history.done_at = now_();
}

// ---------------------------------------------------------------- users

void InvariantChecker::observe(const UserEvent& event) {
  std::visit([this](const auto& user_event) { on(user_event); }, event);
}

void InvariantChecker::on(const JobSubmitted& event) {
  JobHistory& history = jobs_[event.spec.id];
  history.spec = event.spec;
  history.submitted_at = now_();
}

void InvariantChecker::on(const SubmissionAbandoned& event) { jobs_[event.job].abandoned = true; }

void InvariantChecker::on(const CancellationRequested& event) {
  JobHistory& history = jobs_[event.job];
  if (!history.cancel_requested_at) history.cancel_requested_at = now_();
}

void InvariantChecker::on(const InvalidSubmissionAnswered& answer) {
  if (is_success(answer.status))
    return violated("accepted_odd", fmt::format("{} instead of {}", answer.job, answer.required_status));
  if (is_refusal(answer.status) && answer.status != answer.required_status)
    violated("accepted_odd",
             fmt::format("{} gets {} instead of {}", answer.job, answer.status, answer.required_status));
  if (answer.status == answer.required_status) ++invalid_refused_;
}

void InvariantChecker::on(const UserAnswer& answer) {
  switch (answer.request) {
    case UserAnswer::Request::Submission:
      return submission_answered(answer);
    case UserAnswer::Request::Poll:
      return poll_answered(answer);
    case UserAnswer::Request::Cancellation:
      check_answer(answer);
      if (jobs_[answer.job].cancellation_confirmed_at) unfinished_.erase(answer.job);
      return;
    case UserAnswer::Request::ConcurrentRead:
      if (answer.status == 200) ++concurrent_reads_;
      return check_answer(answer);
  }
}

void InvariantChecker::check_answer(const UserAnswer& answer) {
  JobHistory& history = jobs_[answer.job];
  const bool was_submitted = !history.spec.id.empty();
  if (!was_submitted) {
    if (answer.status == 200) violated("invented", answer.job);
    return;
  }
  if (answer.status == 404 && received_before(history.accepted_at, answer.requested_at))
    violated("forgotten", answer.job);
  if (!is_success(answer.status)) return;
  if (!history.accepted_at) history.accepted_at = now_();
  check_phase(answer, history);
  remember_phase(answer, history);
}

void InvariantChecker::check_phase(const UserAnswer& answer, const JobHistory& history) {
  const bool was_done = received_before(history.completion_confirmed_at, answer.requested_at);
  const bool was_cancelled = received_before(history.cancellation_confirmed_at, answer.requested_at);
  if ((was_done && answer.phase != "done") || (was_cancelled && answer.phase != "cancelled"))
    violated("went_back", fmt::format("{} is called {}", answer.job, answer.phase));
  if (answer.phase == "cancelled" && !history.cancel_requested_at)
    violated("went_back", fmt::format("{} is called cancelled, which nobody asked for", answer.job));
  if (answer.phase == "done" && history.tasks_done < history.spec.tasks)
    violated("not_done",
             fmt::format("{} with {} of {} tasks", answer.job, history.tasks_done, history.spec.tasks));
}

void InvariantChecker::remember_phase(const UserAnswer& answer, JobHistory& history) {
  const double now = now_();
  if (answer.phase == "done" && !history.completion_confirmed_at) history.completion_confirmed_at = now;
  if (answer.phase != "cancelled" || history.cancellation_confirmed_at) return;
  history.cancellation_confirmed_at = now;
  if (!history.placements.empty()) cancellations_of_running_.push_back(now);
}

void InvariantChecker::submission_answered(const UserAnswer& answer) {
  JobHistory& history = jobs_[answer.job];
  if (is_refusal(answer.status)) {
    if (received_before(history.accepted_at, answer.requested_at))
      violated("forgotten", fmt::format("{} was accepted and is refused", answer.job));
    history.refused = true;
    return;
  }
  if (!is_success(answer.status)) return;
  check_answer(answer);
  if (!is_reported_finished(history)) unfinished_.insert(answer.job);
}

void InvariantChecker::poll_answered(const UserAnswer& answer) {
  JobHistory& history = jobs_[answer.job];
  check_answer(answer);
  if (is_reported_finished(history)) unfinished_.erase(answer.job);
  if (history.accepted_at) {
    ++polls_;
    if (answer.status == 200) ++polls_answered_;
  }
  if (answer.status == 200) {
    last_answered_poll_at_ = now_();
    history.unanswered_since.reset();
  } else if (history.accepted_at) {
    poll_unanswered(answer.job, history);
  }
}

void InvariantChecker::poll_unanswered(const std::string& id, JobHistory& history) {
  const double now = now_();
  if (!history.unanswered_since) history.unanswered_since = now;
  const double unanswered_since = *history.unanswered_since;
  const bool unanswered_after_faults =
      now - std::max(unanswered_since, faults_end_at_) > kMaxUnansweredTimeAfterFaults;
  const bool others_are_answered = last_answered_poll_at_ > unanswered_since;
  if (unanswered_after_faults)
    violated("forgotten", fmt::format("nothing is learnt of {} though all troubles are over", id));
  else if (now - unanswered_since > kMaxUnansweredTime && others_are_answered)
    violated("forgotten", fmt::format("every poll for {} fails", id));
  else
    return;
  history.unanswered_since = now;
}

// ---------------------------------------------------------------- progress

void InvariantChecker::sample_progress(const std::vector<std::string>& fitting) {
  const double now = now_();
  std::set<std::string> now_fitting(fitting.begin(), fitting.end());
  for (const auto& id : fitting_)
    if (!now_fitting.contains(id)) jobs_[id].fits_since.reset();
  fitting_ = std::move(now_fitting);
  if (now >= faults_end_at_) check_waiting_time(fitting);
  if (fitting.empty()) {
    waiting_since_.reset();
    return;
  }
  if (!waiting_since_) waiting_since_ = now;
  longest_pause_ = std::max(longest_pause_, now - std::max(*waiting_since_, last_start_));
}

void InvariantChecker::check_waiting_time(const std::vector<std::string>& fitting) {
  const double now = now_();
  for (const auto& id : fitting) {
    JobHistory& history = jobs_[id];
    if (!history.fits_since) history.fits_since = now;
    if (now - *history.fits_since <= kMaxWaitAfterFaults) continue;
    violated("left_waiting", fmt::format("{} though a machine has room", id));
    history.fits_since = kNever;  // reported once per job
  }
}

void InvariantChecker::finish() {
  for (const auto& [id, history] : jobs_)
    for (const auto& [index, placement] : history.placements)
      if (is_past_cancellation(history))
        violated("ran_cancelled", fmt::format("{} is still there", task_name(id, index)));
  if (starts_ == 0 && !jobs_.empty()) violated("nothing_ran", "no task was started");
}

// ---------------------------------------------------------------- figures

std::map<std::string, JobStatistics> InvariantChecker::by_class() const {
  return job_statistics(jobs_, &JobSpec::job_class);
}

std::map<std::string, JobStatistics> InvariantChecker::by_team() const {
  return job_statistics(jobs_, &JobSpec::team);
}

int InvariantChecker::confirmed_cancellations(double from, double to) const {
  return static_cast<int>(
      std::count_if(cancellations_of_running_.begin(), cancellations_of_running_.end(),
                    [&](double confirmed_at) { return confirmed_at >= from && confirmed_at <= to; }));
}

std::map<std::string, std::vector<std::string>> InvariantChecker::running_jobs() const {
  std::map<std::string, std::vector<std::string>> running;
  for (const auto& [id, history] : jobs_) {
    if (history.placements.empty() || history.cancel_requested_at || history.done_at) continue;
    for (const auto& [index, placement] : history.placements) running[id].push_back(placement.machine);
  }
  return running;
}

std::vector<InvariantChecker::WaitingJob> InvariantChecker::waiting_jobs(JobRegistry& registry) const {
  std::vector<WaitingJob> waiting;
  for (const auto& id : unfinished_) {
    const JobHistory& history = jobs_.at(id);
    const SimulatedJob* job = registry.find(id);
    if (!job || job->always_fails || history.cancel_requested_at) continue;
    const int placed = static_cast<int>(history.placements.size());
    const int waiting_tasks = history.spec.tasks - history.tasks_done - placed;
    const bool may_start = history.spec.kind != JobKind::Gang || placed == 0;
    if (waiting_tasks > 0 && may_start) waiting.push_back({job, waiting_tasks});
  }
  return waiting;
}

const Resources& InvariantChecker::team_usage(const std::string& team) const {
  static const Resources kNone;
  const auto found = team_usage_.find(team);
  return found == team_usage_.end() ? kNone : found->second;
}

}  // namespace corkmux::simulation

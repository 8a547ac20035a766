#include "invariant_checker.h"

#include <fmt/format.h>

#include <algorithm>

#include "simulation_constants.h"

namespace corkmux::simulation {

void InvariantChecker::broke(const char* rule, const std::string& what) {
  broken_.push_back(fmt::format("{}: {} at {:.2f} s", rule, what, now_()));
}
bool InvariantChecker::violates(const std::string& rule) const {
  return std::any_of(broken_.begin(), broken_.end(),
                     [&](const auto& b) { return b.compare(0, rule.size() + 1, rule + ":") == 0; });
}

// ---------------------------------------------------------------- machines

void InvariantChecker::task_placed(const MachineFacts& machine, const SimulatedJob& work, int index,
                                   std::uint64_t attempt) {
  const JobSpec& s = work.spec;
  Job& job = jobs_[s.id];
  double now = now_();
  auto part = fmt::format("{}/{}", s.id, index);
  if (auto it = job.places.find(index); it != job.places.end())
    broke("ran_twice", fmt::format("{} starts on {} while on {}", part, machine.name, it->second.machine));
  if (!s.allows_type(machine.type.name) || (s.zone && *s.zone != machine.zone) || (machine.spot && !s.spot))
    broke("wrong_place",
          fmt::format("{} on {} ({} in {})", part, machine.name, machine.type.name, machine.zone));
  int there = 1;
  for (const auto& [i, p] : job.places) {
    there += p.zone == machine.zone;
    if (s.one_zone && p.zone != machine.zone)
      broke("wrong_place", fmt::format("{} in {}, mate in {}", part, machine.zone, p.zone));
  }
  if (s.spread && there > (s.tasks + 1) / 2)
    broke("wrong_place", fmt::format("{}: too many in {}", part, machine.zone));
  if (job.cancel_told >= 0 && now > job.cancel_told + cancel_s_)
    broke("ran_cancelled", fmt::format("{} starts", part));
  if (job.cancel_told >= 0)
    ++starts_after_cancel_,
        latest_start_after_cancel_ = std::max(latest_start_after_cancel_, now - job.cancel_told);
  job.places[index] = {machine.name, machine.zone, attempt, now};
  Resources& use = use_[s.team] += s.need;
  auto team = std::find_if(teams_.begin(), teams_.end(), [&](const Team& t) { return t.name == s.team; });
  if (team != teams_.end() && !team->allows(use))
    broke("quota", fmt::format("{} uses {:.0f} CPUs and {:.0f} GPUs", s.team, use.cpus, use.gpus));
  ++starts_;
  last_start_ = now;
}

void InvariantChecker::task_removed(const std::string& machine, const SimulatedJob& work, int index,
                                    std::uint64_t, const std::string&) {
  Job& job = jobs_[work.spec.id];
  use_[work.spec.team] -= work.spec.need;
  if (job.cancel_told >= 0 && now_() > job.cancel_told + cancel_s_)
    broke("ran_cancelled", fmt::format("{}/{} was still there", work.spec.id, index));
  if (auto it = job.places.find(index); it != job.places.end() && it->second.machine == machine)
    job.places.erase(it);
}

void InvariantChecker::progress_lost(const SimulatedJob&, const std::string& why, double seconds) {
  lost_[why] += std::max(0.0, seconds);
}
void InvariantChecker::task_running(const SimulatedJob& work, int) {
  Job& job = jobs_[work.spec.id];
  if (job.first_run < 0) job.first_run = now_();
}
void InvariantChecker::task_done(const SimulatedJob& work, int) {
  Job& job = jobs_[work.spec.id];
  if (++job.done == work.spec.tasks) job.done_at = now_();
}

// ---------------------------------------------------------------- users

void InvariantChecker::submitted(const JobSpec& spec) {
  Job& job = jobs_[spec.id];
  job.spec = spec, job.first_try = now_();
}

/// An answer about a job that was accepted, or that nobody submitted.
void InvariantChecker::record_answer(Job& job, const std::string& id, int status, const std::string& phase,
                                     double asked_at) {
  bool known = !job.spec.id.empty();
  if (!known) {
    if (status == 200) broke("invented", id);
    return;
  }
  auto before = [&](double told_at) { return told_at >= 0 && told_at <= asked_at; };
  if (status == 404 && before(job.accepted_at)) broke("forgotten", id);
  if (status != 200 && status != 201) return;
  if (!std::exchange(job.accepted, true)) job.accepted_at = now_();
  if ((before(job.done_told) && phase != "done") || (before(job.cancel_told) && phase != "cancelled"))
    broke("went_back", fmt::format("{} is called {}", id, phase));
  if (phase == "cancelled" && job.cancel_asked < 0)
    broke("went_back", fmt::format("{} is called cancelled, which nobody asked for", id));
  if (phase == "done" && job.done < job.spec.tasks)
    broke("not_done", fmt::format("{} with {} of {} tasks", id, job.done, job.spec.tasks));
  if (phase == "done" && job.done_told < 0) job.done_told = now_();
  if (phase == "cancelled" && job.cancel_told < 0) {
    job.cancel_told = now_();
    if (!job.places.empty()) cancels_of_running_.push_back(now_());
  }
}

void InvariantChecker::answered_submission(const std::string& id, int status, const std::string& phase,
                                           double asked_at) {
  Job& job = jobs_[id];
  if (status == 400 || status == 422) {
    if (job.accepted_at >= 0 && job.accepted_at <= asked_at)
      broke("forgotten", fmt::format("{} was accepted and is refused", id));
    job.refused = true;
    return;
  }
  if (status == 200 || status == 201) {
    record_answer(job, id, status, phase, asked_at);
    if (job.done_told < 0 && job.cancel_told < 0) open_.insert(id);
  }
}
void InvariantChecker::gave_up(const std::string& id) { jobs_[id].given_up = true; }
void InvariantChecker::asks_to_cancel(const std::string& id) {
  if (jobs_[id].cancel_asked < 0) jobs_[id].cancel_asked = now_();
}
void InvariantChecker::answered_cancel(const std::string& id, int status, const std::string& phase,
                                       double asked_at) {
  record_answer(jobs_[id], id, status, phase, asked_at);
  if (jobs_[id].cancel_told >= 0) open_.erase(id);
}
void InvariantChecker::answered_poll(const std::string& id, int status, const std::string& phase,
                                     double asked_at) {
  Job& job = jobs_[id];
  double now = now_();
  record_answer(job, id, status, phase, asked_at);
  if (job.done_told >= 0 || job.cancel_told >= 0) open_.erase(id);
  if (job.accepted) ++polls_, polls_answered_ += status == 200;
  if (status == 200) {
    any_poll_answered_ = now, job.silent_since = -1;
  } else if (job.accepted) {
    if (job.silent_since < 0) job.silent_since = now;
    bool in_calm = now - std::max(job.silent_since, calm_from_) > kSilentInCalm;
    if (in_calm) {
      broke("forgotten", fmt::format("nothing is learnt of {} though all troubles are over", id));
      job.silent_since = now;
    } else if (now - job.silent_since > kSilentPolls && any_poll_answered_ > job.silent_since) {
      broke("forgotten", fmt::format("every poll for {} fails", id));
      job.silent_since = now;
    }
  }
}

void InvariantChecker::answered_concurrent_read(const std::string& id, int status, const std::string& phase,
                                                double asked_at) {
  concurrent_reads_ += status == 200;
  record_answer(jobs_[id], id, status, phase, asked_at);
}
void InvariantChecker::answered_invalid(const std::string& id, int status, int wanted) {
  if (status == 200 || status == 201)
    return broke("accepted_odd", fmt::format("{} instead of {}", id, wanted));
  if ((status == 400 || status == 422) && status != wanted)
    broke("accepted_odd", fmt::format("{} gets {} instead of {}", id, status, wanted));
  invalid_refused_ += status == wanted;
}

// ---------------------------------------------------------------- the account

std::map<std::string, std::vector<std::string>> InvariantChecker::running_jobs() const {
  std::map<std::string, std::vector<std::string>> out;
  for (const auto& [id, job] : jobs_) {
    if (job.places.empty() || job.cancel_asked >= 0 || job.done_at >= 0) continue;
    for (const auto& [index, place] : job.places) out[id].push_back(place.machine);
  }
  return out;
}

std::vector<InvariantChecker::WaitingJob> InvariantChecker::waiting_jobs(JobRegistry& registry) const {
  std::vector<WaitingJob> out;
  for (const auto& id : open_) {
    const Job& job = jobs_.at(id);
    const SimulatedJob* work = registry.find(id);
    if (!work || work->always_fails || job.cancel_asked >= 0) continue;
    int waiting = job.spec.tasks - job.done - static_cast<int>(job.places.size());
    if (waiting > 0 && (job.spec.kind != JobKind::Gang || job.places.empty())) out.push_back({work, waiting});
  }
  return out;
}
const Resources& InvariantChecker::team_usage(const std::string& team) const {
  static const Resources none;
  auto it = use_.find(team);
  return it == use_.end() ? none : it->second;
}

void InvariantChecker::sample_progress(const std::vector<std::string>& fitting) {
  double now = now_();
  std::set<std::string> now_fitting(fitting.begin(), fitting.end());
  for (const auto& id : fitting_)
    if (!now_fitting.count(id)) jobs_[id].fits_since = -1;
  fitting_ = std::move(now_fitting);
  if (now >= calm_from_)
    for (const auto& id : fitting) {
      Job& job = jobs_[id];
      if (job.fits_since < 0) job.fits_since = now;
      if (now - job.fits_since <= kLeftWaiting) continue;
      broke("left_waiting", fmt::format("{} though a machine has room", id));
      job.fits_since = 1e18;
    }
  if (fitting.empty()) {
    waits_since_ = -1;
    return;
  }
  if (waits_since_ < 0) waits_since_ = now;
  longest_pause_ = std::max(longest_pause_, now - std::max(waits_since_, last_start_));
}

int InvariantChecker::confirmed_cancellations(double from, double to) const {
  return static_cast<int>(std::count_if(cancels_of_running_.begin(), cancels_of_running_.end(),
                                        [&](double at) { return at >= from && at <= to; }));
}

void InvariantChecker::finish() {
  double now = now_();
  for (const auto& [id, job] : jobs_)
    for (const auto& [index, p] : job.places)
      if (job.cancel_told >= 0 && now > job.cancel_told + cancel_s_)
        broke("ran_cancelled", fmt::format("{}/{} is still there", id, index));
  if (starts_ == 0 && !jobs_.empty()) broke("nothing_ran", "no task was started");
}

std::map<std::string, InvariantChecker::JobStatistics> InvariantChecker::shares(
    std::string JobSpec::*name) const {
  std::map<std::string, JobStatistics> out;
  std::map<std::string, int> size;  // of the largest
  for (const auto& [id, job] : jobs_)
    if (!job.spec.id.empty()) size[job.spec.*name] = std::max(size[job.spec.*name], job.spec.tasks);
  for (const auto& [id, job] : jobs_) {
    if (job.spec.id.empty()) continue;
    JobStatistics& s = out[job.spec.*name];
    // Of those that were accepted: what nobody took while the state service was away is counted as given up.
    if (job.spec.tasks == size[job.spec.*name] && job.cancel_asked < 0 && job.accepted) {
      ++s.largest;
      s.largest_begun += job.first_run >= 0 && job.first_run - job.first_try <= kLargestBegin;
      s.largest_done += job.done_at >= 0;
    }
    ++s.submitted;
    s.accepted += job.accepted, s.refused += job.refused, s.given_up += job.given_up;
    s.started += job.first_run >= 0;
    s.cancelled += job.cancel_asked >= 0;
    s.done += job.cancel_asked < 0 && job.done_at >= 0;
    if (job.first_run >= 0) s.waits.push_back(job.first_run - job.first_try);
  }
  for (auto& [n, s] : out) std::sort(s.waits.begin(), s.waits.end());
  return out;
}

}  // namespace corkmux::simulation

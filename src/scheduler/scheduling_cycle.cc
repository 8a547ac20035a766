#include "scheduling_cycle.h"

#include <algorithm>
#include <tuple>

namespace corkmux {
namespace c = constants;
namespace {

/// Whether the job is a large array or service that has waited for long and of which no task has started.
bool is_overdue(const Job& job, double now) {
  return !job.is_gang() && job.spec.tasks >= c::kLargeArrayTasks && job.active.empty() && job.done == 0 &&
         now - job.ready_at > c::kLargeArrayOverdueShare * c::kLargeArrayStartTime;
}

}  // namespace

// ---------------------------------------------------------------- the order of bids

/// Weight of the job's bid on one machine; a gang therefore counts with the size of one member (paper III-B:
/// the mass of a task).
double SchedulingCycle::weight(const Job& job) const {
  static constexpr double kPriorityWeight[] = {1, 4, 16, 64};
  double largest_cpus = 1;
  for (const auto& type : state_.catalog()) largest_cpus = std::max(largest_cpus, type.size.cpus);
  const double size = std::max({job.spec.need.cpus / largest_cpus, job.spec.need.gpus, 1 / largest_cpus});
  return kPriorityWeight[static_cast<int>(job.priority)] * size *
         (job.indexed.guaranteed ? c::kGuaranteeBoost : 1);
}

SchedulingCycle::StartAim SchedulingCycle::start_aim(const Job& job, double now) const {
  StartAim aim;
  const auto& start_within = state_.config().start_within;
  auto limits = start_within.find(job.spec.job_class);
  if (limits == start_within.end() || !job.active.empty() || job.done > 0) return aim;
  const double waited = now - job.ready_at;
  for (double limit : limits->second)
    if (waited > limit) ++aim.missed;
  const double last = limits->second.back();
  aim.due = waited > c::kStartDueShare * last && waited <= last;
  if (aim.due) aim.at = job.ready_at + last;
  return aim;
}

bool SchedulingCycle::is_late(const Job& job, double now) const {
  const auto& finish_within = state_.config().finish_within;
  auto limit = finish_within.find(job.spec.job_class);
  return limit != finish_within.end() ? now - job.ready_at > limit->second : now > job.due_at;
}

SchedulingCycle::Bid SchedulingCycle::bid_of(Job& job, double now) const {
  Bid bid;
  bid.job = &job;
  bid.weight = weight(job);
  bid.aim = start_aim(job, now);
  bid.overdue = is_overdue(job, now);
  bid.late = is_late(job, now);
  bid.remaining_s = bid.late ? 0 : job.queued * std::max(1.0, job.spec.estimate_s);
  return bid;
}

/// Whether `left` is processed before `right`. Bids are processed in descending order of weight (priority
/// times size). Among equal weights, jobs about to miss their last start aim come first, the earliest aim
/// first; then overdue large arrays, the longest waiting first; then jobs that have missed the fewest start
/// aims, jobs that can still end in time, and jobs with the least work left to start. With too little
/// capacity the fewest jobs are then late, and no job waits forever behind smaller ones.
bool SchedulingCycle::bids_before(const Bid& left, const Bid& right) {
  if (left.weight != right.weight) return left.weight > right.weight;
  if (left.aim.due != right.aim.due) return left.aim.due;
  if (left.aim.due && left.aim.at != right.aim.at) return left.aim.at < right.aim.at;
  if (left.overdue != right.overdue) return left.overdue;
  if (left.overdue) return left.job->ready_at < right.job->ready_at;
  return std::tie(left.aim.missed, left.late, left.remaining_s, left.job->order) <
         std::tie(right.aim.missed, right.late, right.remaining_s, right.job->order);
}

std::vector<SchedulingCycle::Bid> SchedulingCycle::ordered_bids(double now) {
  std::vector<Bid> bids;
  for (Job* job : state_.job_index().waiting()) {
    ++items_examined_;
    if (now >= job->not_before) bids.push_back(bid_of(*job, now));
  }
  std::sort(bids.begin(), bids.end(), bids_before);
  return bids;
}

// ---------------------------------------------------------------- one bid

void SchedulingCycle::update_accelerator_demand(const std::vector<Bid>& bids) {
  const bool wanted = std::any_of(bids.begin(), bids.end(), [&](const Bid& bid) {
    const JobSpec& spec = bid.job->spec;
    return spec.need.gpus > 0 && state_.within_limit(spec.team, spec.need);
  });
  search_.set_accelerator_demand(wanted, state_.job_index().highest_accelerator_priority());
}

void SchedulingCycle::note_waiting_at_limit(const Job& job, Progress& progress) const {
  if (state_.within_limit(job.spec.team, job.need_to_start)) return;
  auto [waiting, added] = progress.waiting_at_limit.try_emplace(job.spec.team, job.priority);
  if (!added) waiting->second = std::max(waiting->second, job.priority);
}

void SchedulingCycle::place(const Bid& bid, bool one_task, Progress& progress, double now) {
  Job& job = *bid.job;
  if (!job.is_gang()) {
    progress.budget -= placement_.place_tasks(job, one_task ? 1 : progress.budget, now);
    return;
  }
  if (placement_.place_gang(job, now))
    progress.budget -= job.spec.tasks;
  else if (bid.aim.due)
    placement_.hold_zone_for_gang(job, now);
}

/// Claims the team's guarantee once the job has waited for kClaimDelayShare of its aim, since waiting alone
/// would then miss the aim. One claim per cycle bounds the cycle's time. Returns whether work is stopped for
/// the job.
bool SchedulingCycle::claim_guarantee(Job& job, Progress& progress, double now) {
  if (job.queued == 0 || job.guarantee_admission != Job::GuaranteeAdmission::Granted) return false;
  const SchedulerConfig& config = state_.config();
  if (progress.claimed || now - job.ready_at < c::kClaimDelayShare * config.guarantee_within) return false;
  if (now - job.reclaimed_at < config.gang_peer_s + c::kNominationTime) return false;
  progress.claimed = true;
  job.reclaimed_at = now;
  return claims_.reclaim(job, now);
}

void SchedulingCycle::preempt(Job& job, Progress& progress, double now) {
  // The search for work to stop is expensive; it is skipped if no work of lower priority runs.
  if (job.queued == 0 || job.priority <= progress.lowest_stoppable) return;
  note_waiting_at_limit(job, progress);
  // Prevents stopping more and more work: tasks stopped for a job get time to exit before more are stopped
  // for it.
  if (now - job.preempted_at < c::kNominationTime) return;
  if (progress.preemptors++ >= c::kPreemptorsPerCycle) return;
  if (preemption_.preempt_for(job, now)) job.preempted_at = now;
}

void SchedulingCycle::process(const Bid& bid, Progress& progress, double now) {
  Job& job = *bid.job;
  // Prevents lower-priority work from waiting forever for its team's limit: higher-priority work may never
  // fit into what is left of the limit, or may keep arriving, and can still preempt it. After
  // kMaxWaitBehindTeamLimit the job runs one task at a time.
  auto waiting = progress.waiting_at_limit.find(job.spec.team);
  const bool behind = waiting != progress.waiting_at_limit.end() && job.priority < waiting->second;
  if (behind && (now - job.ready_at < c::kMaxWaitBehindTeamLimit || !job.active.empty())) {
    job.why = "waiting: room under the team's limit is kept for more urgent work";
    return;
  }
  if (job.is_gang() && !job.active.empty()) return;
  place(bid, bid.overdue || behind, progress, now);
  if (claim_guarantee(job, progress, now)) return;
  preempt(job, progress, now);
}

void SchedulingCycle::run(double now) {
  state_.cycle_started();
  search_.begin_cycle();
  for (Machine* machine : state_.due_for_reindex(now)) state_.reindex(*machine, now);
  claims_.update_admissions(now);
  const std::vector<Bid> bids = ordered_bids(now);
  std::vector<const Job*> waiting;
  for (const Bid& bid : bids) waiting.push_back(bid.job);
  reservations_.update(waiting, now);
  update_accelerator_demand(bids);
  Progress progress;
  progress.lowest_stoppable = state_.job_index().lowest_stoppable().value_or(Priority::Production);
  for (const Bid& bid : bids) note_waiting_at_limit(*bid.job, progress);
  for (const Bid& bid : bids) {
    if (progress.budget <= 0) {
      state_.request_cycle();
      return;
    }
    process(bid, progress, now);
  }
}

}  // namespace corkmux

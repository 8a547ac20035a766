#include "job_registry.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "exit_causes.h"
#include "simulation_constants.h"

namespace corkmux::simulation {
namespace {
constexpr double kMaxSpeed = 10;  // upper bound: above the speed of any machine
}

struct JobRegistry::GangRendezvous {
  GangRendezvous(Loop& loop, SimulatedJob& gang_job) : job(gang_job), completion(loop), breakup(loop) {}
  SimulatedJob& job;
  std::map<int, GangMember*> members;  // by index
  std::set<int> save_requested;
  bool started = false;
  bool saving = false;
  bool broken = false;  // a member was lost
  double started_at = 0;
  double progress_at_start = 0;  // s
  double speed = 1;              // of the slowest member
  double frozen_progress = 0;    // s, valid once the gang saves or is broken
  Timer completion;
  Timer breakup;  // when the other members detect a loss, or saving ends

  bool all_save_requested() const { return static_cast<int>(save_requested.size()) == job.spec.tasks; }
};

JobRegistry::JobRegistry(Loop& loop, double gang_peer_s, MachineObserver& observer,
                         std::function<double()> now)
    : loop_(loop), gang_peer_s_(gang_peer_s), observer_(observer), now_(std::move(now)) {}
JobRegistry::~JobRegistry() = default;

SimulatedJob* JobRegistry::find(const std::string& job) {
  const auto found = jobs_.find(job);
  if (found != jobs_.end()) return &found->second;
  return make_unknown_job ? &add(make_unknown_job(job)) : nullptr;
}

SimulatedJob& JobRegistry::add(SimulatedJob job) {
  const auto tasks = static_cast<std::size_t>(job.spec.tasks);
  job.saved_s.resize(tasks);
  job.done.resize(tasks);
  if (job.run_s.empty()) job.run_s.push_back(job.spec.estimate_s);
  job.run_s.resize(tasks, job.run_s.back());
  const auto id = job.spec.id;
  return jobs_.insert_or_assign(id, std::move(job)).first->second;
}

double JobRegistry::checkpointed(const SimulatedJob& job, double progress_s) {
  const double interval_s = job.spec.checkpoint_s;
  return interval_s > 0 ? std::floor(progress_s / interval_s) * interval_s : 0;
}

// ---------------------------------------------------------------- gangs

JobRegistry::GangRendezvous* JobRegistry::find_gang(const SimulatedJob& job, std::uint64_t attempt) {
  const auto found = gangs_.find({job.spec.id, attempt});
  return found == gangs_.end() ? nullptr : found->second.get();
}

double JobRegistry::progress(const GangRendezvous& gang) const {
  if (gang.saving || gang.broken) return gang.frozen_progress;
  return gang.progress_at_start + (now_() - gang.started_at) * gang.speed;
}

void JobRegistry::freeze(GangRendezvous& gang) const { gang.frozen_progress = progress(gang); }

void JobRegistry::join_gang(SimulatedJob& job, std::uint64_t attempt, int index, GangMember* member) {
  const GangKey key{job.spec.id, attempt};
  auto& gang = gangs_[key];
  if (!gang) gang = std::make_unique<GangRendezvous>(loop_, job);
  if (gang->started) return;  // a replacement cannot join a started gang
  gang->members[index] = member;
  if (static_cast<int>(gang->members.size()) == job.spec.tasks) start_gang(key);
}

void JobRegistry::start_gang(const GangKey& key) {
  GangRendezvous& gang = *gangs_.at(key);
  gang.started = true;
  gang.progress_at_start = gang.job.saved_s[0];
  gang.started_at = now_();
  gang.speed = kMaxSpeed;
  for (const auto& [index, member] : gang.members) gang.speed = std::min(gang.speed, member->speed());
  for (const auto& [index, member] : gang.members) {
    observer_.task_running(gang.job, index);
    member->gang_started(key.job, index, key.attempt);
  }
  const double remaining_s = (gang.job.run_s[0] - gang.progress_at_start) / gang.speed;
  gang.completion.once(remaining_s, [this, key] { finish_gang(key); });
}

std::unique_ptr<JobRegistry::GangRendezvous> JobRegistry::take_gang(const GangKey& key) {
  return std::move(gangs_.extract(key).mapped());
}

void JobRegistry::dispose(std::unique_ptr<GangRendezvous> gang) {
  loop_.post([gang = std::shared_ptr<GangRendezvous>(std::move(gang))] {});
}

void JobRegistry::finish_gang(const GangKey& key) {
  auto gang = take_gang(key);
  for (const auto& [index, member] : gang->members) {
    gang->job.done[static_cast<std::size_t>(index)] = true;
    observer_.task_done(gang->job, index);
    member->gang_exits(key.job, index, key.attempt, exit_cause::kDone, false);
  }
  dispose(std::move(gang));
}

void JobRegistry::member_gone(const SimulatedJob& job, std::uint64_t attempt, int index) {
  GangRendezvous* gang = find_gang(job, attempt);
  if (!gang || gang->members.erase(index) == 0) return;
  const GangKey key{job.spec.id, attempt};
  if (!gang->started) {
    if (gang->members.empty()) gangs_.erase(key);
    return;
  }
  if (!gang->saving && !gang->broken) {
    freeze(*gang);
    gang->completion.stop();
    gang->breakup.once(kPeerLossDetectionShare * gang_peer_s_,
                       [this, key] { break_gang(key, exit_cause::kMemberGone); });
  }
  gang->broken = true;
}

void JobRegistry::member_hangs(const SimulatedJob& job, std::uint64_t attempt, int index) {
  GangRendezvous* gang = find_gang(job, attempt);
  if (!gang || !gang->started) return;
  const GangKey key{job.spec.id, attempt};
  auto detection = std::make_shared<Timer>(loop_);
  detection->once(kPeerLossDetectionShare * gang_peer_s_,
                  [this, detection, key, index, member = gang->members.at(index)] {
                    detect_hang(key, index, member);
                    // Keeps the timer alive until its callback has returned.
                    loop_.post([detection] {});
                  });
}

/// `member` is valid only while it is in the gang.
void JobRegistry::detect_hang(const GangKey& key, int index, const GangMember* member) {
  const auto found = gangs_.find(key);
  if (found == gangs_.end()) return;
  GangRendezvous& gang = *found->second;
  if (!gang.members.contains(index) || !member->hangs() || gang.saving) return;
  if (!gang.broken) freeze(gang);
  gang.broken = true;
  break_gang(key, exit_cause::kMemberHung);
}

void JobRegistry::break_gang(const GangKey& key, const char* why) {
  auto gang = take_gang(key);
  SimulatedJob& job = gang->job;
  const double safe = std::max(job.saved_s[0], checkpointed(job, gang->frozen_progress));
  observer_.progress_lost(job, why, (gang->frozen_progress - safe) * job.spec.tasks);
  job.saved_s[0] = safe;
  for (const auto& [index, member] : gang->members)
    member->gang_exits(key.job, index, key.attempt, exit_cause::kMemberGone, false);
  dispose(std::move(gang));
}

void JobRegistry::stop_member(const SimulatedJob& job, std::uint64_t attempt, int index, double grace_s) {
  GangRendezvous* gang = find_gang(job, attempt);
  if (!gang || !gang->members.contains(index)) return;
  const GangKey key{job.spec.id, attempt};
  GangMember* member = gang->members.at(index);
  const bool can_save = job.spec.checkpoint_s > 0 && grace_s >= job.spec.save_s;
  if (!gang->started || !can_save || (gang->broken && !gang->saving)) {
    member_gone(job, attempt, index);
    return member->gang_exits(key.job, index, attempt, exit_cause::kHalted, false);
  }
  if (!gang->saving) {
    freeze(*gang);
    gang->saving = true;
    gang->completion.stop();
    gang->breakup.once(gang_peer_s_, [this, key] { end_saving(key); });
  }
  if (!gang->save_requested.insert(index).second) return;
  member->gang_saves(key.job, index, attempt);
  if (gang->all_save_requested()) gang->breakup.once(job.spec.save_s, [this, key] { end_saving(key); });
}

void JobRegistry::end_saving(const GangKey& key) {
  auto gang = take_gang(key);
  SimulatedJob& job = gang->job;
  const bool saved = !gang->broken && gang->all_save_requested();
  const double progress_s = gang->frozen_progress;
  const double safe = saved ? progress_s : std::max(job.saved_s[0], checkpointed(job, progress_s));
  if (!saved) observer_.progress_lost(job, exit_cause::kSaveFailed, (progress_s - safe) * job.spec.tasks);
  job.saved_s[0] = safe;
  for (const auto& [index, member] : gang->members) {
    const bool was_requested = gang->save_requested.contains(index);
    const char* cause = was_requested ? exit_cause::kHalted : exit_cause::kMemberGone;
    member->gang_exits(key.job, index, key.attempt, cause, saved);
  }
  dispose(std::move(gang));
}

}  // namespace corkmux::simulation

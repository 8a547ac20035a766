#include "task_executor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "exit_causes.h"
#include "simulation_constants.h"
#include "time_constants.h"

namespace corkmux::simulation {
namespace {

/// Draws a factor uniformly from 1 - spread .. 1 + spread, which is 1 on average.
double draw_around_one(double spread, std::mt19937_64& rng) {
  return std::uniform_real_distribution<double>(1 - spread, 1 + spread)(rng);
}

}  // namespace

TaskExecutor::TaskExecutor(Loop& loop, const MachineFacts& facts, double gang_wait_s, JobRegistry& registry,
                           std::mt19937_64& rng, std::function<void()> on_change)
    : loop_(loop),
      facts_(facts),
      gang_wait_s_(gang_wait_s),
      registry_(registry),
      on_change_(std::move(on_change)),
      speed_(draw_around_one(kSpeedSpread / 2, rng)),
      images_(facts.type.fetch_gb_per_s * draw_around_one(kFetchSpread, rng), facts.type.cache_gb) {}

Resources TaskExecutor::free() const {
  Resources free = facts_.type.size;
  for (const auto& [key, task] : tasks_)
    if (task.phase != TaskPhase::Ended) free -= task.job->spec.need;
  return free;
}

void TaskExecutor::hang() {
  hangs_ = true;
  loop_.post([this] { hangs_ = false; });  // the first callback that runs when the machine resumes
  for (auto& [key, task] : tasks_)
    if (task.placed && task.job->spec.kind == JobKind::Gang)
      registry_.member_hangs(*task.job, task.attempt, task.index);
}

// ---------------------------------------------------------------- commands

bool TaskExecutor::has_other_attempt(const TaskKey& key) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
    return entry.first.task_id == key.task_id && entry.second.phase != TaskPhase::Ended;
  });
}

const char* TaskExecutor::refusal(const MachineTask& task, const Resources& free, bool busy) {
  if (!task.job || task.index >= task.job->spec.tasks) return exit_cause::kUnknown;
  if (busy) return exit_cause::kBusy;
  if (!task.job->spec.need.fits(free)) return exit_cause::kNoCapacity;
  return nullptr;
}

void TaskExecutor::launch(const TaskKey& key) {
  if (tasks_.contains(key)) return;
  const auto slash = key.task_id.rfind('/');
  SimulatedJob* job = registry_.find(key.task_id.substr(0, slash));
  const int index = std::stoi(key.task_id.substr(slash + 1));
  const bool busy = has_other_attempt(key);
  const Resources free_before = free();
  MachineTask& task = tasks_[key];
  task.job = job;
  task.index = index;
  task.attempt = key.attempt;
  if (const char* cause = refusal(task, free_before, busy)) {
    task.phase = TaskPhase::Ended;
    task.cause = cause;
    return;
  }
  if (images_.request(job->spec.image, job->spec.image_gb)) place(task);
}

void TaskExecutor::stop(const TaskKey& key, double grace_s) {
  const auto found = tasks_.find(key);
  if (found == tasks_.end()) return;
  MachineTask& task = found->second;
  if (task.phase == TaskPhase::Ended) return;
  const bool runs = task.phase == TaskPhase::Running;
  const bool saves_already = task.phase == TaskPhase::Saving;
  const JobSpec& spec = task.job->spec;
  if (spec.kind == JobKind::Gang && (runs || saves_already))
    return registry_.stop_member(*task.job, task.attempt, task.index, grace_s);
  const bool can_save = spec.checkpoint_s > 0 && grace_s >= spec.save_s;
  if (runs && can_save) return begin_saving(task);
  if (saves_already && grace_s > 0) return;
  exit(task, exit_cause::kHalted);
}

void TaskExecutor::clear(const TaskKey& key) {
  const auto found = tasks_.find(key);
  if (found != tasks_.end() && found->second.phase == TaskPhase::Ended) tasks_.erase(found);
}

// ---------------------------------------------------------------- images

void TaskExecutor::image_fetched(const std::string& image) {
  images_.complete_fetch(image);
  std::vector<TaskKey> waiting;
  for (const auto& [key, task] : tasks_)
    if (task.phase == TaskPhase::Fetching && task.job->spec.image == image) waiting.push_back(key);
  if (waiting.empty()) return images_.drop(image);
  images_.evict([&](const std::string& name) { return name == image || image_in_use(name); });
  for (const auto& key : waiting)
    if (auto found = tasks_.find(key); found != tasks_.end()) place(found->second);
  on_change_();
}

bool TaskExecutor::image_in_use(const std::string& image) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
    return entry.second.phase != TaskPhase::Ended && entry.second.job->spec.image == image;
  });
}

// ---------------------------------------------------------------- phases of a task

void TaskExecutor::place(MachineTask& task) {
  SimulatedJob& job = *task.job;
  task.placed = true;
  registry_.observer().task_placed(facts_, job, task.index, task.attempt);
  if (job.done[static_cast<std::size_t>(task.index)]) return exit(task, exit_cause::kDone);
  if (job.spec.kind == JobKind::Gang) {
    task.phase = TaskPhase::Waiting;
    task.phase_ends_at = steady_now() + gang_wait_s_;
    return registry_.join_gang(job, task.attempt, task.index, this);
  }
  begin_run(task);
}

void TaskExecutor::begin_run(MachineTask& task) {
  const SimulatedJob& job = *task.job;
  const auto index = static_cast<std::size_t>(task.index);
  const double now = steady_now();
  task.phase = TaskPhase::Running;
  task.running_since = now;
  task.progress_at_start = job.saved_s[index];
  task.phase_ends_at =
      job.spec.kind == JobKind::Service ? kNever : now + (job.run_s[index] - task.progress_at_start) / speed_;
  task.fails = faulty_ || job.always_fails;
  if (task.fails) task.phase_ends_at = now + kFaultyTaskDelay;
  registry_.observer().task_running(job, task.index);
}

void TaskExecutor::begin_saving(MachineTask& task) {
  task.progress_to_save = progress(task);
  task.phase = TaskPhase::Saving;
  task.phase_ends_at = steady_now() + task.job->spec.save_s;
  on_change_();
}

double TaskExecutor::progress(const MachineTask& task) const {
  return task.progress_at_start + (steady_now() - task.running_since) * speed_;
}

void TaskExecutor::exit(MachineTask& task, const char* cause, bool saved) {
  if (task.phase == TaskPhase::Ended) return;
  task.saved = saved;
  account_for_end(task, cause);
  task.phase = TaskPhase::Ended;
  task.cause = cause;
  on_change_();
}

/// Updates the job's progress, its gang and the observer after the task's end.
void TaskExecutor::account_for_end(MachineTask& task, const std::string& why) {
  if (task.job->spec.kind == JobKind::Gang)
    registry_.member_gone(*task.job, task.attempt, task.index);
  else if (task.phase == TaskPhase::Running || task.phase == TaskPhase::Saving)
    account_for_progress(task, why);
  if (std::exchange(task.placed, false))
    registry_.observer().task_removed(facts_.name, *task.job, task.index, task.attempt, why);
}

void TaskExecutor::account_for_progress(const MachineTask& task, const std::string& why) {
  SimulatedJob& job = *task.job;
  const auto index = static_cast<std::size_t>(task.index);
  if (why == exit_cause::kDone) {
    job.done[index] = true;
    return registry_.observer().task_done(job, task.index);
  }
  if (job.spec.kind != JobKind::Array) return;
  const double reached = task.phase == TaskPhase::Saving ? task.progress_to_save : progress(task);
  const double safe =
      task.saved ? reached : std::max(job.saved_s[index], JobRegistry::checkpointed(job, reached));
  registry_.observer().progress_lost(job, why, reached - safe);
  job.saved_s[index] = safe;
}

void TaskExecutor::abort_all(const std::string& why) {
  for (auto& [key, task] : std::exchange(tasks_, {}))
    if (task.phase != TaskPhase::Ended) account_for_end(task, why);
}

void TaskExecutor::terminate(const std::string& why) {
  terminated_ = true;
  for (auto& [key, task] : tasks_)
    if (task.phase != TaskPhase::Ended) account_for_end(task, why);
  tasks_.clear();
}

// ---------------------------------------------------------------- time

void TaskExecutor::advance() {
  const double now = steady_now();
  for (const auto& image : images_.fetched_by(now)) image_fetched(image);
  for (auto& [key, task] : tasks_)
    if (task.phase_ends_at && *task.phase_ends_at <= now) end_phase(task);
}

void TaskExecutor::end_phase(MachineTask& task) {
  switch (task.phase) {
    case TaskPhase::Waiting:
      return exit(task, exit_cause::kAlone);
    case TaskPhase::Running:
      return exit(task, task.fails ? exit_cause::kError : exit_cause::kDone);
    case TaskPhase::Saving:
      return exit(task, exit_cause::kHalted, true);
    case TaskPhase::Fetching:
    case TaskPhase::Ended:
      return;
  }
}

double TaskExecutor::next_deadline() const {
  double deadline = images_.next_fetch_end();
  for (const auto& [key, task] : tasks_)
    if (task.phase != TaskPhase::Ended && task.phase_ends_at)
      deadline = std::min(deadline, *task.phase_ends_at);
  return deadline;
}

// ---------------------------------------------------------------- gangs

void TaskExecutor::change_later(const std::string& job, int index, std::uint64_t attempt,
                                std::function<void(MachineTask&)> change) {
  const TaskKey key{job + "/" + std::to_string(index), attempt};
  loop_.post([this, key, change = std::move(change)] {
    const auto found = tasks_.find(key);
    if (terminated_ || found == tasks_.end() || found->second.phase == TaskPhase::Ended) return;
    change(found->second);
    on_change_();
  });
}

void TaskExecutor::gang_started(const std::string& job, int index, std::uint64_t attempt) {
  change_later(job, index, attempt, [this](MachineTask& task) {
    task.phase = TaskPhase::Running;
    task.fails = faulty_ || task.job->always_fails;
    task.phase_ends_at = task.fails ? steady_now() + kFaultyTaskDelay : kNever;
  });
}

void TaskExecutor::gang_saves(const std::string& job, int index, std::uint64_t attempt) {
  change_later(job, index, attempt, [](MachineTask& task) {
    task.phase = TaskPhase::Saving;
    task.phase_ends_at = kNever;
  });
}

void TaskExecutor::gang_exits(const std::string& job, int index, std::uint64_t attempt, const char* cause,
                              bool saved) {
  change_later(job, index, attempt, [this, cause, saved](MachineTask& task) { exit(task, cause, saved); });
}

}  // namespace corkmux::simulation

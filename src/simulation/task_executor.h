// Executes the tasks of one machine: image fetches, runs, saving of progress, gangs. Notifies the observer of
// every event, and its owner of changes that have to be reported to the controller. Independent of
// controllers, leases and fencing tokens.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>

#include "event_loop.h"
#include "gang_member.h"
#include "image_cache.h"
#include "job_registry.h"
#include "machine_facts.h"

namespace corkmux::simulation {

/// Identifies one attempt of one task in commands and heartbeats.
struct TaskKey {
  std::string task_id;  // "job/index"
  std::uint64_t attempt = 0;
  bool operator<(const TaskKey& other) const {
    return std::tie(task_id, attempt) < std::tie(other.task_id, other.attempt);
  }
};

enum class TaskPhase { Fetching, Waiting, Running, Saving, Ended };

/// One attempt of a task on the machine, kept until a controller clears it.
struct MachineTask {
  SimulatedJob* job = nullptr;  // null: no such job; the phase is then Ended
  int index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::Fetching;
  const char* cause = "";               // cause of its end (exit_causes.h)
  bool saved = false;                   // all its progress was saved before its end
  bool placed = false;                  // the observer was notified of its placement, not yet of its removal
  bool fails = false;                   // its run will end with an error
  double running_since = 0;             // s of the steady clock
  double progress_at_start = 0;         // s
  double progress_to_save = 0;          // s, in phase Saving
  std::optional<double> phase_ends_at;  // s of the steady clock; empty: another event ends the phase
};

/// The tasks of one machine; a member of gangs on behalf of its tasks.
class TaskExecutor : public GangMember {
 public:
  using Tasks = std::map<TaskKey, MachineTask>;
  /// Draws the machine's speed and fetch rate at random. `on_change` is called when a change has to be
  /// reported to the controller.
  TaskExecutor(Loop& loop, const MachineFacts& facts, double gang_wait_s, JobRegistry& registry,
               std::mt19937_64& rng, std::function<void()> on_change);

  const Tasks& tasks() const { return tasks_; }
  /// The machine's resources that no unended task uses.
  Resources free() const;
  /// While faulty, every task that starts fails.
  void set_faulty(bool faulty) { faulty_ = faulty; }
  /// Notes that the machine stalls from now on; until it resumes, other members of its gangs may detect it.
  void hang();

  // Commands of a controller. stop() and clear() of an unknown task have no effect.
  void launch(const TaskKey& key);
  void stop(const TaskKey& key, double grace_s);
  /// Removes the task if it has ended.
  void clear(const TaskKey& key);

  /// Ends and removes all tasks immediately; none is reported to the controller.
  void abort_all(const std::string& why);
  /// Like abort_all(), but permanent: the machine has ended.
  void terminate(const std::string& why);
  /// Processes the fetches and phases that have ended by now.
  void advance();
  /// When advance() is due next, in seconds of the steady clock.
  double next_deadline() const;

  // GangMember
  void gang_started(const std::string& job, int index, std::uint64_t attempt) override;
  void gang_saves(const std::string& job, int index, std::uint64_t attempt) override;
  void gang_exits(const std::string& job, int index, std::uint64_t attempt, const char* cause,
                  bool saved) override;
  double speed() const override { return speed_; }
  bool hangs() const override { return hangs_; }

 private:
  bool has_other_attempt(const TaskKey& key) const;
  /// The exit cause with which the machine refuses the task; null if it accepts. `free`: the free resources
  /// before the task is placed. `busy`: another attempt of the task is on the machine.
  static const char* refusal(const MachineTask& task, const Resources& free, bool busy);
  void image_fetched(const std::string& image);
  bool image_in_use(const std::string& image) const;
  /// Places the task, whose image is cached: starts it, or has it join its gang.
  void place(MachineTask& task);
  void begin_run(MachineTask& task);
  void begin_saving(MachineTask& task);
  void exit(MachineTask& task, const char* cause, bool saved = false);
  void account_for_end(MachineTask& task, const std::string& why);
  void account_for_progress(const MachineTask& task, const std::string& why);
  double progress(const MachineTask& task) const;
  void end_phase(MachineTask& task);
  /// Posts `change` for the task; it runs once the machine is not stalled, unless the task has ended by then.
  void change_later(const std::string& job, int index, std::uint64_t attempt,
                    std::function<void(MachineTask&)> change);

  Loop& loop_;
  const MachineFacts& facts_;
  double gang_wait_s_;
  JobRegistry& registry_;
  std::function<void()> on_change_;
  double speed_;
  ImageCache images_;
  Tasks tasks_;
  bool faulty_ = false;
  bool hangs_ = false;
  bool terminated_ = false;
};

}  // namespace corkmux::simulation

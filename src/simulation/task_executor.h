// The tasks of one machine: images, runs, saving, gangs. Tells the observer what happens and its owner when
// there is something to tell the controller. Knows nothing of controllers, leases and fencing tokens.
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

/// One try of one task, by which a controller names it.
struct TaskKey {
  std::string part;  // "job/index"
  std::uint64_t attempt = 0;
  bool operator<(const TaskKey& other) const {
    return std::tie(part, attempt) < std::tie(other.part, other.attempt);
  }
};

enum class TaskPhase { Fetching, Waiting, Running, Saving, Ended };

struct MachineTask {
  SimulatedJob* job = nullptr;  // null: there is no such job, and it has ended
  int index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::Fetching;
  const char* cause = "";               // why it ended
  bool saved = false;                   // it ended with all its progress safe
  bool placed = false;                  // the observer was told that it is there, and not that it has left
  bool fails = false;                   // its run ends with an error
  double running_since = 0;             // s of the steady clock
  double progress_at_start = 0;         // s
  double progress_to_save = 0;          // s, while it saves
  std::optional<double> phase_ends_at;  // s of the steady clock; none: with some other event
};

class TaskExecutor : public GangMember {
 public:
  using Tasks = std::map<TaskKey, MachineTask>;
  /// Draws the machine's speed and the rate of its fetches. `on_change`: something has to be reported.
  TaskExecutor(Loop& loop, const MachineFacts& facts, double gang_wait_s, JobRegistry& registry,
               std::mt19937_64& rng, std::function<void()> on_change);

  const Tasks& tasks() const { return tasks_; }
  /// What tasks that have not exited leave free.
  Resources free() const;
  /// Fails every task that it starts.
  void set_faulty(bool faulty) { faulty_ = faulty; }
  /// The machine stalls from now on; until it resumes, gang members may notice.
  void hang();

  // Commands of a controller. What names no task here does nothing.
  void launch(const TaskKey& key);
  void stop(const TaskKey& key, double grace_s);
  /// Forgets it if it has ended.
  void clear(const TaskKey& key);

  /// All tasks end at once, unreported.
  void abort_all(const std::string& why);
  /// As abort_all, and for good: the machine has ended.
  void terminate(const std::string& why);
  /// Does what is due by now.
  void advance();
  /// When advance() has something to do, s of the steady clock.
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
  /// Why the machine cannot take it; null: it can. `free`: without it.
  static const char* refusal(const MachineTask& task, const Resources& free, bool busy);
  void image_fetched(const std::string& image);
  bool image_in_use(const std::string& image) const;
  /// It has its image.
  void place(MachineTask& task);
  void begin_run(MachineTask& task);
  void begin_saving(MachineTask& task);
  void exit(MachineTask& task, const char* cause, bool saved = false);
  void account_for_end(MachineTask& task, const std::string& why);
  void account_for_progress(const MachineTask& task, const std::string& why);
  double progress(const MachineTask& task) const;
  void end_phase(MachineTask& task);
  /// Runs `change` on the task, if it has not ended by then, once the machine is awake.
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

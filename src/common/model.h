// The field's terms as plain data: jobs, tasks, machines, reports, commands.
#pragma once
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace corkmux {

enum class JobKind { Array, Gang, Service };
enum class Priority { Low, Normal, High, Production };

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
    return *this;
  }
  /// How many of these fit into the room.
  int times_in(const Resources& room) const {
    double n = 1e6;
    if (cpus > 0) n = std::min(n, room.cpus / cpus);
    if (gpus > 0) n = std::min(n, room.gpus / gpus);
    if (memory_gb > 0) n = std::min(n, room.memory_gb / memory_gb);
    return std::max(0, static_cast<int>(n + 1e-6));
  }
  bool fits(const Resources& room) const {
    constexpr double kRounding = 1e-6;
    return cpus <= room.cpus + kRounding && gpus <= room.gpus + kRounding &&
           memory_gb <= room.memory_gb + kRounding;
  }
};

struct JobSpec {
  std::string id, job_class, team, image;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  int tasks = 1;
  Resources need;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  double estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
  std::vector<std::string> dependencies;  // jobs that have to be done before any task of this one starts
  /// What has to be free for it to start: of a gang all tasks, else one.
  Resources at_once() const {
    Resources all;
    for (int i = 0; i < (kind == JobKind::Gang ? tasks : 1); ++i) all += need;
    return all;
  }
  bool allows_type(const std::string& type) const {
    return !types || std::find(types->begin(), types->end(), type) != types->end();
  }
};

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0, fetch_gb_per_s = 1, price = 0, spot_price = 0, boot_s = 60;
  std::vector<std::string> zones;
};

enum class TaskState { Fetching, Waiting, Running, Saving, Exited };
enum class ExitReason { None, Done, Stopped, PeersGone, Alone, Error, NoRoom, Busy, Unknown };

struct TaskStatus {
  std::string job;
  int index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::Fetching;
  ExitReason why = ExitReason::None;
  bool saved = false;
  bool operator==(const TaskStatus&) const = default;
};

struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t worker_epoch = 0, seq = 0, fencing_token = 0;
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;
  bool operator==(const Heartbeat&) const = default;
};

struct TaskCommand {
  enum class Op { Start, Stop, Forget } op = Op::Start;
  std::string job;
  int index = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;
};

struct ListedMachine {
  std::string name, address, type, zone;
  bool spot = false;
  enum class Phase { Booting, Running, Failed } phase = Phase::Running;
  double age_s = 0;
};

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0 as a limit: none
  bool allows(const Resources& use) const {
    constexpr double kRounding = 1e-6;
    return (cpus_max <= 0 || use.cpus <= cpus_max + kRounding) &&
           (gpus_max <= 0 || use.gpus <= gpus_max + kRounding);
  }
  /// Whether that is all within what the team is guaranteed. Accelerators count where they are metered.
  bool guarantees(const Resources& use) const {
    constexpr double kRounding = 1e-6;
    return use.cpus <= cpus + kRounding && ((gpus <= 0 && gpus_max <= 0) || use.gpus <= gpus + kRounding);
  }
};

}  // namespace corkmux

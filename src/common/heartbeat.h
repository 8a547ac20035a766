// A worker's heartbeat: its identity and the status of each of its tasks.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace corkmux {

enum class TaskState { Fetching, Waiting, Running, Saving, Exited };
enum class ExitReason { None, Done, Stopped, PeersGone, Alone, Error, NoCapacity, Busy, Unknown };

struct TaskStatus {
  std::string job;
  int index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::Fetching;
  ExitReason why = ExitReason::None;  // of an exited task
  bool saved = false;
  bool operator==(const TaskStatus&) const = default;
};

struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t worker_epoch = 0;
  std::uint64_t seq = 0;            // within the epoch
  std::uint64_t fencing_token = 0;  // the highest that the worker has received
  std::optional<double> notice_s;   // s until the cloud reclaims a spot machine
  std::vector<TaskStatus> tasks;
  bool operator==(const Heartbeat&) const = default;
};

}  // namespace corkmux

// A task and its assignment to a machine, as plain data.
#pragma once
#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace corkmux {
namespace constants {

inline constexpr double kReservationTimeout = 30.0;  // s beyond the image fetch until a launch expires

}  // namespace constants

/// Names a task: its job and its index in it. Ordered by job, then index.
struct TaskId {
  std::string job;
  int index = 0;
  auto operator<=>(const TaskId&) const = default;
};

enum class TaskPhase : std::uint8_t { Queued, Active, Done };

/// A minimum token that no worker has seen: while a launch is on its way, no heartbeat proves absence.
inline constexpr std::uint64_t kTokenOfNoWorker = std::numeric_limits<std::uint64_t>::max();

/// A task that is, or may be, on a machine. It stays until there is proof that its place is empty.
struct ActiveTask {
  enum class Stage {
    Assigned,   // its assignment may not be stored yet; nothing was sent
    Sent,       // a launch was sent
    Recovered,  // loaded from a record; its machine has not reported it yet
    Fetching,
    Waiting,  // a gang's member waits for the others
    Running,
    Saving,
  };
  std::uint64_t attempt = 0;
  std::string machine;
  std::string zone;  // stored too: a new leader may not know the machine yet
  std::uint64_t worker_epoch = 0;
  Stage stage = Stage::Assigned;
  std::uint64_t generation = 0;       // of the record that stores this assignment
  std::uint64_t minimum_token = 0;    // absence counts only in heartbeats that carry at least this token
  std::uint64_t after_seq = 0;        // and only beyond this sequence number, for launches in an answer
  double since = 0;                   // when it was assigned
  double reservation_expires_at = 0;  // when it is placed again unless it runs by then
  std::optional<double> running_at;   // when it was first seen to run
  bool stop = false;                  // it is to be stopped
  double grace_s = 0;                 // time it gets to save before it is killed
};

}  // namespace corkmux

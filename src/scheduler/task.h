// A task and its assignment to a machine, as plain data.
#pragma once
#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace corkmux {
namespace constants {

inline constexpr double kReservationTimeout = 30.0;  // s after the image fetch until a launch expires

}  // namespace constants

/// Identifies a task by its job and its index in the job. Ordered by job, then index.
struct TaskId {
  std::string job;
  int index = 0;
  auto operator<=>(const TaskId&) const = default;
};

enum class TaskPhase : std::uint8_t { Queued, Active, Done };

/// Minimum token that no worker can carry: while a launch is in flight, no heartbeat proves absence.
inline constexpr std::uint64_t kTokenNeverIssued = std::numeric_limits<std::uint64_t>::max();

/// A task that is, or may be, on a machine. It is removed only with proof that the machine does not have it.
struct ActiveTask {
  enum class Stage {
    Assigned,   // its assignment may not be stored yet; no launch was sent
    Sent,       // a launch was sent
    Recovered,  // loaded from a record; its machine has not reported it yet
    Fetching,
    Waiting,  // a gang member waits for the other members
    Running,
    Saving,
  };
  std::uint64_t attempt = 0;
  std::string machine;
  std::string zone;  // stored as well: a new leader may not have the machine yet
  std::uint64_t worker_epoch = 0;
  Stage stage = Stage::Assigned;
  std::uint64_t generation = 0;       // record generation that stores this assignment
  std::uint64_t minimum_token = 0;    // absence counts only in heartbeats that carry at least this token
  std::uint64_t after_seq = 0;        // and a sequence number above this, for launches in heartbeat answers
  double since = 0;                   // when it was assigned
  double reservation_expires_at = 0;  // when it is stopped and placed again unless it runs by then
  std::optional<double> running_at;   // when it was first reported as running
  bool stop = false;                  // a stop is requested
  double grace_s = 0;                 // time to save before it is killed
};

}  // namespace corkmux

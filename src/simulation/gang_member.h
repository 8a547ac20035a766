// Interface through which a gang notifies and queries the machine of one of its tasks.
#pragma once
#include <cstdint>
#include <string>

namespace corkmux::simulation {

class GangMember {
 public:
  virtual ~GangMember() = default;
  // Notifications about the machine's task. Each takes effect once the machine no longer hangs.
  virtual void gang_started(const std::string& job, int index, std::uint64_t attempt) = 0;
  virtual void gang_saves(const std::string& job, int index, std::uint64_t attempt) = 0;
  /// `saved`: all progress of the task is saved.
  virtual void gang_exits(const std::string& job, int index, std::uint64_t attempt, const char* cause,
                          bool saved) = 0;
  /// Speed of the machine's tasks, as a multiple of the normal speed.
  virtual double speed() const = 0;
  /// Whether the machine is stalled and makes no progress.
  virtual bool hangs() const = 0;
};

}  // namespace corkmux::simulation

// A machine on which a task of a gang is, as the gang sees it.
#pragma once
#include <cstdint>
#include <string>

namespace corkmux::simulation {

class GangMember {
 public:
  virtual ~GangMember() = default;
  // What becomes of its task. Each takes effect once the machine is awake.
  virtual void gang_started(const std::string& job, int index, std::uint64_t attempt) = 0;
  virtual void gang_saves(const std::string& job, int index, std::uint64_t attempt) = 0;
  /// `saved`: with all its progress safe.
  virtual void gang_exits(const std::string& job, int index, std::uint64_t attempt, const char* cause,
                          bool saved) = 0;
  /// Of its tasks, as a multiple of the usual one.
  virtual double speed() const = 0;
  /// It is stalled and does nothing.
  virtual bool hangs() const = 0;
};

}  // namespace corkmux::simulation

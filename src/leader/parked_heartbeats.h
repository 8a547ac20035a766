// Queue of heartbeats that arrive while the leader cannot answer them yet, because it is loading its state or
// waits for the state store to confirm its term after a stall.
//
// Owns the heartbeats until they are taken, in the order of arrival. It never answers a heartbeat: the caller
// of take_all() does, also when the term ends. Used on the leader's actor only.
#pragma once
#include <cstddef>
#include <utility>
#include <vector>

#include "incoming_heartbeat.h"
#include "settings.h"

namespace corkmux {

class ParkedHeartbeats {
 public:
  /// The capacity is bounded by memory: after a restart of all controllers every worker sends a heartbeat at
  /// once.
  explicit ParkedHeartbeats(const Settings& settings);

  /// Whether no further heartbeat can be added.
  bool full() const { return heartbeats_.size() >= capacity_; }
  bool empty() const { return heartbeats_.empty(); }
  /// Adds a heartbeat; the queue must not be full.
  void add(IncomingHeartbeat incoming) { heartbeats_.push_back(std::move(incoming)); }
  /// Removes and returns all parked heartbeats.
  std::vector<IncomingHeartbeat> take_all() { return std::exchange(heartbeats_, {}); }

 private:
  static constexpr double kMemoryShare = 0.03;        // of the controller's memory
  static constexpr double kBytesPerHeartbeat = 1000;  // of a worker with some tasks

  std::size_t capacity_;
  std::vector<IncomingHeartbeat> heartbeats_;
};

}  // namespace corkmux

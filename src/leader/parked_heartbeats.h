// Heartbeats that arrive while the leader cannot answer them yet: it loads its state, or waits for the state
// store to confirm its term after a stall.
//
// Owns the heartbeats until they are taken, in the order of arrival. It never answers one: whoever takes them
// does, also when the term ends. Used on the leader's actor only.
#pragma once
#include <cstddef>
#include <utility>
#include <vector>

#include "incoming_heartbeat.h"
#include "settings.h"

namespace corkmux {

class ParkedHeartbeats {
 public:
  /// After a restart of all controllers every worker comes at once, so the number is bounded by memory.
  explicit ParkedHeartbeats(const Settings& settings);

  /// Whether one more can be parked.
  bool full() const { return heartbeats_.size() >= capacity_; }
  bool empty() const { return heartbeats_.empty(); }
  /// Parks a heartbeat; requires that there is room.
  void add(IncomingHeartbeat incoming) { heartbeats_.push_back(std::move(incoming)); }
  /// Hands over all parked heartbeats.
  std::vector<IncomingHeartbeat> take_all() { return std::exchange(heartbeats_, {}); }

 private:
  static constexpr double kMemoryShare = 0.03;        // of the controller's memory
  static constexpr double kBytesPerHeartbeat = 1000;  // with some tasks

  std::size_t capacity_;
  std::vector<IncomingHeartbeat> heartbeats_;
};

}  // namespace corkmux

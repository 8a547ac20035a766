// Decides whether the leader takes all heartbeats itself or fan-in members take them for it, by the number of
// sockets that the leader would need. Owns only the last decision; announces nothing.
#pragma once

namespace corkmux {
namespace constants {

/// Sockets that the leader holds for each worker connected to it: one for heartbeats, one for commands.
inline constexpr int kSocketsPerWorker = 2;
/// Shares of the leader's sockets that workers would need: above the first, fan-in members take heartbeats;
/// below the second, the leader alone. Between them nothing changes, so that a fleet that grows and shrinks
/// moves no workers.
inline constexpr double kFanInStartShare = 0.5;
inline constexpr double kFanInEndShare = 0.35;

}  // namespace constants

namespace fanin {

class FanInPolicy {
 public:
  explicit FanInPolicy(int max_connections) : max_connections_(max_connections) {}
  /// Sets the decision of the former leader, from which a new leader continues.
  void set_initial(bool fan_in_active) { fan_in_active_ = fan_in_active; }
  /// Updates the decision and returns whether fan-in members take heartbeats. `workers`: machines that are
  /// up.
  bool update(int workers);

 private:
  int max_connections_;
  bool fan_in_active_ = false;
};

}  // namespace fanin
}  // namespace corkmux

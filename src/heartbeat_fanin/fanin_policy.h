// Whether the leader takes all heartbeats itself or fan-in members take them for it: by how many sockets the
// leader would need. Owns the last decision only; announces nothing.
#pragma once

namespace corkmux {
namespace constants {

/// Sockets the leader holds for a worker of its own: one for heartbeats, one for commands.
inline constexpr int kSocketsPerWorker = 2;
/// Shares of the leader's sockets that workers need: members take heartbeats above the first, the leader
/// alone below the second. Between them nothing changes, so a fleet that grows and shrinks moves nobody.
inline constexpr double kFanInAbove = 0.5;
inline constexpr double kFanInBelow = 0.35;

}  // namespace constants

namespace fanin {

class FanInPolicy {
 public:
  explicit FanInPolicy(int max_connections) : max_connections_(max_connections) {}
  /// What a new leader takes over from the one before.
  void start_from(bool shared) { shared_ = shared; }
  /// Whether members are to take heartbeats. `workers`: machines that are up.
  bool update(int workers);

 private:
  int max_connections_;
  bool shared_ = false;
};

}  // namespace fanin
}  // namespace corkmux

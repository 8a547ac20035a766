// Which controller serves which worker, as a pure function of the controllers that serve and the worker's
// name and zone: every controller that knows the same list gives the same answer, and one that comes or goes
// moves only its own share (rendezvous hashing).
#pragma once
#include <functional>
#include <string>
#include <vector>

namespace corkmux::fanin {

struct FanInMember {
  std::string label, zone;
  bool operator==(const FanInMember&) const = default;
};

class WorkerSharding {
 public:
  WorkerSharding() = default;
  explicit WorkerSharding(std::vector<FanInMember> controllers) : controllers_(std::move(controllers)) {}
  bool empty() const { return controllers_.empty(); }
  bool serves(const std::string& label) const;
  /// The usable controller with the highest score for that worker, of its own zone if there is one there, so
  /// that a cut between zones leaves most workers with a controller on their side. Empty: none is usable.
  std::string owner_of(const std::string& worker, const std::string& zone,
                       const std::function<bool(const std::string& label)>& usable) const;

 private:
  std::vector<FanInMember> controllers_;
};

/// Whether workers are served by all controllers or by the leader alone: by how many sockets the leader would
/// need for them. The two bounds lie apart, so that a fleet that breathes does not move its workers to and
/// fro.
class FanInPolicy {
 public:
  explicit FanInPolicy(int max_connections) : max_connections_(max_connections) {}
  /// What a new leader takes over from the one before.
  void start_from(bool shared) { shared_ = shared; }
  /// `workers`: machines that are up.
  bool update(int workers);

 private:
  int max_connections_;
  bool shared_ = false;
};

}  // namespace corkmux::fanin

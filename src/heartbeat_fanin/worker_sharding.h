// Assigns each worker's heartbeats to a controller, as a pure function of the fan-in members and the worker's
// name and zone (rendezvous hashing): all controllers with the same list of members give the same answer, and
// a member that joins or leaves moves only its own shard. Sends nothing and has no connections.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace corkmux::fanin {

/// A controller that takes heartbeats for the leader.
struct FanInMember {
  std::string label;
  std::string zone;
  bool operator==(const FanInMember&) const = default;
};

class WorkerSharding {
 public:
  using UsablePredicate = std::function<bool(const std::string& label)>;
  /// Without members the leader takes all heartbeats.
  WorkerSharding() = default;
  explicit WorkerSharding(std::vector<FanInMember> members) : members_(std::move(members)) {}
  bool empty() const { return members_.empty(); }
  /// Whether that controller is a member.
  bool contains(const std::string& label) const;
  /// The owner of the worker's shard: the usable member with the highest score for that worker, from the
  /// worker's own zone if one is usable there, so that a partition between zones leaves most workers with a
  /// controller on their side. No value: no member is usable.
  std::optional<std::string> owner_of(const std::string& worker, const std::string& zone,
                                      const UsablePredicate& usable) const;

 private:
  std::vector<FanInMember> members_;
};

}  // namespace corkmux::fanin

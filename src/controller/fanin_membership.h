// Keeps which controllers take heartbeats for the leader, by the newest announcement of any leader. Owns that
// announcement; decides nothing (FanInCoordinator does) and sends nothing (PeerExchange does).
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "settings.h"
#include "sync_message.h"

namespace corkmux {

class FanInMembership {
 public:
  using ChangedCallback = std::function<void(const std::vector<std::string>& members)>;
  FanInMembership(const Settings& settings, ChangedCallback changed);
  /// Sets new members; called as the leader of `term`.
  void announce(std::uint64_t term, std::vector<std::string> members);
  /// Takes in the newest announcement that a peer has. Every controller passes it on, so that a controller
  /// that has lost only its connection to the leader receives it too.
  void receive_announcement(const FanInAnnouncement& announcement);
  /// Empty: the leader alone takes heartbeats.
  const std::vector<std::string>& members() const { return newest_.labels; }
  /// No value: no leader has announced anything yet.
  std::optional<FanInAnnouncement> newest() const;

 private:
  std::set<std::string> controllers_;  // all that the settings name
  ChangedCallback changed_;
  FanInAnnouncement newest_;
};

}  // namespace corkmux

// The open watches of the simulated state store, each waiting for a change or its timeout. Decides which
// watches are due; the owner sends the answers.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "http.h"
#include "key_value_store.h"

namespace corkmux::simulation {

/// The origin of a request that waits for its response: the listener that accepted it, and its connection.
struct Caller {
  std::size_t listener = 0;
  http::Server::ConnectionId connection = 0;
};

/// A request for the changes under a prefix.
struct Watch {
  Caller caller;
  std::string prefix;
  Revision after = 0;  // the caller has the changes up to this revision
  double until = 0;    // its timeout, s of the steady clock
};

/// The answer to a watch.
struct WatchAnswer {
  Caller caller;
  bool compacted = false;  // requested changes are no longer in the history
  std::vector<KeyValueChange> changes;
};

/// The open watches, in the order in which they were added.
class WatchHub {
 public:
  using IsReachable = std::function<bool(std::size_t listener)>;
  void add(Watch watch);
  /// Removes the watches that are due and returns their answers. A watch is due if a key under its prefix has
  /// changed, its timeout is over, or its changes are no longer in the history. Watches through an
  /// unreachable listener keep waiting.
  std::vector<WatchAnswer> take_due(const KeyValueStore& store, std::size_t listeners,
                                    const IsReachable& is_reachable);

 private:
  /// Empty if the watch keeps waiting.
  static std::optional<WatchAnswer> answer_to(const Watch& watch, const KeyValueStore& store, double now);

  std::vector<Watch> watches_;
  /// Every watch was checked against the changes up to this revision; empty: at least one was not.
  std::optional<Revision> checked_revision_;
};

}  // namespace corkmux::simulation

// Watches of the state service that wait for a change, each until its time is over. Decides which are due;
// whoever owns it answers them.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "http.h"
#include "key_value_store.h"

namespace corkmux::simulation {

/// A request that waits for its response: the listener that took it, and its connection there.
struct Caller {
  std::size_t listener = 0;
  http::Server::ConnectionId connection = 0;
};

struct Watch {
  Caller caller;
  std::string prefix;
  Revision after = 0;  // changes up to here are known
  double until = 0;    // s of the steady clock
};

/// What a watch is told.
struct WatchAnswer {
  Caller caller;
  bool compacted = false;  // changes that it asks for are no longer known
  std::vector<KeyValueChange> changes;
};

class WatchHub {
 public:
  using IsReachable = std::function<bool(std::size_t listener)>;
  void add(Watch watch);
  /// Removes and returns the watches that are due: something has changed, their time is over, or what they
  /// ask for is no longer known. Watches through a listener that is not reachable go on waiting.
  std::vector<WatchAnswer> take_due(const KeyValueStore& store, std::size_t listeners,
                                    const IsReachable& is_reachable);

 private:
  /// No answer if the watch goes on waiting.
  static std::optional<WatchAnswer> answer_to(const Watch& watch, const KeyValueStore& store, double now);

  std::vector<Watch> watches_;
  /// Every watch was held against the changes up to here; none: some was not.
  std::optional<Revision> checked_revision_;
};

}  // namespace corkmux::simulation

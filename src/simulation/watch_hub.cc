#include "watch_hub.h"

#include <utility>

#include "event_loop.h"

namespace corkmux::simulation {

void WatchHub::add(Watch watch) {
  watches_.push_back(std::move(watch));
  checked_revision_.reset();
}

std::optional<WatchAnswer> WatchHub::answer_to(const Watch& watch, const KeyValueStore& store, double now) {
  if (store.is_compacted(watch.after)) return WatchAnswer{watch.caller, true, {}};
  auto changes = store.changes_after(watch.after, watch.prefix);
  if (changes.empty() && now < watch.until) return std::nullopt;
  return WatchAnswer{watch.caller, false, std::move(changes)};
}

std::vector<WatchAnswer> WatchHub::take_due(const KeyValueStore& store, std::size_t listeners,
                                            const IsReachable& is_reachable) {
  const double now = steady_now();
  const bool changed = checked_revision_ != store.revision();
  std::vector<WatchAnswer> due;
  std::vector<Watch> waiting;
  for (auto& watch : watches_) {
    const bool worth_checking = changed || store.is_compacted(watch.after) || now >= watch.until;
    std::optional<WatchAnswer> answer;
    if (worth_checking && is_reachable(watch.caller.listener)) answer = answer_to(watch, store, now);
    if (answer)
      due.push_back(std::move(*answer));
    else
      waiting.push_back(std::move(watch));
  }
  watches_ = std::move(waiting);
  bool all_checked = true;
  for (std::size_t listener = 0; listener < listeners; ++listener)
    all_checked = all_checked && is_reachable(listener);
  checked_revision_ = all_checked ? std::optional(store.revision()) : std::nullopt;
  return due;
}

}  // namespace corkmux::simulation

#include "capacity_index.h"

#include <algorithm>
#include <cmath>

#include "reserved_capacity.h"
#include "scheduler.h"

namespace corkmux {
namespace {

using Use = MachineCapacity::Use;

CapacityIndex::FreeCapacity room_of(const Resources& free) {
  return {std::llround(free.gpus * 1e6), std::llround(free.cpus * 1e6), std::llround(free.memory_gb * 1e6)};
}

/// What is at its floor does not fall below it.
CapacityIndex::Drift drift(double value, double slope, double heard) {
  if (value <= 0 && slope < 0) slope = 0;
  return {value, slope, slope * heard};
}

}  // namespace

bool ByName::operator()(const Machine* a, const Machine* b) const { return a->name < b->name; }

void CapacityIndex::take_out(Machine& m) {
  IndexEntry& f = m.index_entry;
  if (!f.level) return;
  CapacityBucket& level = *f.level;
  level.slack.add(f.slack, -1);
  level.heat.add(f.heat, -1);
  for (const auto& image : m.images)
    if (auto i = level.images.find(image); i != level.images.end() && --i->second == 0) level.images.erase(i);
  Machine* last = level.machines.back();
  level.machines[f.position] = last;
  last->index_entry.position = f.position;
  level.machines.pop_back();
  // An empty level goes, and with it what its sums have lost in rounding.
  if (level.machines.empty()) f.levels->erase(room_of(level.free));
  f.levels = nullptr, f.level = nullptr;
}

void CapacityIndex::update(Machine& m, const MachineCapacity& state, double slack) {
  IndexEntry& f = m.index_entry;
  if (!f.pool) {
    if (!m.up) return;
    const int reservation_tier = ReservedCapacity::reservation_tier(m.name);
    Pool& pool = pools_[{m.type, m.zone, m.spot, reservation_tier}];
    pool.type = m.type, pool.zone = m.zone, pool.spot = m.spot, pool.reservation_tier = reservation_tier;
    if (m.size.cpus > 0) pool.size = m.size;
    f.pool = &pool;
    note_tasks(m);
  }
  if (state.until != f.wake_at) {
    wakes_.erase({f.wake_at, &m});
    f.wake_at = state.until;
    if (state.until < 1e18) wakes_.insert({state.until, &m});
  }
  if (f.kept_for != state.kept_for) {
    if (auto k = kept_.find(f.kept_for); k != kept_.end()) {
      k->second.erase(&m);
      if (k->second.empty()) kept_.erase(k);
    }
    f.kept_for = state.kept_for;
    if (!f.kept_for.empty()) kept_[f.kept_for].insert(&m);
  }
  f.use = state.use;
  free_ -= f.counted_free, size_ -= f.counted_size;
  bool counts = state.use != Use::Out;
  f.counted_free = counts ? m.free : Resources{};
  f.counted_size = counts ? m.size : Resources{};
  free_ += f.counted_free, size_ += f.counted_size;

  CapacityBuckets* levels = state.use == Use::Ready     ? &f.pool->ready
                            : state.use == Use::Suspect ? &f.pool->suspect
                                                        : nullptr;
  const FreeCapacity room = room_of(m.free);
  if (!levels || levels != f.levels || room_of(f.level->free) != room) {
    take_out(m);
    if (!levels) return;
    CapacityBucket& level = (*levels)[room];
    if (level.machines.empty()) level.free = m.free;
    f.levels = levels, f.level = &level, f.position = level.machines.size();
    level.machines.push_back(&m);
    for (const auto& image : m.images) ++level.images[image];
  } else {
    f.level->slack.add(f.slack, -1);
    f.level->heat.add(f.heat, -1);
  }
  f.slack = drift(slack, m.slack_slope, m.last_heard);
  f.heat = drift(m.heat, m.heat_slope, m.last_heard);
  f.level->slack.add(f.slack, 1);
  f.level->heat.add(f.heat, 1);
}

void CapacityIndex::remove(Machine& m) {
  IndexEntry& f = m.index_entry;
  if (!f.pool) return;
  update(m, {}, 0);
  list(m, -1);
  f.pool->stopping.erase(&m);
  f.pool = nullptr;
}

void CapacityIndex::list(Machine& m, int lowest) {
  IndexEntry& f = m.index_entry;
  if (f.lowest == lowest) return;
  if (f.lowest >= 0) {
    auto& from = f.pool->stoppable[static_cast<std::size_t>(f.lowest)];
    from[f.lowest_position] = from.back();
    from[f.lowest_position]->index_entry.lowest_position = f.lowest_position;
    from.pop_back();
  }
  f.lowest = lowest;
  if (lowest < 0) return;
  auto& to = f.pool->stoppable[static_cast<std::size_t>(lowest)];
  f.lowest_position = to.size();
  to.push_back(&m);
}

void CapacityIndex::note_tasks(Machine& m) {
  if (!m.index_entry.pool) return;
  int lowest = -1;
  for (int p = 3; p >= 0; --p)
    if (m.stoppable[static_cast<std::size_t>(p)] > 0) lowest = p;
  list(m, lowest);
  if (m.stopping > 0)
    m.index_entry.pool->stopping.insert(&m);
  else
    m.index_entry.pool->stopping.erase(&m);
}

std::vector<Machine*> CapacityIndex::due(double now) {
  std::vector<Machine*> out;
  for (const auto& [at, m] : wakes_) {
    if (at > now) break;
    out.push_back(m);
  }
  std::sort(out.begin(), out.end(), ByName{});
  return out;
}

const MachineSet& CapacityIndex::kept_for(const std::string& job) const {
  static const MachineSet none;
  auto k = kept_.find(job);
  return k == kept_.end() ? none : k->second;
}

}  // namespace corkmux

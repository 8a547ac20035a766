#include "capacity_index.h"

#include <algorithm>
#include <cmath>

#include "machine.h"
#include "reserved_capacity.h"

namespace corkmux {
namespace {

using Use = MachineCapacity::Use;

CapacityIndex::FreeCapacity free_capacity_of(const Resources& free, int task_slots) {
  constexpr double kUnitsPerOne = 1e6;
  return {std::llround(free.gpus * kUnitsPerOne), std::llround(free.cpus * kUnitsPerOne),
          std::llround(free.memory_gb * kUnitsPerOne), task_slots};
}

int counted_task_slots(const Machine& machine) {
  return std::min(machine.task_slots(), constants::kTaskSlotsCounted);
}

CapacityIndex::FreeCapacity free_capacity_of(const Machine& machine) {
  return free_capacity_of(machine.free, counted_task_slots(machine));
}

CapacityIndex::FreeCapacity free_capacity_of(const CapacityIndex::CapacityBucket& bucket) {
  return free_capacity_of(bucket.free, bucket.task_slots);
}

/// A value at zero or below does not fall any further.
CapacityIndex::Drift drift(double value, double slope, double heartbeat_at) {
  if (value <= 0 && slope < 0) slope = 0;
  return {value, slope, slope * heartbeat_at};
}

/// The lowest priority of stoppable tasks on the machine; nullopt if there are none.
std::optional<std::size_t> lowest_stoppable(const Machine& machine) {
  for (std::size_t priority = 0; priority < machine.stoppable.size(); ++priority)
    if (machine.stoppable[priority] > 0) return priority;
  return std::nullopt;
}

}  // namespace

bool ByName::operator()(const Machine* left, const Machine* right) const { return left->name < right->name; }

void CapacityIndex::Drift::add(const Drift& other) {
  value += other.value;
  slope += other.slope;
  slope_times_heartbeat += other.slope_times_heartbeat;
}

void CapacityIndex::Drift::subtract(const Drift& other) {
  value -= other.value;
  slope -= other.slope;
  slope_times_heartbeat -= other.slope_times_heartbeat;
}

void CapacityIndex::remove_from_bucket(Machine& machine) {
  IndexEntry& entry = machine.index_entry;
  if (!entry.bucket) return;
  CapacityBucket& bucket = *entry.bucket;
  bucket.slack.subtract(entry.slack);
  bucket.heat.subtract(entry.heat);
  for (const auto& image : machine.images) {
    auto count = bucket.images.find(image);
    if (count == bucket.images.end()) continue;
    --count->second;
    if (count->second == 0) bucket.images.erase(count);
  }
  Machine* last = bucket.machines.back();
  bucket.machines[entry.position] = last;
  last->index_entry.position = entry.position;
  bucket.machines.pop_back();
  // Erasing an empty bucket also discards the rounding errors that its sums have accumulated.
  if (bucket.machines.empty()) entry.buckets->erase(free_capacity_of(bucket));
  entry.buckets = nullptr;
  entry.bucket = nullptr;
}

void CapacityIndex::enter_pool(Machine& machine) {
  const int reservation_tier = ReservedCapacity::reservation_tier(machine.name);
  Pool& pool = pools_[{machine.type, machine.zone, machine.spot, reservation_tier}];
  pool.type = machine.type;
  pool.zone = machine.zone;
  pool.spot = machine.spot;
  pool.reservation_tier = reservation_tier;
  if (machine.size.cpus > 0) pool.size = machine.size;
  machine.index_entry.pool = &pool;
  update_stoppable(machine);
}

void CapacityIndex::update_wake_up(Machine& machine, double at) {
  IndexEntry& entry = machine.index_entry;
  if (at == entry.wake_at) return;
  wake_ups_.erase({entry.wake_at, &machine});
  entry.wake_at = at;
  if (at < kNever) wake_ups_.insert({at, &machine});
}

void CapacityIndex::update_nomination(Machine& machine, const std::string& job) {
  IndexEntry& entry = machine.index_entry;
  if (entry.nominated_job == job) return;
  if (auto before = nominated_.find(entry.nominated_job); before != nominated_.end()) {
    before->second.erase(&machine);
    if (before->second.empty()) nominated_.erase(before);
  }
  entry.nominated_job = job;
  if (!job.empty()) nominated_[job].insert(&machine);
}

void CapacityIndex::update_totals(Machine& machine, bool counted) {
  IndexEntry& entry = machine.index_entry;
  free_ -= entry.counted_free;
  size_ -= entry.counted_size;
  entry.counted_free = counted ? machine.free : Resources{};
  entry.counted_size = counted ? machine.size : Resources{};
  free_ += entry.counted_free;
  size_ += entry.counted_size;
}

void CapacityIndex::enter_bucket(Machine& machine, CapacityBuckets& buckets) {
  CapacityBucket& bucket = buckets[free_capacity_of(machine)];
  if (bucket.machines.empty()) {
    bucket.free = machine.free;
    bucket.task_slots = counted_task_slots(machine);
  }
  IndexEntry& entry = machine.index_entry;
  entry.buckets = &buckets;
  entry.bucket = &bucket;
  entry.position = bucket.machines.size();
  bucket.machines.push_back(&machine);
  for (const auto& image : machine.images) ++bucket.images[image];
}

void CapacityIndex::update(Machine& machine, const MachineCapacity& state, double slack) {
  IndexEntry& entry = machine.index_entry;
  if (!entry.pool) {
    if (!machine.is_up()) return;
    enter_pool(machine);
  }
  update_wake_up(machine, state.until);
  update_nomination(machine, state.nominated_job);
  entry.use = state.use;
  update_totals(machine, state.use != Use::Out);

  CapacityBuckets* buckets = state.use == Use::Ready     ? &entry.pool->ready
                             : state.use == Use::Suspect ? &entry.pool->suspect
                                                         : nullptr;
  if (!buckets) {
    remove_from_bucket(machine);
    return;
  }
  const bool stays = buckets == entry.buckets && free_capacity_of(*entry.bucket) == free_capacity_of(machine);
  if (stays) {
    entry.bucket->slack.subtract(entry.slack);
    entry.bucket->heat.subtract(entry.heat);
  } else {
    remove_from_bucket(machine);
    enter_bucket(machine, *buckets);
  }
  entry.slack = drift(slack, machine.load.slack_slope, machine.worker.last_heartbeat_at);
  entry.heat = drift(machine.load.heat, machine.load.heat_slope, machine.worker.last_heartbeat_at);
  entry.bucket->slack.add(entry.slack);
  entry.bucket->heat.add(entry.heat);
}

void CapacityIndex::remove(Machine& machine) {
  IndexEntry& entry = machine.index_entry;
  if (!entry.pool) return;
  update(machine, {}, 0);
  set_lowest_stoppable(machine, std::nullopt);
  entry.pool->stopping.erase(&machine);
  entry.pool = nullptr;
}

void CapacityIndex::set_lowest_stoppable(Machine& machine, std::optional<std::size_t> priority) {
  IndexEntry& entry = machine.index_entry;
  if (entry.lowest_stoppable == priority) return;
  if (entry.lowest_stoppable) {
    auto& from = entry.pool->stoppable[*entry.lowest_stoppable];
    from[entry.stoppable_position] = from.back();
    from[entry.stoppable_position]->index_entry.stoppable_position = entry.stoppable_position;
    from.pop_back();
  }
  entry.lowest_stoppable = priority;
  if (!priority) return;
  auto& into = entry.pool->stoppable[*priority];
  entry.stoppable_position = into.size();
  into.push_back(&machine);
}

void CapacityIndex::update_stoppable(Machine& machine) {
  Pool* pool = machine.index_entry.pool;
  if (!pool) return;
  set_lowest_stoppable(machine, lowest_stoppable(machine));
  if (machine.stopping > 0)
    pool->stopping.insert(&machine);
  else
    pool->stopping.erase(&machine);
}

std::vector<Machine*> CapacityIndex::due(double now) {
  std::vector<Machine*> machines;
  for (const auto& wake_up : wake_ups_) {
    if (wake_up.at > now) break;
    machines.push_back(wake_up.machine);
  }
  std::sort(machines.begin(), machines.end(), ByName{});
  return machines;
}

const MachineSet& CapacityIndex::nominated_for(const std::string& job) const {
  static const MachineSet none;
  auto machines = nominated_.find(job);
  return machines == nominated_.end() ? none : machines->second;
}

}  // namespace corkmux

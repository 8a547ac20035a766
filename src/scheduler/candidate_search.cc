#include "candidate_search.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace corkmux {
namespace c = constants;
namespace {

constexpr double kRounding = 1e-6;
constexpr double kNoLimit = std::numeric_limits<double>::infinity();
/// Excludes every accelerator machine, even one whose accelerators are all in use.
constexpr double kNoAcceleratorMachine = -1;
constexpr std::size_t kMaxMachinesCounted = 1000000;  // keeps the count of slots within an int

void append(std::vector<CandidateGroup>& groups, std::vector<CandidateGroup>& more) {
  std::move(more.begin(), more.end(), std::back_inserter(groups));
}

}  // namespace

Machine& CandidateGroup::machine(std::size_t position) const {
  if (single) return *single;
  for (std::size_t excluded_position : excluded)
    if (excluded_position <= position) ++position;
  return *bucket->machines[position];
}

void CandidateSearch::begin_cycle() {
  not_fitting_.clear();
  held_zones_.clear();
}

void CandidateSearch::set_accelerator_demand(bool wanted, std::optional<Priority> users) {
  accelerators_wanted_ = wanted;
  accelerator_users_ = users;
}

CandidateSearch::RequestShape CandidateSearch::shape_of(const Job& job) const {
  const JobSpec& spec = job.spec;
  RequestShape shape;
  shape.cpus = spec.need.cpus;
  shape.gpus = spec.need.gpus;
  shape.memory_gb = spec.need.memory_gb;
  shape.one_zone = spec.one_zone;
  shape.spread = spec.spread;
  shape.spot = spec.spot;
  shape.gang = job.is_gang();
  shape.priority = job.priority;
  if (spec.zone) shape.zone = *spec.zone;
  if (spec.types) shape.types = *spec.types;
  shape.starving = reservations_.is_starving(job);
  return shape;
}

bool CandidateSearch::has_individual_candidates(const Job& job, double now) {
  return now - job.preempted_at < c::kNominationTime || !job.active.empty();
}

bool CandidateSearch::known_not_to_fit(const Job& job, double now) const {
  if (has_individual_candidates(job, now)) return false;
  auto known = not_fitting_.find(shape_of(job));
  return known != not_fitting_.end() && (!job.is_gang() || job.spec.tasks >= known->second);
}

void CandidateSearch::note_not_fitting(const Job& job, double now) {
  if (has_individual_candidates(job, now)) return;
  auto [known, added] = not_fitting_.try_emplace(shape_of(job), job.spec.tasks);
  if (!added) known->second = std::min(known->second, job.spec.tasks);
}

/// The most free accelerators that a machine may have to be used by the job. Work without need of
/// accelerators must not delay work that needs them, so it takes no machine with more of them free.
double CandidateSearch::most_free_gpus(const Job& job) const {
  if (job.spec.need.gpus > 0 || !accelerator_users_ || job.priority > *accelerator_users_) return kNoLimit;
  if (accelerators_wanted_) return kNoAcceleratorMachine;
  const CapacityIndex& index = state_.capacity_index();
  return index.free_gpus() - c::kAcceleratorReserve * index.all_gpus();
}

bool CandidateSearch::zone_closed(const Query& query, const std::string& zone) const {
  if (query.only_zone && zone != *query.only_zone) return true;
  auto held = held_zones_.find(zone);
  return held != held_zones_.end() && held->second != query.job.spec.id;
}

bool CandidateSearch::pool_open(const Query& query, const CapacityIndex::Pool& pool) const {
  const JobSpec& spec = query.job.spec;
  return !zone_closed(query, pool.zone) && spec.need.fits(pool.size) && may_use_pool(query.job, pool);
}

bool CandidateSearch::may_use_pool(const Job& job, const CapacityIndex::Pool& pool) const {
  return allowed(job.spec, pool.type, pool.zone, pool.spot) &&
         !reservations_.excludes(job, pool.type, pool.reservation_tier);
}

bool CandidateSearch::may_use(const Job& job, const Machine& machine, double now) const {
  const JobSpec& spec = job.spec;
  if (!state_.usable(machine, now)) return false;
  if (now < machine.nomination.until && machine.nomination.job != spec.id) return false;
  if (!allowed(spec, machine)) return false;
  const CapacityIndex::Pool* pool = machine.index_entry.pool;
  if (reservations_.excludes(job, machine.type, pool ? pool->reservation_tier : 0)) return false;
  return !spec.one_zone || job.active.empty() || job.active.begin()->second.zone == machine.zone;
}

/// Adds the buckets of a pool that the job's tasks fit on. Buckets are sorted by descending free accelerators
/// and CPUs, so the search stops before buckets with too little. Once the buckets found have capacity for all
/// tasks that are placed at once, it examines no more than kBucketsExamined, those with the most free
/// capacity.
void CandidateSearch::add_buckets(const Query& query, const CapacityIndex::Pool& pool,
                                  const CapacityIndex::CapacityBuckets& buckets,
                                  const PositionsByBucket& excluded, std::vector<CandidateGroup>& groups) {
  const Resources& need = query.job.spec.need;
  const double most_free_gpus = pool.size.gpus > 0 ? query.most_free_gpus : kNoLimit;
  int examined = 0;
  int slots = 0;
  for (auto it = buckets.begin(); it != buckets.end();) {
    ++items_examined_;
    const auto& [free_capacity, bucket] = *it;
    if (need.gpus > bucket.free.gpus + kRounding) return;
    if (examined >= c::kBucketsExamined && slots >= query.tasks) return;
    if (need.cpus > bucket.free.cpus + kRounding) {
      // The following buckets have no more CPUs: skips to those with fewer accelerators.
      it = buckets.upper_bound({free_capacity[0], std::numeric_limits<long long>::min(), 0, 0});
      continue;
    }
    ++it;
    if (!need.fits(bucket.free) || bucket.free.gpus > most_free_gpus) continue;
    CandidateGroup group;
    group.pool = &pool;
    group.bucket = &bucket;
    group.machine_count = bucket.machines.size();
    group.tasks_per_machine = tasks_fitting(need, bucket.free, bucket.task_slots);
    if (auto positions = excluded.find(&bucket); positions != excluded.end()) {
      group.excluded = positions->second;
      std::sort(group.excluded.begin(), group.excluded.end());
      group.machine_count -= group.excluded.size();
    }
    if (group.machine_count == 0) continue;
    ++examined;
    slots += static_cast<int>(std::min(group.machine_count, kMaxMachinesCounted)) * group.tasks_per_machine;
    groups.push_back(std::move(group));
  }
}

void CandidateSearch::add_pool(const Query& query, const CapacityIndex::Pool& pool,
                               const PositionsByBucket& failed, Found& found) {
  const Job& job = query.job;
  // A starving job fills the machines reserved for it first, which leaves the other machines to other jobs.
  const bool reserved_for_it = query.starving && reservations_.is_reserved(pool.reservation_tier);
  const bool gpus_unneeded = job.spec.need.gpus <= 0 && pool.size.gpus > 0;
  std::vector<CandidateGroup>& groups = reserved_for_it && !job.is_gang() ? found.reserved
                                        : gpus_unneeded                   ? found.with_unneeded_gpus
                                                                          : found.ordinary;
  add_buckets(query, pool, pool.ready, failed, groups);
  add_buckets(query, pool, pool.suspect, {}, found.suspect);
}

void CandidateSearch::add_machine(const Query& query, Machine& machine, std::vector<CandidateGroup>& groups) {
  ++items_examined_;
  const JobSpec& spec = query.job.spec;
  if (!allowed(spec, machine) || zone_closed(query, machine.zone) || !spec.need.fits(machine.free)) return;
  if (machine.size.gpus > 0 && machine.free.gpus > query.most_free_gpus) return;
  const CapacityIndex::Pool* pool = machine.index_entry.pool;
  if (reservations_.excludes(query.job, machine.type, pool->reservation_tier)) return;
  CandidateGroup group;
  group.pool = pool;
  group.single = &machine;
  group.machine_count = 1;
  group.tasks_per_machine = tasks_fitting(spec.need, machine.free, machine.task_slots());
  groups.push_back(std::move(group));
}

/// Adds ready machines on which the job has failed: they are suspect for this job, so they are listed singly
/// and excluded from their buckets. Returns their positions by bucket.
CandidateSearch::PositionsByBucket CandidateSearch::add_failed_machines(const Query& query, Found& found) {
  PositionsByBucket failed;
  for (const auto& name : query.job.failed_on) {
    Machine* machine = state_.machine(name);
    if (!machine || machine->index_entry.use != MachineCapacity::Use::Ready) continue;
    failed[machine->index_entry.bucket].push_back(machine->index_entry.position);
    add_machine(query, *machine, found.suspect);
  }
  return failed;
}

void CandidateSearch::add_nominated_machines(const Query& query, Found& found) {
  const Job& job = query.job;
  for (Machine* machine : state_.capacity_index().nominated_for(job.spec.id)) {
    const bool gpus_unneeded = job.spec.need.gpus <= 0 && machine->size.gpus > 0;
    const bool suspect =
        query.now < machine->failures.cordoned_until || job.failed_on.contains(machine->name);
    add_machine(query, *machine,
                gpus_unneeded ? found.with_unneeded_gpus
                : suspect     ? found.suspect
                              : found.ordinary);
  }
}

/// The zone that the job's running tasks bind it to; null if it may use any.
const std::string* CandidateSearch::zone_bound_to(const Job& job) {
  return job.spec.one_zone && !job.active.empty() ? &job.active.begin()->second.zone : nullptr;
}

std::vector<CandidateGroup> CandidateSearch::find(const Job& job, Suspects suspects, double now) {
  const int tasks = job.is_gang() ? job.spec.tasks : 1;
  return find({job, zone_bound_to(job), tasks, most_free_gpus(job), reservations_.is_starving(job), now},
              suspects);
}

std::vector<CandidateGroup> CandidateSearch::find_in_zone(const Job& job, Suspects suspects, double now,
                                                          const std::string& zone, int tasks) {
  if (const std::string* bound = zone_bound_to(job); bound && *bound != zone) return {};
  return find({job, &zone, tasks, most_free_gpus(job), reservations_.is_starving(job), now}, suspects);
}

std::vector<CandidateGroup> CandidateSearch::find(const Query& query, Suspects suspects) {
  const Job& job = query.job;
  Found found;
  const PositionsByBucket failed = add_failed_machines(query, found);
  for (const auto& [key, pool] : state_.capacity_index().pools()) {
    ++items_examined_;
    if (pool_open(query, pool)) add_pool(query, pool, failed, found);
  }
  add_nominated_machines(query, found);
  if (job.is_gang()) {
    // A gang needs many machines at once, so all fitting ones are candidates, those without accelerators
    // first.
    append(found.ordinary, found.with_unneeded_gpus);
    if (suspects == Suspects::Included) append(found.ordinary, found.suspect);
    return std::move(found.ordinary);
  }
  if (!found.reserved.empty()) return std::move(found.reserved);
  if (!found.ordinary.empty()) return std::move(found.ordinary);
  // Work that needs no accelerator takes accelerator machines only when nothing else fits.
  if (!found.with_unneeded_gpus.empty()) return std::move(found.with_unneeded_gpus);
  return std::move(found.suspect);
}

}  // namespace corkmux

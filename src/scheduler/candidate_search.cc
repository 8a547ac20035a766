#include "candidate_search.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace corkmux {
namespace c = constants;
namespace {

constexpr double kRounding = 1e-6;
constexpr double kNoLimit = std::numeric_limits<double>::infinity();
/// No accelerator machine at all, not even one whose accelerators are all in use.
constexpr double kNoAcceleratorMachine = -1;
constexpr std::size_t kMachinesCounted = 1000000;  // keeps the count of places within an int

void append(std::vector<CandidateGroup>& groups, std::vector<CandidateGroup>& more) {
  std::move(more.begin(), more.end(), std::back_inserter(groups));
}

}  // namespace

Machine& CandidateGroup::machine(std::size_t position) const {
  if (single) return *single;
  for (std::size_t hole : excluded)
    if (hole <= position) ++position;
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

bool CandidateSearch::has_view_of_its_own(const Job& job, double now) {
  return now - job.preempted_at < c::kNominationTime || !job.active.empty();
}

bool CandidateSearch::known_not_to_fit(const Job& job, double now) const {
  if (has_view_of_its_own(job, now)) return false;
  auto known = not_fitting_.find(shape_of(job));
  return known != not_fitting_.end() && (!job.is_gang() || job.spec.tasks >= known->second);
}

void CandidateSearch::note_not_fitting(const Job& job, double now) {
  if (has_view_of_its_own(job, now)) return;
  auto [known, added] = not_fitting_.try_emplace(shape_of(job), job.spec.tasks);
  if (!added) known->second = std::min(known->second, job.spec.tasks);
}

/// Accelerators never wait behind work that does not need them: it takes no machine with more of them free.
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

/// The buckets of a pool that the job's tasks fit on. They are in falling order of accelerators and CPUs, so
/// those with too little are not even looked at; and no more than kBucketsExamined once there is room for all
/// that is placed at once, the emptiest.
void CandidateSearch::add_buckets(const Query& query, const CapacityIndex::Pool& pool,
                                  const CapacityIndex::CapacityBuckets& buckets,
                                  const PositionsByBucket& excluded, std::vector<CandidateGroup>& groups) {
  const Resources& need = query.job.spec.need;
  const double most_free_gpus = pool.size.gpus > 0 ? query.most_free_gpus : kNoLimit;
  const int enough = query.job.is_gang() ? query.job.spec.tasks : 1;
  int examined = 0;
  int places = 0;
  for (auto it = buckets.begin(); it != buckets.end();) {
    ++items_examined_;
    const auto& [free_capacity, bucket] = *it;
    if (need.gpus > bucket.free.gpus + kRounding) return;
    if (examined >= c::kBucketsExamined && places >= enough) return;
    if (need.cpus > bucket.free.cpus + kRounding) {  // nor do the next: on to those with fewer accelerators
      it = buckets.upper_bound({free_capacity[0], std::numeric_limits<long long>::min(), 0});
      continue;
    }
    ++it;
    if (!need.fits(bucket.free) || bucket.free.gpus > most_free_gpus) continue;
    CandidateGroup group;
    group.pool = &pool;
    group.bucket = &bucket;
    group.machine_count = bucket.machines.size();
    group.tasks_per_machine = need.times_in(bucket.free);
    if (auto positions = excluded.find(&bucket); positions != excluded.end()) {
      group.excluded = positions->second;
      std::sort(group.excluded.begin(), group.excluded.end());
      group.machine_count -= group.excluded.size();
    }
    if (group.machine_count == 0) continue;
    ++examined;
    places += static_cast<int>(std::min(group.machine_count, kMachinesCounted)) * group.tasks_per_machine;
    groups.push_back(std::move(group));
  }
}

void CandidateSearch::add_pool(const Query& query, const CapacityIndex::Pool& pool,
                               const PositionsByBucket& failed, Found& found) {
  const Job& job = query.job;
  // Work that machines are reserved for fills these first, so that others find the rest.
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
  group.tasks_per_machine = spec.need.times_in(machine.free);
  groups.push_back(std::move(group));
}

/// Ready machines on which the job has failed are suspect to it: they are taken out of their buckets.
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

std::vector<CandidateGroup> CandidateSearch::find(const Job& job, Suspects suspects, double now,
                                                  const std::string* only_zone) {
  if (job.spec.one_zone && !job.active.empty()) only_zone = &job.active.begin()->second.zone;
  const Query query{job, only_zone, most_free_gpus(job), reservations_.is_starving(job), now};
  Found found;
  const PositionsByBucket failed = add_failed_machines(query, found);
  for (const auto& [key, pool] : state_.capacity_index().pools()) {
    ++items_examined_;
    if (pool_open(query, pool)) add_pool(query, pool, failed, found);
  }
  add_nominated_machines(query, found);
  if (job.is_gang()) {
    // Whole machines for gangs: all fitting machines are candidates, those without accelerators first.
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

// Which waiting task goes to which machine: DESIGN's zone draw, sampled pick and arbitration.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>

#include "constants.h"
#include "scheduler.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;

namespace {

/// More accelerators than any machine has free.
constexpr double kNoLimit = std::numeric_limits<double>::infinity();

}  // namespace

using Stage = ActiveTask::Stage;

double Scheduler::utility(const Machine& m, double now) const {
  double age = std::max(0.0, now - m.last_heard);
  double s = std::max(0.0, m.slack() + age * m.slack_slope);
  double h = std::max(0.0, m.heat + age * m.heat_slope);
  return std::log2(1 + s) - c::kGamma * std::log2(1 + h) - c::kFetchWeight * m.fetch_s;
}

/// Of one bid on one machine, so a gang's size is that of a member (paper III-B: the mass of a task).
double Scheduler::weight(const Job& job) const {
  static constexpr double kPriorityWeight[] = {1, 4, 16, 64};
  double largest = 1;
  for (const auto& t : state_.catalog()) largest = std::max(largest, t.size.cpus);
  double size = std::max({job.spec.need.cpus / largest, job.spec.need.gpus, 1 / largest});
  return kPriorityWeight[static_cast<int>(job.priority)] * size *
         (job.indexed.guaranteed ? c::kGuaranteeBoost : 1);
}

Scheduler::Shape Scheduler::shape(const Job& job) const {
  const JobSpec& s = job.spec;
  return {s.need.cpus,
          s.need.gpus,
          s.need.memory_gb,
          s.one_zone,
          s.spread,
          s.spot,
          s.kind == JobKind::Gang,
          static_cast<int>(job.priority),
          s.zone.value_or(""),
          s.types.value_or(std::vector<std::string>{}),
          is_starving(job)};
}

bool Scheduler::known_not_to_fit(const Job& job, double now) const {
  // A job that room was made for sees machines that others do not; nor is one bound to a zone by its own
  // tasks like the rest.
  if (now - job.preempted_at < c::kNominationTime || !job.active.empty()) return false;
  auto it = not_fitting_.find(shape(job));
  return it != not_fitting_.end() && (job.spec.kind != JobKind::Gang || job.spec.tasks >= it->second);
}

void Scheduler::note_not_fitting(const Job& job, double now) {
  if (now - job.preempted_at < c::kNominationTime || !job.active.empty()) return;
  auto [it, fresh] = not_fitting_.try_emplace(shape(job), job.spec.tasks);
  if (!fresh) it->second = std::min(it->second, job.spec.tasks);
}

void Scheduler::note_freed(const std::string& zone, const Resources& need, double now) {
  Freed& f = freed_[zone];
  double keep = std::exp(-std::max(0.0, now - f.at) / c::kFreeingWindow);
  f.sum.cpus = keep * f.sum.cpus + need.cpus;
  f.sum.gpus = keep * f.sum.gpus + need.gpus;
  f.at = std::max(f.at, now);
}

/// A gang of many waits for as many places at once, and work that needs fewer takes each as it becomes free.
/// Once it is due, one zone is kept for it if the missing places will be free soon, at the rate at which the
/// zone's have been of late: where many tasks end each second that costs next to nothing, where few do it
/// would idle half a zone.
void Scheduler::hold_zone_for_gang(const Job& job, double now) {
  const JobSpec& spec = job.spec;
  if (spec.kind != JobKind::Gang || !spec.one_zone || !job.active.empty()) return;
  std::string best;
  int most = 0;
  for (const auto& [zone, room] : free_capacity_by_zone(spec, fitting(job, false, now), now))
    if (room.places > most && !held_zones_.count(zone)) best = zone, most = room.places;
  auto f = freed_.find(best);
  if (f == freed_.end()) return;
  double decay = std::exp(-std::max(0.0, now - f->second.at) / c::kFreeingWindow) / c::kFreeingWindow;
  bool by_gpus = spec.need.gpus > 0;
  double rate = decay * (by_gpus ? f->second.sum.gpus : f->second.sum.cpus);
  double missing = (spec.tasks - most) * (by_gpus ? spec.need.gpus : spec.need.cpus);
  if (missing <= rate * c::kZoneHoldLimit) held_zones_[best] = spec.id;
}

bool Scheduler::overdue(const Job& job, double now) const {
  return job.spec.kind != JobKind::Gang && job.spec.tasks >= c::kBeginTasks && job.active.empty() &&
         job.done == 0 && now - job.ready_at > c::kBeginShare * c::kBeginWithin;
}

Scheduler::StartAim Scheduler::start_aim(const Job& job, double now) const {
  StartAim out;
  auto aims = state_.config().start_within.find(job.spec.job_class);
  if (aims == state_.config().start_within.end() || !job.active.empty() || job.done > 0) return out;
  double waited = now - job.ready_at;
  for (double within : aims->second) out.missed += waited > within;
  double last = aims->second.back();
  out.due = waited > c::kDueShare * last && waited <= last;
  if (out.due) out.at = job.ready_at + last;
  return out;
}

/// The levels of a pool that the job's tasks fit on. They are in falling order of accelerators and CPUs, so
/// those with too little are not even looked at; and no more than kBucketsExamined once there is room for all
/// that is placed at once, the emptiest.
void Scheduler::level_slots(
    const Job& job, const CapacityIndex::Pool& pool, const CapacityIndex::CapacityBuckets& levels,
    const std::map<const CapacityIndex::CapacityBucket*, std::vector<std::size_t>>& failed, double most_gpus,
    std::vector<Slot>& out) {
  const Resources& need = job.spec.need;
  const int enough = job.spec.kind == JobKind::Gang ? job.spec.tasks : 1;
  int looked = 0, places = 0;
  for (auto it = levels.begin(); it != levels.end();) {
    ++steps_;
    const auto& [room, level] = *it;
    if (need.gpus > level.free.gpus + 1e-6 || (looked >= c::kBucketsExamined && places >= enough)) return;
    if (need.cpus > level.free.cpus + 1e-6) {  // nor do the next: on to those with fewer accelerators
      it = levels.upper_bound({room[0], std::numeric_limits<long long>::min(), 0});
      continue;
    }
    ++it;
    if (!need.fits(level.free) || level.free.gpus > most_gpus) continue;
    Slot slot{&pool, &level, nullptr, {}, level.machines.size(), need.times_in(level.free)};
    if (auto f = failed.find(&level); f != failed.end()) {
      slot.without = f->second;
      std::sort(slot.without.begin(), slot.without.end());
      slot.count -= slot.without.size();
    }
    if (slot.count == 0) continue;
    ++looked;
    places += static_cast<int>(std::min<std::size_t>(slot.count, 1000000)) * slot.times;
    out.push_back(std::move(slot));
  }
}

std::vector<Scheduler::Slot> Scheduler::fitting(const Job& job, bool include_suspect, double now,
                                                const std::string* zone) {
  const JobSpec& spec = job.spec;
  if (spec.one_zone && !job.active.empty()) zone = &job.active.begin()->second.zone;
  std::vector<Slot> in_reserved_tier, plain, with_gpus, suspect;
  const bool held = is_starving(job);
  // Accelerators never stall behind work that does not need them: it takes no machine with more of them free.
  double most_gpus = kNoLimit;
  if (spec.need.gpus <= 0 && accelerator_users_ && job.priority <= *accelerator_users_)
    most_gpus = accelerators_wanted_ ? -1
                                     : state_.capacity_index().free_gpus() -
                                           c::kAcceleratorReserve * state_.capacity_index().all_gpus();
  auto closed = [&](const std::string& z) {
    auto g = held_zones_.find(z);
    return (zone && z != *zone) || (g != held_zones_.end() && g->second != spec.id);
  };
  auto single = [&](Machine& m, std::vector<Slot>& out) {
    ++steps_;
    if (!allowed(spec, m) || closed(m.zone) || !spec.need.fits(m.free)) return;
    if (m.size.gpus > 0 && m.free.gpus > most_gpus) return;
    if (excluded_by_reservation(job, m.type, m.index_entry.pool->reservation_tier)) return;
    out.push_back({m.index_entry.pool, nullptr, &m, {}, 1, spec.need.times_in(m.free)});
  };
  std::map<const CapacityIndex::CapacityBucket*, std::vector<std::size_t>> failed;
  for (const auto& name : job.failed_on) {
    Machine* m = state_.machine(name);
    if (!m || m->index_entry.use != MachineCapacity::Use::Ready) continue;
    failed[m->index_entry.level].push_back(m->index_entry.position);
    single(*m, suspect);
  }
  for (const auto& [key, pool] : state_.capacity_index().pools()) {
    ++steps_;
    if (closed(pool.zone) || !spec.need.fits(pool.size) || !allowed(spec, pool.type, pool.zone, pool.spot) ||
        excluded_by_reservation(job, pool.type, pool.reservation_tier))
      continue;
    const bool gpus = spec.need.gpus <= 0 && pool.size.gpus > 0;
    // Work that machines are kept for fills these first, so that others find the rest.
    const bool first =
        held && pool.reservation_tier > 0 && pool.reservation_tier <= reserved_capacity_.reservation_tiers();
    std::vector<Slot>& out = first && spec.kind != JobKind::Gang ? in_reserved_tier
                             : gpus                              ? with_gpus
                                                                 : plain;
    const double most = pool.size.gpus > 0 ? most_gpus : kNoLimit;
    level_slots(job, pool, pool.ready, failed, most, out);
    level_slots(job, pool, pool.suspect, {}, most, suspect);
  }
  for (Machine* m : state_.capacity_index().kept_for(spec.id)) {
    bool gpus = spec.need.gpus <= 0 && m->size.gpus > 0;
    single(*m, gpus ? with_gpus : now < m->cordoned_until || job.failed_on.count(m->name) ? suspect : plain);
  }
  if (spec.kind == JobKind::Gang) {
    // Whole machines for gangs: all fitting machines are looked at, those without accelerators first.
    std::move(with_gpus.begin(), with_gpus.end(), std::back_inserter(plain));
    if (include_suspect) std::move(suspect.begin(), suspect.end(), std::back_inserter(plain));
    return plain;
  }
  if (!in_reserved_tier.empty()) return in_reserved_tier;
  // Work that needs no accelerator takes accelerator machines only when nothing else fits.
  if (!plain.empty()) return plain;
  if (!with_gpus.empty()) return with_gpus;
  return suspect;
}

std::map<std::string, Scheduler::ZoneCapacity> Scheduler::free_capacity_by_zone(
    const JobSpec& spec, const std::vector<Slot>& slots, double now) const {
  std::map<std::string, ZoneCapacity> zones;
  for (const auto& s : slots) {
    ZoneCapacity& z = zones[s.pool->zone];
    auto n = static_cast<double>(s.count);
    z.machines += n;
    z.places += static_cast<int>(n) * s.times;
    if (s.one) {
      double age = std::max(0.0, now - s.one->last_heard);
      z.slack += std::max(0.0, s.one->slack() + age * s.one->slack_slope);
      z.heat += std::max(0.0, s.one->heat + age * s.one->heat_slope);
      z.fetch_s = std::min(z.fetch_s, state_.fetch_time(spec, *s.one));
      continue;
    }
    double share = n / static_cast<double>(s.level->machines.size());
    z.slack += share * std::max(0.0, s.level->slack.at(now));
    z.heat += share * std::max(0.0, s.level->heat.at(now));
    const auto* t = state_.type(s.pool->type);
    double fetch = s.level->images.count(spec.image) ? 0
                   : t                               ? spec.image_gb / t->fetch_gb_per_s
                                                     : spec.image_gb;
    z.fetch_s = std::min(z.fetch_s, fetch);
  }
  return zones;
}

std::vector<std::string> Scheduler::draw_zones(const JobSpec& spec,
                                               const std::map<std::string, ZoneCapacity>& zones) {
  bool whole = spec.kind == JobKind::Gang && spec.one_zone;
  std::vector<std::pair<std::string, double>> odds;
  for (const auto& [name, z] : zones) {
    if (whole && z.places < spec.tasks) continue;
    double u =
        std::log2(1 + z.slack / z.machines) - c::kGamma * std::log2(1 + z.heat) - c::kFetchWeight * z.fetch_s;
    odds.push_back({name, std::exp2(u / c::kTau)});
  }
  std::vector<std::string> order;
  while (!odds.empty()) {
    double total = 0;
    for (auto& o : odds) total += o.second;
    double x = std::uniform_real_distribution<double>(0, total)(rng_);
    std::size_t i = 0;
    while (i + 1 < odds.size() && x >= odds[i].second) x -= odds[i++].second;
    order.push_back(odds[i].first);
    odds.erase(odds.begin() + static_cast<long>(i));
  }
  return order;
}

std::vector<std::size_t> Scheduler::sample(std::size_t all, std::size_t most) {
  std::vector<std::size_t> out;
  if (all <= most) {
    out.resize(all);
    std::iota(out.begin(), out.end(), 0);
    return out;
  }
  // Floyd's: each set of `most` is as likely as any other, without a list of all.
  std::set<std::size_t> taken;
  for (std::size_t j = all - most; j < all; ++j) {
    std::size_t t = std::uniform_int_distribution<std::size_t>(0, j)(rng_);
    out.push_back(taken.insert(t).second ? t : j);
    taken.insert(out.back());
  }
  return out;
}

Machine* Scheduler::pick(const JobSpec& spec, const std::vector<Slot>& slots, double now) {
  std::normal_distribution<double> noise(0, c::kScoreNoise);
  Machine* best = nullptr;
  double best_score = -std::numeric_limits<double>::infinity();
  std::size_t all = 0;
  for (const auto& s : slots) all += s.count;
  for (std::size_t k : sample(all, c::kSampleSize)) {
    ++steps_;
    const Slot* s = slots.data();
    for (; k >= s->count; ++s) k -= s->count;
    for (std::size_t hole : s->without) k += hole <= k;
    Machine* m = s->one ? s->one : s->level->machines[k];
    m->fetch_s = state_.fetch_time(spec, *m);
    double score = utility(*m, now) + noise(rng_);
    if (spec.need.gpus <= 0 && m->size.gpus > 0) score -= c::kAcceleratorPenalty;
    if (score > best_score) best = m, best_score = score;
  }
  return best;
}

bool Scheduler::place_gang(Job& job, bool include_suspect, double now) {
  const JobSpec& spec = job.spec;
  if (!state_.within_limit(spec.team, spec.at_once())) {
    job.why = "waiting: the team's limit leaves no room for the whole gang";
    return false;
  }
  auto no_room = [&] {
    job.why = "waiting: no " + std::string(spec.one_zone ? "zone has" : "zones have") +
              " room for all its tasks at once";
    return false;
  };
  if (!include_suspect && known_not_to_fit(job, now)) return no_room();
  const auto zones = free_capacity_by_zone(spec, fitting(job, include_suspect, now), now);
  const int most = spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;  // in one zone
  auto order = draw_zones(spec, zones);
  // Its tasks are alike, so a zone takes as many as it has places, whichever machine comes first.
  int places = 0;
  for (const auto& zone : order)
    places = std::max(spec.one_zone ? places : 0,
                      (spec.one_zone ? 0 : places) + std::min(most, zones.at(zone).places));
  if (places < spec.tasks) {
    // Machines on which something failed lately are better than waiting for ever.
    if (!include_suspect) return place_gang(job, true, now);
    note_not_fitting(job, now);
    return no_room();
  }
  const auto attempt = state_.next_number();
  double fetch = 0;
  int next = 0;
  for (const auto& zone : order)
    for (int here = 0; here < most && next < spec.tasks; ++here) {
      auto slots = fitting(job, include_suspect, now, &zone);
      Machine* m = slots.empty() ? nullptr : pick(spec, slots, now);
      if (!m) break;
      fetch = std::max(fetch, m->fetch_s);
      assign(job, next++, *m, attempt, now);
    }
  if (next < spec.tasks) {  // all or none
    abort_gang(job, now);
    return no_room();
  }
  if (state_.config().details)
    details_.push_back(
        fmt::format("job {} ({}): {} tasks placed in {} after {:.1f} s, slowest fetch {:.1f} s", spec.id,
                    spec.job_class, spec.tasks, job.active.begin()->second.zone, now - job.ready_at, fetch));
  return true;
}

int Scheduler::place_tasks(Job& job, int budget, double now) {
  const JobSpec& spec = job.spec;
  int placed = 0;
  std::map<std::string, int> in_zone;
  for (const auto& [i, a] : job.active) ++in_zone[a.zone];
  const auto attempt =
      state_.next_number();  // of all that this call places; a task is placed at most once in it
  // What fails by itself shows it with one task as well as with all.
  if (job.fails_by_itself) budget = job.active.empty() ? 1 : 0;
  while (placed < budget && job.queued > 0) {
    if (!state_.within_limit(spec.team, spec.need)) {
      job.why = "waiting: the team is at its limit";
      break;
    }
    std::vector<Slot> slots;
    if (!known_not_to_fit(job, now)) slots = fitting(job, true, now);
    if (spec.spread)
      std::erase_if(slots, [&](const Slot& s) { return in_zone[s.pool->zone] + 1 > (spec.tasks + 1) / 2; });
    if (slots.empty()) {
      note_not_fitting(job, now);
      job.why = "waiting: no machine it may use has room";
      break;
    }
    auto zone = draw_zones(spec, free_capacity_by_zone(spec, slots, now)).front();
    std::erase_if(slots, [&](const Slot& s) { return s.pool->zone != zone; });
    Machine* m = pick(spec, slots, now);
    if (!m) break;
    while (job.cursor < spec.tasks && job.phase[static_cast<std::size_t>(job.cursor)] != TaskPhase::Queued)
      ++job.cursor;
    if (job.cursor >= spec.tasks) break;
    assign(job, job.cursor, *m, attempt, now);
    ++in_zone[m->zone];
    ++placed;
  }
  return placed;
}

bool Scheduler::excluded_by_reservation(const Job& job, const std::string& type, int reservation_tier) const {
  return reservation_tier > 0 && reservation_tier <= reserved_capacity_.reservation_tiers() &&
         reserved_types_.count(type) && !is_starving(job);
}

void Scheduler::update_reserved_capacity(const std::vector<const Job*>& order, double now) {
  Resources ahead;  // processor and accelerator seconds
  const Resources all{std::max(1.0, state_.capacity_index().all_cpus()),
                      std::max(1.0, state_.capacity_index().all_gpus()), 0};
  auto has = [&](const Resources& use) { return std::max(use.cpus / all.cpus, use.gpus / all.gpus); };
  auto run_s = [](const JobSpec& s) { return s.estimate_s > 0 ? s.estimate_s : c::kDefaultJobEstimate; };
  std::vector<ReservedCapacity::Waiting> waiting;
  for (const Job* job : order) {
    const JobSpec& s = job->spec;
    // What its own team's limit holds back waits for no other; what fails is not kept from being served.
    if (state_.within_limit(s.team, s.at_once()) && !job->fails_by_itself) {
      double wait = ahead.cpus / all.cpus;
      if (s.need.gpus > 0) wait = std::max(wait, ahead.gpus / all.gpus);
      const double waited = now - job->ready_at;
      waiting.push_back({&s.job_class, &s.team, waited, waited + wait + run_s(s),
                         has(state_.class_use(s.job_class)), has(state_.team_use(s.team))});
    }
    double seconds = job->queued * run_s(s);
    ahead += {seconds * s.need.cpus, seconds * s.need.gpus, 0};
  }
  reserved_capacity_.look(waiting, now);
  if (auto held = reserved_capacity_.starving(); held != logged_starving_) {
    logged_starving_ = std::move(held);
    std::string all;
    for (const auto& name : logged_starving_) all += (all.empty() ? "" : ", ") + name;
    state_.note(all.empty() ? "no class or team is in arrears any more: no machines are kept"
                            : "less than half would be served of " + all + ": machines are kept for them");
  }
  reserved_types_.clear();
  if (reserved_capacity_.reservation_tiers() == 0) return;
  for (const Job* job : order) {
    if (!is_starving(*job)) continue;
    const JobSpec& s = job->spec;
    bool plain = false;  // where it fits without accelerators it needs none
    auto usable_type = [&](const MachineType& t) { return s.allows_type(t.name) && s.need.fits(t.size); };
    for (const auto& t : state_.catalog()) plain |= usable_type(t) && t.size.gpus <= 0;
    for (const auto& t : state_.catalog())
      if (usable_type(t) && !(plain && t.size.gpus > 0)) reserved_types_.insert(t.name);
  }
}

void Scheduler::schedule(double now) {
  state_.cycle_begins();
  not_fitting_.clear();
  held_zones_.clear();
  for (Machine* m : state_.due_for_reindex(now)) state_.reindex(*m, now);
  keep_promises(now);
  auto late = [this](const Job& job, double at) {
    auto aim = state_.config().finish_within.find(job.spec.job_class);
    return aim != state_.config().finish_within.end() ? at - job.ready_at > aim->second : at > job.due_at;
  };
  auto left = [](const Job& job) { return job.queued * std::max(1.0, job.spec.estimate_s); };
  struct Bid {
    double weight;
    StartAim aim;
    bool overdue;  // of an array that has waited long nothing has begun
    bool late;
    double left;
    Job* job;
  };
  std::vector<Bid> order;
  for (Job* job : state_.job_index().waiting()) {
    ++steps_;
    if (now < job->not_before) continue;
    bool is_late = late(*job, now);
    order.push_back(
        {weight(*job), start_aim(*job, now), overdue(*job, now), is_late, is_late ? 0 : left(*job), job});
  }
  // The highest priority times size wins a machine: bids are settled in that order. Of equals, first those
  // that are about to miss a start aim, the earliest first; then those that have missed the fewest and can
  // still end in time, and of these the one with the least left to start: that way the fewest jobs are late
  // when there is too little room, and none waits for ever behind smaller ones.
  std::sort(order.begin(), order.end(), [](const Bid& a, const Bid& b) {
    if (a.weight != b.weight) return a.weight > b.weight;
    if (a.aim.due != b.aim.due) return a.aim.due;
    if (a.aim.due && a.aim.at != b.aim.at) return a.aim.at < b.aim.at;
    if (a.overdue != b.overdue) return a.overdue;
    if (a.overdue) return a.job->ready_at < b.job->ready_at;
    return std::tie(a.aim.missed, a.late, a.left, a.job->order) <
           std::tie(b.aim.missed, b.late, b.left, b.job->order);
  });
  std::vector<const Job*> bids;
  for (const Bid& bid : order) bids.push_back(bid.job);
  update_reserved_capacity(bids, now);
  accelerators_wanted_ = false;
  accelerator_users_ = state_.job_index().accelerator_users();
  for (const Bid& bid : order)
    accelerators_wanted_ |=
        bid.job->spec.need.gpus > 0 && state_.within_limit(bid.job->spec.team, bid.job->spec.need);
  int budget = c::kBidsPerCycle, preemptors = 0;
  bool claimed = false;
  // Looking for work to stop is dear; it is left out where nothing of lower priority runs.
  const Priority lowest = state_.job_index().lowest_stoppable().value_or(Priority::Production);
  std::map<std::string, Priority> held;  // teams whose limit keeps a more urgent job waiting
  for (const Bid& bid : order) {
    Job* job = bid.job;
    if (state_.within_limit(job->spec.team, job->spec.at_once())) continue;
    auto [h, fresh] = held.try_emplace(job->spec.team, job->priority);
    if (!fresh) h->second = std::max(h->second, job->priority);
  }
  for (const Bid& bid : order) {
    Job* job = bid.job;
    if (budget <= 0) {
      state_.request_cycle();
      break;
    }
    const JobSpec& spec = job->spec;
    // Guards against work that waits for ever under its team's limit: what is more urgent may never fit in
    // what is left, or may follow without end, and can stop it all the same. One task at a time goes on.
    const auto h = held.find(spec.team);
    const bool behind = h != held.end() && job->priority < h->second;
    if (behind && (now - job->ready_at < c::kHeldPatience || !job->active.empty())) {
      job->why = "waiting: room under the team's limit is kept for more urgent work";
      continue;
    }
    bool gang = spec.kind == JobKind::Gang;
    if (gang && !job->active.empty()) continue;
    if (gang && place_gang(*job, false, now))
      budget -= spec.tasks;
    else if (gang && bid.aim.due)
      hold_zone_for_gang(*job, now);
    else if (!gang)
      budget -= place_tasks(*job, bid.overdue || behind ? 1 : budget, now);
    // A guarantee is claimed once waiting alone would miss its aim; one claim a pass bounds the pass's time.
    if (job->queued > 0 && job->guarantee_admission == Job::GuaranteeAdmission::Granted && !claimed &&
        now - job->ready_at >= c::kClaimAfter * state_.config().guarantee_within &&
        now - job->reclaimed_at >= state_.config().gang_peer_s + c::kNominationTime) {
      claimed = true;
      job->reclaimed_at = now;
      if (reclaim(*job, now)) continue;
    }
    if (job->queued == 0 || job->priority <= lowest) continue;
    if (!state_.within_limit(spec.team, spec.at_once())) {
      auto [h, fresh] = held.try_emplace(spec.team, job->priority);
      if (!fresh) h->second = std::max(h->second, job->priority);
    }
    // Guards against stopping ever more: what was stopped for a job gets the time to end before more is.
    if (now - job->preempted_at < c::kNominationTime) continue;
    if (preemptors++ < c::kPreemptorsPerCycle && preempt_for(*job, now)) job->preempted_at = now;
  }
}

}  // namespace corkmux

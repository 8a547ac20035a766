// Which waiting task goes to which machine: DESIGN's zone draw, sampled pick and arbitration.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

#include "cluster.h"
#include "constants.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

bool Cluster::usable(const Machine& m, double now) const {
  return m.up && !m.doomed && !m.sick && m.gone_at < 0 && m.size.cpus > 0 &&
         m.token_seen >= (term_ << c::kTermShift) && m.token_seen >= m.token && now >= m.full_until &&
         now - m.last_heard < c::kSilentReports * config_.report_s;
}

bool Cluster::allowed(const JobSpec& spec, const Machine& m) const {
  if (!spec.allows_type(m.type)) return false;
  if (spec.zone && *spec.zone != m.zone) return false;
  return spec.spot || !m.spot;
}

double Cluster::fetch_time(const JobSpec& spec, const Machine& m) const {
  if (std::find(m.images.begin(), m.images.end(), spec.image) != m.images.end()) return 0;
  const auto* t = type(m.type);
  return t ? spec.image_gb / t->fetch_gb_per_s : spec.image_gb;
}

void Cluster::note_image(Machine& m, const JobSpec& spec) {
  if (!m.images.empty() && m.images.front() == spec.image) return;
  std::erase(m.images, spec.image);
  m.images.push_front(spec.image);
  m.image_gb[spec.image] = spec.image_gb;
  const auto* t = type(m.type);
  double total = 0;
  for (std::size_t i = 0; i < m.images.size(); ++i) {
    total += m.image_gb[m.images[i]];
    if (t && total > t->cache_gb && i > 0) {
      for (std::size_t k = i; k < m.images.size(); ++k) m.image_gb.erase(m.images[k]);
      m.images.resize(i);
      break;
    }
  }
}

double Cluster::slack(const Machine& m, const Resources& free) const {
  double s = 1;
  if (m.size.cpus > 0) s = std::min(s, free.cpus / m.size.cpus);
  if (m.size.gpus > 0) s = std::min(s, free.gpus / m.size.gpus);
  if (m.size.memory_gb > 0) s = std::min(s, free.memory_gb / m.size.memory_gb);
  return std::max(0.0, s);
}

double Cluster::utility(const Machine& m, const Resources& free, int extra_heat, double now) const {
  double age = std::max(0.0, now - m.last_heard);
  double s = std::max(0.0, slack(m, free) + age * m.slack_slope);
  double h = std::max(0.0, m.heat + extra_heat + age * m.heat_slope);
  return std::log2(1 + s) - c::kGamma * std::log2(1 + h) - c::kFetchWeight * m.fetch_s;
}

bool Cluster::within_limit(const std::string& name, const Resources& more) const {
  auto t = teams_.find(name);
  if (t == teams_.end()) return false;
  Resources use = team_use(name);
  use += more;
  return t->second.allows(use);
}

std::unordered_set<std::string> Cluster::guaranteed_jobs() const {
  std::vector<const Job*> order;
  for (const auto& [id, job] : jobs_)
    if (job.ready()) order.push_back(&job);
  std::sort(order.begin(), order.end(), [](auto* a, auto* b) { return a->order < b->order; });
  std::map<std::string, Resources> sum;
  std::unordered_set<std::string> out;
  for (const auto* job : order) {
    auto t = teams_.find(job->spec.team);
    if (t == teams_.end()) continue;
    Resources& s = sum[job->spec.team];
    s.cpus += job->spec.need.cpus * job->spec.tasks;
    s.gpus += job->spec.need.gpus * job->spec.tasks;
    bool gpus_metered = t->second.gpus > 0 || t->second.gpus_max > 0;
    if (s.cpus <= t->second.cpus && (!gpus_metered || s.gpus <= t->second.gpus)) out.insert(job->spec.id);
  }
  return out;
}

/// Of one bid on one machine, so a gang's size is that of a member (paper III-B: the mass of a task).
double Cluster::weight(const Job& job, bool guaranteed) const {
  static constexpr double kPriorityWeight[] = {1, 4, 16, 64};
  double largest = 1;
  for (const auto& t : types_) largest = std::max(largest, t.size.cpus);
  double size = std::max({job.spec.need.cpus / largest, job.spec.need.gpus, 1 / largest});
  return kPriorityWeight[static_cast<int>(job.priority)] * size * (guaranteed ? c::kGuaranteeBoost : 1);
}

Cluster::Shape Cluster::shape(const Job& job) {
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
          s.types.value_or(std::vector<std::string>{})};
}

bool Cluster::known_not_to_fit(const Job& job, double now) const {
  // A job that room was made for sees machines that others do not; nor is one bound to a zone by its own
  // tasks like the rest.
  if (now - job.room_made_at < c::kKeepRoom || !job.active.empty()) return false;
  auto it = not_fitting_.find(shape(job));
  return it != not_fitting_.end() && (job.spec.kind != JobKind::Gang || job.spec.tasks >= it->second);
}

void Cluster::note_not_fitting(const Job& job, double now) {
  if (now - job.room_made_at < c::kKeepRoom || !job.active.empty()) return;
  auto [it, fresh] = not_fitting_.try_emplace(shape(job), job.spec.tasks);
  if (!fresh) it->second = std::min(it->second, job.spec.tasks);
}

void Cluster::note_freed(const std::string& zone, const Resources& need, double now) {
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
void Cluster::gather(const Job& job, double now) {
  const JobSpec& spec = job.spec;
  if (spec.kind != JobKind::Gang || !spec.one_zone || !job.active.empty()) return;
  std::map<std::string, int> places;
  for (const auto* m : fitting(job, false, now)) places[m->zone] += spec.need.times_in(m->free);
  std::string best;
  int most = 0;
  for (const auto& [zone, n] : places)
    if (n > most && !gathering_.count(zone)) best = zone, most = n;
  auto f = freed_.find(best);
  if (f == freed_.end()) return;
  double decay = std::exp(-std::max(0.0, now - f->second.at) / c::kFreeingWindow) / c::kFreeingWindow;
  bool by_gpus = spec.need.gpus > 0;
  double rate = decay * (by_gpus ? f->second.sum.gpus : f->second.sum.cpus);
  double missing = (spec.tasks - most) * (by_gpus ? spec.need.gpus : spec.need.cpus);
  if (missing <= rate * c::kGatherPatience) gathering_[best] = spec.id;
}

Cluster::StartAim Cluster::start_aim(const Job& job, double now) const {
  StartAim out;
  auto aims = config_.start_within.find(job.spec.job_class);
  if (aims == config_.start_within.end() || !job.active.empty() || job.done > 0) return out;
  double waited = now - job.ready_at;
  for (double within : aims->second) out.missed += waited > within;
  double last = aims->second.back();
  out.due = waited > c::kDueShare * last && waited <= last;
  if (out.due) out.at = job.ready_at + last;
  return out;
}

std::vector<Machine*> Cluster::fitting(const Job& job, bool doubtful_too, double now) {
  const JobSpec& spec = job.spec;
  std::string only_zone;
  if (spec.one_zone && !job.active.empty()) only_zone = job.active.begin()->second.zone;
  std::vector<Machine*> plain, with_gpus, doubtful;
  double free_gpus = 0, busy_gpus = 0;
  for (auto& [name, m] : machines_) {
    ++steps_;
    if (!usable(m, now)) continue;
    if (m.size.gpus > 0) free_gpus += m.free.gpus, busy_gpus += m.size.gpus - m.free.gpus;
    if (!allowed(spec, m) || !spec.need.fits(m.free)) continue;
    if (now < m.room_until && m.room_for != spec.id) continue;
    if (auto g = gathering_.find(m.zone); g != gathering_.end() && g->second != spec.id) continue;
    if (!only_zone.empty() && m.zone != only_zone) continue;
    m.fetch_s = fetch_time(spec, m);
    if (spec.need.gpus <= 0 && m.size.gpus > 0)
      with_gpus.push_back(&m);
    else if (now < m.suspect_until || job.failed_on.count(name))
      doubtful.push_back(&m);
    else
      plain.push_back(&m);
  }
  // Accelerators never stall behind work that does not need them.
  double reserve = c::kAcceleratorReserve * (free_gpus + busy_gpus);
  if (accelerator_users_ && job.priority <= *accelerator_users_)
    std::erase_if(with_gpus, [&](const Machine* m) {
      return accelerators_wanted_ || free_gpus - m->free.gpus < reserve;
    });
  if (spec.kind == JobKind::Gang) {
    // Whole machines for gangs: all fitting machines are looked at, those without accelerators first.
    plain.insert(plain.end(), with_gpus.begin(), with_gpus.end());
    if (doubtful_too) plain.insert(plain.end(), doubtful.begin(), doubtful.end());
    return plain;
  }
  // Work that needs no accelerator takes accelerator machines only when nothing else fits.
  if (!plain.empty()) return plain;
  if (!with_gpus.empty()) return with_gpus;
  return doubtful;
}

std::vector<std::string> Cluster::draw_zones(const JobSpec& spec, const std::vector<Machine*>& fitting,
                                             double now) {
  struct Sum {
    double slack = 0, heat = 0, fetch = 1e9;
    int n = 0, places = 0;
  };
  std::map<std::string, Sum> zones;
  for (const auto* m : fitting) {
    auto& z = zones[m->zone];
    double age = std::max(0.0, now - m->last_heard);
    z.slack += std::max(0.0, slack(*m, m->free) + age * m->slack_slope);
    z.heat += std::max(0.0, m->heat + age * m->heat_slope);
    z.fetch = std::min(z.fetch, m->fetch_s);
    z.places += spec.need.times_in(m->free);
    ++z.n;
  }
  bool whole = spec.kind == JobKind::Gang && spec.one_zone;
  std::vector<std::pair<std::string, double>> odds;
  for (const auto& [name, z] : zones) {
    if (whole && z.places < spec.tasks) continue;
    double u = std::log2(1 + z.slack / z.n) - c::kGamma * std::log2(1 + z.heat) - c::kFetchWeight * z.fetch;
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

Machine* Cluster::pick(const JobSpec& spec, std::vector<Machine*>& candidates,
                       const std::unordered_map<Machine*, int>& planned, double now) {
  std::normal_distribution<double> noise(0, c::kNoise);
  Machine* best = nullptr;
  double best_score = -1e18;
  std::size_t sample = std::min<std::size_t>(candidates.size(), c::kSample);
  for (std::size_t i = 0; i < sample; ++i) {
    std::size_t k = std::uniform_int_distribution<std::size_t>(i, candidates.size() - 1)(rng_);
    std::swap(candidates[i], candidates[k]);
    Machine* m = candidates[i];
    auto p = planned.find(m);
    int n = p == planned.end() ? 0 : p->second;
    Resources free = m->free;
    for (int j = 0; j < n; ++j) free -= spec.need;
    if (!spec.need.fits(free)) continue;
    double score = utility(*m, free, n, now) + noise(rng_);
    if (spec.need.gpus <= 0 && m->size.gpus > 0) score -= c::kAcceleratorPenalty;
    if (score > best_score) best = m, best_score = score;
  }
  return best;
}

bool Cluster::place_gang(Job& job, bool doubtful_too, double now) {
  const JobSpec& spec = job.spec;
  if (!within_limit(spec.team, spec.at_once())) {
    job.why = "waiting: the team's limit leaves no room for the whole gang";
    return false;
  }
  auto no_room = [&] {
    job.why = "waiting: no " + std::string(spec.one_zone ? "zone has" : "zones have") +
              " room for all its tasks at once";
    return false;
  };
  if (!doubtful_too && known_not_to_fit(job, now)) return no_room();
  auto all = fitting(job, doubtful_too, now);
  int half = (spec.tasks + 1) / 2;
  std::unordered_map<Machine*, int> planned;
  std::vector<Machine*> places;
  auto try_in = [&](std::vector<Machine*> candidates, int most) {
    int placed = 0;
    while (placed < most && static_cast<int>(places.size()) < spec.tasks) {
      std::erase_if(candidates, [&](Machine* m) {
        Resources free = m->free;
        auto p = planned.find(m);
        for (int j = 0; j < (p == planned.end() ? 0 : p->second); ++j) free -= spec.need;
        return !spec.need.fits(free);
      });
      if (candidates.empty()) break;
      Machine* m = pick(spec, candidates, planned, now);
      if (!m) break;
      ++planned[m];
      places.push_back(m);
      ++placed;
    }
  };
  for (const auto& zone : draw_zones(spec, all, now)) {
    std::vector<Machine*> here;
    for (auto* m : all)
      if (m->zone == zone) here.push_back(m);
    if (spec.one_zone) places.clear(), planned.clear();
    try_in(here, spec.spread ? half : spec.tasks);
    if (static_cast<int>(places.size()) == spec.tasks) break;
  }
  if (static_cast<int>(places.size()) < spec.tasks) {
    // Machines on which something failed lately are better than waiting for ever.
    if (!doubtful_too) return place_gang(job, true, now);
    note_not_fitting(job, now);
    return no_room();
  }
  if (config_.details) {
    double fetch = 0;
    for (const auto* m : places) fetch = std::max(fetch, m->fetch_s);
    details_.push_back(
        fmt::format("job {} ({}): {} tasks placed in {} after {:.1f} s, slowest fetch {:.1f} s", spec.id,
                    spec.job_class, spec.tasks, places.front()->zone, now - job.ready_at, fetch));
  }
  auto attempt = next_number();
  for (int i = 0; i < spec.tasks; ++i) assign(job, i, *places[static_cast<std::size_t>(i)], attempt, now);
  return true;
}

int Cluster::place_tasks(Job& job, int budget, double now) {
  const JobSpec& spec = job.spec;
  int placed = 0;
  std::map<std::string, int> in_zone;
  for (const auto& [i, a] : job.active) ++in_zone[a.zone];
  // The machines are looked through once; after that only the one just used has changed.
  std::vector<Machine*> all;
  bool look = true;
  const auto attempt = next_number();  // of all that this call places; a task is placed at most once in it
  while (placed < budget && job.queued > 0) {
    if (!within_limit(spec.team, spec.need)) {
      job.why = "waiting: the team is at its limit";
      break;
    }
    bool none = known_not_to_fit(job, now);
    if (look && !none) all = fitting(job, true, now);
    look = false;
    auto candidates = none ? std::vector<Machine*>{} : all;
    if (spec.spread)
      std::erase_if(candidates, [&](Machine* m) { return in_zone[m->zone] + 1 > (spec.tasks + 1) / 2; });
    if (candidates.empty()) {
      note_not_fitting(job, now);
      job.why = "waiting: no machine it may use has room";
      break;
    }
    auto zone = draw_zones(spec, candidates, now).front();
    std::erase_if(candidates, [&](Machine* m) { return m->zone != zone; });
    Machine* m = pick(spec, candidates, {}, now);
    if (!m) break;
    while (job.cursor < spec.tasks && job.phase[static_cast<std::size_t>(job.cursor)] != TaskPhase::Queued)
      ++job.cursor;
    if (job.cursor >= spec.tasks) break;
    assign(job, job.cursor, *m, attempt, now);
    ++in_zone[m->zone];
    ++placed;
    if (!spec.need.fits(m->free)) std::erase(all, m);
    // One zone from the first task on, the next kind of machine when one is used up, accelerators kept free.
    look = all.empty() || (spec.one_zone && placed == 1) || (spec.need.gpus <= 0 && m->size.gpus > 0);
  }
  return placed;
}

void Cluster::plan(double now) {
  want_plan_ = false;
  not_fitting_.clear();
  gathering_.clear();
  auto guaranteed = guaranteed_jobs();
  keep_promises(guaranteed, now);
  auto late = [this](const Job& job, double at) {
    auto aim = config_.finish_within.find(job.spec.job_class);
    return aim != config_.finish_within.end() ? at - job.ready_at > aim->second : at > job.due_at;
  };
  auto left = [](const Job& job) { return job.queued * std::max(1.0, job.spec.estimate_s); };
  struct Bid {
    double weight;
    StartAim aim;
    bool late;
    double left;
    Job* job;
  };
  std::vector<Bid> order;
  for (auto& [id, job] : jobs_) {
    if (job.queued <= 0 || !job.ready() || now < job.not_before) continue;
    bool is_late = late(job, now);
    order.push_back(
        {weight(job, guaranteed.count(id) > 0), start_aim(job, now), is_late, is_late ? 0 : left(job), &job});
  }
  // The highest priority times size wins a machine: bids are settled in that order. Of equals, first those
  // that are about to miss a start aim, the earliest first; then those that have missed the fewest and can
  // still end in time, and of these the one with the least left to start: that way the fewest jobs are late
  // when there is too little room, and none waits for ever behind smaller ones.
  std::sort(order.begin(), order.end(), [](const Bid& a, const Bid& b) {
    if (a.weight != b.weight) return a.weight > b.weight;
    if (a.aim.due != b.aim.due) return a.aim.due;
    if (a.aim.due && a.aim.at != b.aim.at) return a.aim.at < b.aim.at;
    return std::tie(a.aim.missed, a.late, a.left, a.job->order) <
           std::tie(b.aim.missed, b.late, b.left, b.job->order);
  });
  accelerators_wanted_ = false;
  accelerator_users_.reset();
  for (const auto& [id, job] : jobs_)
    if (job.spec.need.gpus > 0 && job.ready())
      accelerator_users_ = std::max(job.priority, accelerator_users_.value_or(job.priority));
  for (const Bid& bid : order)
    accelerators_wanted_ |=
        bid.job->spec.need.gpus > 0 && within_limit(bid.job->spec.team, bid.job->spec.need);
  int budget = c::kPassBids, preemptors = 0;
  bool claimed = false;
  // Looking for work to stop is dear; it is left out where nothing of lower priority runs.
  Priority lowest = Priority::Production;
  for (const auto& [id, job] : jobs_)
    if (!job.active.empty() && job.spec.kind != JobKind::Gang) lowest = std::min(lowest, job.priority);
  std::map<std::string, Priority> held;  // teams whose limit keeps a more urgent job waiting
  for (const Bid& bid : order) {
    Job* job = bid.job;
    if (within_limit(job->spec.team, job->spec.at_once())) continue;
    auto [h, fresh] = held.try_emplace(job->spec.team, job->priority);
    if (!fresh) h->second = std::max(h->second, job->priority);
  }
  for (const Bid& bid : order) {
    Job* job = bid.job;
    if (budget <= 0) {
      want_plan_ = true;
      break;
    }
    const JobSpec& spec = job->spec;
    if (auto h = held.find(spec.team); h != held.end() && job->priority < h->second) {
      job->why = "waiting: room under the team's limit is kept for more urgent work";
      continue;
    }
    bool gang = spec.kind == JobKind::Gang;
    if (gang && !job->active.empty()) continue;
    if (gang && place_gang(*job, false, now))
      budget -= spec.tasks;
    else if (gang && bid.aim.due)
      gather(*job, now);
    else if (!gang)
      budget -= place_tasks(*job, budget, now);
    // A guarantee is claimed once waiting alone would miss its aim; one claim a pass bounds the pass's time.
    if (job->queued > 0 && job->promise == Job::Promise::Given && !claimed &&
        now - job->ready_at >= c::kClaimAfter * config_.guarantee_within &&
        now - job->reclaimed_at >= config_.gang_peer_s + c::kKeepRoom) {
      claimed = true;
      job->reclaimed_at = now;
      if (reclaim(*job, guaranteed, now)) continue;
    }
    if (job->queued == 0 || job->priority <= lowest) continue;
    if (!within_limit(spec.team, spec.at_once())) {
      auto [h, fresh] = held.try_emplace(spec.team, job->priority);
      if (!fresh) h->second = std::max(h->second, job->priority);
    }
    // Guards against stopping ever more: what was stopped for a job gets the time to end before more is.
    if (now - job->room_made_at < c::kKeepRoom) continue;
    if (preemptors++ < c::kPreemptorsPerPass && make_room(*job, guaranteed, now)) job->room_made_at = now;
  }
}

}  // namespace corkmux

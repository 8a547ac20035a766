// What is stopped to make room for more urgent work.
#include <algorithm>
#include <cmath>
#include <optional>
#include <queue>

#include "cluster.h"
#include "constants.h"
#include "reclaim.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

/// Saving takes time that the urgent work waits; where a stop loses no more than saving costs, it is not
/// asked for.
bool Cluster::saves_when_stopped(const JobSpec& spec) const {
  return spec.checkpoint_s > 0 && spec.checkpoint_s / 2 > c::kSaveWorth * spec.save_s;
}

void Cluster::preempt(const TaskKey& key, const std::string& why) {
  Job& job = jobs_.at(key.first);
  bool save = saves_when_stopped(job.spec);
  job.why = why;
  if (job.spec.kind == JobKind::Gang && save) job.draining = true;
  if (job.spec.kind == JobKind::Gang)
    for (auto& [i, a] : job.active) stop_task(job, i, save ? job.spec.save_s + c::kCancelReserve : 0);
  else
    stop_task(job, key.second, save ? job.spec.save_s + c::kCancelReserve : 0);
}

/// Stops the least work of lower priority that lets the job start: of its own team where the team's limit is
/// what it waits for, else on machines. What is already stopping counts as free, so nothing is stopped twice
/// over. One walk over machines and their tasks, then a heap of machines by how much has to be stopped on
/// each.
bool Cluster::make_room(Job& job, const std::unordered_set<std::string>& guaranteed, double now) {
  const JobSpec& spec = job.spec;
  auto team = teams_.find(spec.team);
  if (team == teams_.end()) return false;
  const int tasks = spec.kind == JobKind::Gang ? spec.tasks : 1;
  struct Victim {
    TaskKey key;
    Resources need;
    double cost;
    bool same_team;
  };
  struct Place {
    Machine* machine;
    Resources after;  // free once everything that is stopping has stopped
    std::vector<Victim> victims;
    std::size_t stopped = 0;  // of the victims, from the front
  };
  // A one-zone job is tried zone by zone, any other in one group.
  std::map<std::string, std::vector<Place>> groups;
  Resources use = team_use(spec.team);
  std::vector<Victim> own;  // what may be stopped of the same team, wherever it is
  const bool guarded = !guaranteed.count(spec.id);
  const std::string* only_zone =
      spec.one_zone && !job.active.empty() ? &job.active.begin()->second.zone : nullptr;
  for (auto& [name, m] : machines_) {
    bool open = usable(m, now) && (now >= m.room_until || m.room_for == spec.id) && allowed(spec, m) &&
                (!only_zone || *only_zone == m.zone);
    Place place{&m, m.free, {}};
    for (const auto& key : m.tasks) {
      ++steps_;
      const Job& other = jobs_.at(key.first);
      const ActiveTask& a = other.active.at(key.second);
      bool same = other.spec.team == spec.team;
      if (a.stop) {
        place.after += other.spec.need;
        if (same) use -= other.spec.need;
        continue;
      }
      // Guards against two jobs that take turns: what is placed first, for its team's guarantee, is not
      // stopped for another team's work beyond its own; what came within the guarantee starts whatever others
      // need, and whatever its own team needs beyond; and nothing is stopped that has not even been sent.
      if (other.priority >= job.priority || other.spec.kind == JobKind::Gang || a.stage == Stage::Assigned ||
          (!same && guarded && guaranteed.count(key.first)) ||
          ((!same || guarded) && other.promise == Job::Promise::Given))
        continue;
      // Starts that have just been counted are spared; then what has run least.
      double age = now - a.since;
      Victim v{key, other.spec.need, age + (age < c::kFreshStart ? 1e6 : 0), same};
      if (same) own.push_back(v);
      place.victims.push_back(std::move(v));
    }
    if (open) groups[spec.one_zone ? m.zone : ""].push_back(std::move(place));
  }
  const Resources wanted = spec.at_once();
  auto over = [&](Resources u) { return !team->second.allows(u += wanted); };
  const bool at_limit = over(use);  // then work of the same team goes first: it frees both room and limit
  auto cheaper = [&](const Victim& a, const Victim& b) {
    if (at_limit && a.same_team != b.same_team) return a.same_team;
    return a.cost != b.cost ? a.cost < b.cost : a.key < b.key;
  };
  std::vector<Victim> chosen;
  std::vector<Machine*> places;
  bool found = false;
  for (auto& [zone, group] : groups) {
    // How many more have to be stopped on a machine until one more task fits, nothing if it never does.
    auto stops = [&](const Place& p) -> std::optional<std::size_t> {
      Resources r = p.after;
      std::size_t n = p.stopped;
      for (; !spec.need.fits(r); ++n) {
        ++steps_;
        if (n == p.victims.size()) return std::nullopt;
        r += p.victims[n].need;
      }
      return n - p.stopped;
    };
    using Entry = std::pair<std::size_t, std::size_t>;  // stops, place
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> heap;
    for (std::size_t i = 0; i < group.size(); ++i) {
      std::sort(group[i].victims.begin(), group[i].victims.end(), cheaper);
      if (auto n = stops(group[i])) heap.push({*n, i});
    }
    std::vector<Victim> stopped;
    std::vector<Machine*> where;
    while (static_cast<int>(where.size()) < tasks && !heap.empty()) {
      auto [n, i] = heap.top();
      heap.pop();
      Place& p = group[i];
      for (std::size_t k = 0; k < n; ++k) {
        p.after += p.victims[p.stopped].need;
        stopped.push_back(p.victims[p.stopped++]);
      }
      p.after -= spec.need;
      where.push_back(p.machine);
      if (auto more = stops(p)) heap.push({*more, i});
    }
    if (static_cast<int>(where.size()) < tasks || (found && stopped.size() >= chosen.size())) continue;
    found = true;
    chosen = std::move(stopped);
    places = std::move(where);
  }
  if (!found) return false;
  std::set<TaskKey> taken;
  for (const auto& v : chosen) {
    taken.insert(v.key);
    if (v.same_team) use -= v.need;
  }
  if (over(use)) {
    std::sort(own.begin(), own.end(), cheaper);
    for (const auto& v : own) {
      if (!over(use)) break;
      if (!taken.insert(v.key).second) continue;
      use -= v.need;
      chosen.push_back(v);
    }
    if (over(use)) return false;
  }
  for (auto* m : places) {
    m->room_for = spec.id;
    m->room_until = now + c::kKeepRoom;
  }
  for (const auto& v : chosen)
    preempt(v.key, "stopped to make room for " + spec.id + ", which is more urgent; started again later");
  if (!chosen.empty())
    notes_.push_back("job " + spec.id + " (" + spec.job_class + "): " + std::to_string(chosen.size()) +
                     " less urgent tasks are stopped for it");
  return true;
}

void Cluster::keep_promises(const std::unordered_set<std::string>& guaranteed, double now) {
  for (auto& [id, job] : jobs_) {
    using P = Job::Promise;
    if (job.promise == P::Unknown && job.ready())
      job.promise = guaranteed.count(id) && now - job.ready_at < c::kFreshArrival ? P::Given : P::None;
    if (job.promise != P::Given || job.queued > 0) continue;
    bool started = std::all_of(job.active.begin(), job.active.end(), [&](const auto& e) {
      return e.second.running_at >= 0 && now - e.second.running_at > c::kFreshStart;
    });
    if (started) job.promise = P::None;
  }
}

/// A claim is made by a job within its team's guarantee, for all that it still needs to start, while its
/// team's use together with that stays within the guarantee. What is stopped is never within a guarantee
/// itself, is of teams that run more than theirs, and never takes one of them below it. So no stopped work
/// could claim anything back, and two teams cannot take turns.
bool Cluster::reclaim(Job& job, const std::unordered_set<std::string>& guaranteed, double now) {
  const JobSpec& spec = job.spec;
  auto team = teams_.find(spec.team);
  // Guards against stopping work for places that the job would then not get: a job that is spread over zones
  // needs them in the right ones, which is not looked at here.
  if (team == teams_.end() || job.queued == 0 || spec.spread) return false;
  auto within = [](const Team& t, const Resources& use) {
    constexpr double e = 1e-6;
    bool gpus_metered = t.gpus > 0 || t.gpus_max > 0;
    return use.cpus <= t.cpus + e && (!gpus_metered || use.gpus <= t.gpus + e);
  };
  Resources wanted = team_use(spec.team);
  for (int i = 0; i < job.queued; ++i) wanted += spec.need;
  if (!within(team->second, wanted)) return false;

  ReclaimInput in;
  in.need = spec.need, in.tasks = job.queued, in.one_zone = spec.one_zone;
  std::vector<Resources> stopping;  // of each team, already on its way out
  std::map<std::string, int> teams, zones;
  for (const auto& [name, t] : teams_) {
    teams[name] = static_cast<int>(teams.size());
    stopping.push_back({});
  }
  const std::string* only_zone =
      spec.one_zone && !job.active.empty() ? &job.active.begin()->second.zone : nullptr;
  std::vector<Machine*> machines;
  std::map<std::string, int> gang_units;
  std::vector<TaskKey> keys;  // of each unit, one of its tasks
  for (auto& [name, m] : machines_) {
    if (m.size.cpus <= 0) continue;
    ReclaimInput::Place place;
    place.free = m.free;
    place.zone = zones.try_emplace(m.zone, static_cast<int>(zones.size())).first->second;
    place.open = usable(m, now) && (now >= m.room_until || m.room_for == spec.id) && allowed(spec, m) &&
                 (!only_zone || *only_zone == m.zone);
    // Nor does work without need of accelerators get such a machine while they are wanted, see fitting().
    if (spec.need.gpus <= 0 && m.size.gpus > 0 && accelerators_wanted_) place.open = false;
    const int at = static_cast<int>(machines.size());
    for (const auto& key : m.tasks) {
      ++steps_;
      const Job& other = jobs_.at(key.first);
      const ActiveTask& a = other.active.at(key.second);
      auto t = teams.find(other.spec.team);
      if (a.stop) {
        place.free += other.spec.need;
        if (t != teams.end()) stopping[static_cast<std::size_t>(t->second)] += other.spec.need;
        continue;
      }
      bool gang = other.spec.kind == JobKind::Gang;
      // Nothing just started is stopped: PROTOCOL counts a start only if it is left alone for kFreshStart.
      if (t == teams.end() || other.spec.team == spec.team || guaranteed.count(key.first) || other.draining ||
          a.running_at < 0 || now - a.running_at < c::kFreshStart)
        continue;
      double ran = now - a.running_at;
      double lost = saves_when_stopped(other.spec) ? other.spec.save_s
                    : other.spec.checkpoint_s > 0  ? std::fmod(ran, other.spec.checkpoint_s)
                                                   : ran;
      auto [unit, fresh] = gang ? gang_units.try_emplace(key.first, static_cast<int>(in.units.size()))
                                : std::pair{gang_units.end(), true};
      if (fresh) {
        in.units.push_back({t->second, 0, other.spec.need, {}});
        keys.push_back(key);
      }
      auto& u = in.units[static_cast<std::size_t>(gang && !fresh ? unit->second
                                                                 : static_cast<int>(in.units.size()) - 1)];
      u.lost += lost * std::max(other.spec.need.cpus, 1.0);
      u.members.push_back(at);
    }
    in.places.push_back(place);
    machines.push_back(&m);
  }
  // A gang of which some task may not be stopped stays whole.
  for (std::size_t i = 0; i < in.units.size(); ++i) {
    const Job& other = jobs_.at(keys[i].first);
    if (other.spec.kind == JobKind::Gang &&
        in.units[i].members.size() != static_cast<std::size_t>(other.spec.tasks))
      in.units[i].members.clear();
  }
  for (const auto& [name, t] : teams_) {
    Resources use = team_use(name);
    use -= stopping[static_cast<std::size_t>(teams[name])];
    bool gpus_metered = t.gpus > 0 || t.gpus_max > 0;
    in.beyond.push_back(
        {std::max(0.0, use.cpus - t.cpus), gpus_metered ? std::max(0.0, use.gpus - t.gpus) : 1e9, 0});
  }
  auto chosen = choose_reclaim(in);
  if (!chosen || chosen->empty()) return false;  // empty: room is about to be free anyway
  // Its places are kept for it until what is stopped has saved and gone.
  for (int i : *chosen)
    for (int m : in.units[static_cast<std::size_t>(i)].members)
      in.places[static_cast<std::size_t>(m)].free += in.units[static_cast<std::size_t>(i)].need;
  int left = spec.tasks - job.done - static_cast<int>(job.active.size());
  double longest = 0;
  for (int i : *chosen)
    longest = std::max(longest, jobs_.at(keys[static_cast<std::size_t>(i)].first).spec.save_s);
  std::map<int, int> fits;  // zone -> places there
  for (const auto& p : in.places)
    if (p.open) fits[p.zone] += spec.need.times_in(p.free);
  int zone = -1;
  if (spec.one_zone)
    for (const auto& [z, n] : fits)
      if (n >= left && (zone < 0 || n > fits[zone])) zone = z;
  for (std::size_t i = 0; i < machines.size() && left > 0; ++i) {
    if (!in.places[i].open || (zone >= 0 && in.places[i].zone != zone)) continue;
    int n = spec.need.times_in(in.places[i].free);
    if (n == 0) continue;
    left -= n;
    machines[i]->room_for = spec.id;
    machines[i]->room_until = now + longest + config_.gang_peer_s + c::kCancelReserve;
  }
  for (int i : *chosen)
    preempt(
        keys[static_cast<std::size_t>(i)],
        "stopped so that team " + spec.team + " gets its guarantee for " + spec.id + "; started again later");
  notes_.push_back("job " + spec.id + " (" + spec.job_class + "): " + std::to_string(chosen->size()) +
                   " tasks or gangs beyond other teams' guarantees are stopped for it");
  return true;
}

}  // namespace corkmux

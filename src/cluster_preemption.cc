// What is stopped to make room for more urgent work.
#include <algorithm>

#include "cluster.h"
#include "constants.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

void Cluster::preempt(const TaskKey& key, const Job& by) {
  Job& job = jobs_.at(key.first);
  // Saving takes time that the urgent work waits; where a stop loses no more than saving costs, it is not
  // asked for.
  double expected_loss = job.spec.checkpoint_s / 2;
  bool save = job.spec.checkpoint_s > 0 && expected_loss > c::kSaveWorth * job.spec.save_s;
  job.why = "stopped to make room for " + by.spec.id + ", which is more urgent; started again later";
  if (job.spec.kind == JobKind::Gang && save) job.draining = true;
  if (job.spec.kind == JobKind::Gang)
    for (auto& [i, a] : job.active) stop_task(job, i, save ? job.spec.save_s + c::kCancelReserve : 0);
  else
    stop_task(job, key.second, save ? job.spec.save_s + c::kCancelReserve : 0);
}

/// Stops the least work of lower priority that lets the job start: of its own team where the team's limit is
/// what it waits for, else on machines. What is already stopping counts as free, so nothing is stopped twice
/// over.
bool Cluster::make_room(Job& job, const std::unordered_set<std::string>& guaranteed, double now) {
  const JobSpec& spec = job.spec;
  int tasks = spec.kind == JobKind::Gang ? spec.tasks : 1;
  struct Victim {
    TaskKey key;
    Resources need;
    double cost;
  };
  std::vector<Victim> all;
  Resources use = team_use(spec.team);
  std::map<std::string, Resources> room;  // machine -> free once everything that is stopping has stopped
  for (auto& [name, m] : machines_)
    if (usable(m, now) && (now >= m.room_until || m.room_for == spec.id)) room[name] = m.free;
  for (auto& [id, other] : jobs_)
    for (auto& [index, a] : other.active) {
      auto r = room.find(a.machine);
      if (a.stop) {
        if (r != room.end()) r->second += other.spec.need;
        if (other.spec.team == spec.team) use -= other.spec.need;
      } else if (other.spec.priority < spec.priority && other.spec.kind != JobKind::Gang &&
                 a.stage != Stage::Assigned &&
                 (other.spec.team == spec.team || !guaranteed.count(id) || guaranteed.count(spec.id))) {
        // Guards against two jobs that take turns: what is placed first, for its team's guarantee, is not
        // stopped for another team's work beyond its own; and nothing is stopped that has not even been sent.
        // Starts that have just been counted are spared; then what has run least.
        double age = now - a.since;
        all.push_back({{id, index}, other.spec.need, age + (age < c::kFreshStart ? 1e6 : 0)});
      }
    }
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.cost < b.cost; });
  std::vector<TaskKey> chosen;
  auto team = teams_.find(spec.team);
  if (team == teams_.end()) return false;
  Resources wanted;
  for (int i = 0; i < tasks; ++i) wanted += spec.need;
  auto over = [&](Resources u) { return !team->second.allows(u += wanted); };
  if (over(use))  // work of the same team frees both room and limit
    std::stable_sort(all.begin(), all.end(), [&](const auto& a, const auto& b) {
      return (jobs_.at(a.key.first).spec.team == spec.team) > (jobs_.at(b.key.first).spec.team == spec.team);
    });
  std::map<std::string, std::vector<std::string>> zones;  // zone (or all zones) -> machines
  for (const auto& [name, r] : room) {
    const Machine& m = machines_.at(name);
    if (!allowed(spec, m)) continue;
    if (spec.one_zone && !job.active.empty() && job.active.begin()->second.zone != m.zone) continue;
    zones[spec.one_zone ? m.zone : ""].push_back(name);
  }
  std::size_t fewest = 1e9;
  std::vector<TaskKey> best;
  std::set<std::string> best_places;
  for (const auto& [zone, names] : zones) {
    auto free = room;
    std::set<TaskKey> used;
    std::vector<TaskKey> stops;
    std::set<std::string> places;
    int placed = 0;
    for (; placed < tasks; ++placed) {
      std::string where;
      std::vector<const Victim*> cheapest;
      for (const auto& name : names) {
        Resources r = free[name];
        std::vector<const Victim*> need;
        for (const auto& v : all) {
          if (spec.need.fits(r)) break;
          if (used.count(v.key) || jobs_.at(v.key.first).active.at(v.key.second).machine != name) continue;
          r += v.need;
          need.push_back(&v);
        }
        if (spec.need.fits(r) && (where.empty() || need.size() < cheapest.size()))
          where = name, cheapest = need;
      }
      if (where.empty()) break;
      for (const auto* v : cheapest) {
        free[where] += v->need;
        used.insert(v->key);
        stops.push_back(v->key);
      }
      free[where] -= spec.need;
      places.insert(where);
    }
    if (placed == tasks && stops.size() < fewest) fewest = stops.size(), best = stops, best_places = places;
  }
  if (fewest == static_cast<std::size_t>(1e9)) return false;
  chosen = best;
  for (const auto& v : all)
    if (jobs_.at(v.key.first).spec.team == spec.team &&
        std::find(best.begin(), best.end(), v.key) != best.end())
      use -= v.need;
  for (const auto& v : all) {
    if (!over(use)) break;
    if (jobs_.at(v.key.first).spec.team != spec.team) continue;
    if (std::find(best.begin(), best.end(), v.key) != best.end()) continue;
    use -= v.need;
    chosen.push_back(v.key);
  }
  if (over(use)) return false;
  for (const auto& name : best_places) {
    machines_.at(name).room_for = spec.id;
    machines_.at(name).room_until = now + c::kKeepRoom;
  }
  for (const auto& key : chosen) preempt(key, job);
  if (!chosen.empty())
    notes_.push_back("job " + spec.id + " (" + spec.job_class + "): " + std::to_string(chosen.size()) +
                     " less urgent tasks are stopped for it");
  return true;
}

}  // namespace corkmux

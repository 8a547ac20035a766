// What is stopped to make room for more urgent work.
#include <algorithm>
#include <optional>
#include <queue>

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
      // stopped for another team's work beyond its own; and nothing is stopped that has not even been sent.
      if (other.priority >= job.priority || other.spec.kind == JobKind::Gang || a.stage == Stage::Assigned ||
          (!same && guarded && guaranteed.count(key.first)))
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
  for (const auto& v : chosen) preempt(v.key, job);
  if (!chosen.empty())
    notes_.push_back("job " + spec.id + " (" + spec.job_class + "): " + std::to_string(chosen.size()) +
                     " less urgent tasks are stopped for it");
  return true;
}

}  // namespace corkmux

// What is stopped to make room for more urgent work.
#include <algorithm>
#include <cmath>
#include <optional>
#include <queue>

#include "quota_reclaim.h"
#include "scheduler.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

/// Saving takes time that the urgent work waits; where a stop loses no more than saving costs, it is not
/// asked for.
bool Scheduler::saves_when_stopped(const JobSpec& spec) const {
  return spec.checkpoint_s > 0 && spec.checkpoint_s / 2 > c::kCheckpointWorth * spec.save_s;
}

void Scheduler::preempt(const TaskId& key, const std::string& why) {
  Job& job = state_.jobs().at(key.job);
  bool save = saves_when_stopped(job.spec);
  job.why = why;
  if (job.spec.kind == JobKind::Gang && save) job.draining = true;
  if (job.spec.kind == JobKind::Gang)
    for (auto& [i, a] : job.active)
      state_.request_stop(job, i, save ? job.spec.save_s + c::kCancelReserve : 0);
  else
    state_.request_stop(job, key.index, save ? job.spec.save_s + c::kCancelReserve : 0);
}

/// Whether a job's tasks may go there once it has room.
bool Scheduler::open_to(const Job& job, const Machine& m, double now) const {
  const JobSpec& spec = job.spec;
  return state_.usable(m, now) && (now >= m.nominated_until || m.nominated_job == spec.id) &&
         allowed(spec, m) &&
         !excluded_by_reservation(job, m.type,
                                  m.index_entry.pool ? m.index_entry.pool->reservation_tier : 0) &&
         (!spec.one_zone || job.active.empty() || job.active.begin()->second.zone == m.zone);
}

/// Those with room as they are, as many as the job could use; those where something is stopping already; and
/// of those that run less urgent work all, or kPreemptionCandidatesExamined drawn from them. A job that finds
/// too little among these looks at others in a later pass.
std::map<std::string, std::vector<Machine*>> Scheduler::stop_candidates(const Job& job, double now) {
  const JobSpec& spec = job.spec;
  const auto wanted = static_cast<std::size_t>(spec.kind == JobKind::Gang ? spec.tasks : 1);
  std::map<std::string, MachineSet> groups;
  std::map<std::string, std::vector<const std::vector<Machine*>*>> lists;
  for (const auto& [key, pool] : state_.capacity_index().pools()) {
    ++steps_;
    if (!allowed(spec, pool.type, pool.zone, pool.spot) ||
        excluded_by_reservation(job, pool.type, pool.reservation_tier))
      continue;
    const std::string group = spec.one_zone ? pool.zone : "";
    auto& machines = groups[group];
    std::size_t looks = c::kPreemptionCandidatesExamined;
    for (Machine* m : pool.stopping)
      if (looks-- == 0)
        break;
      else
        machines.insert(m);
    for (int p = 0; p < static_cast<int>(job.priority); ++p)
      lists[group].push_back(&pool.stoppable[static_cast<std::size_t>(p)]);
  }
  for (const auto& slot : fitting(job, true, now)) {
    auto& machines = groups[spec.one_zone ? slot.pool->zone : ""];
    if (slot.one) machines.insert(slot.one);
    for (std::size_t i = 0; slot.level && i < slot.level->machines.size() && i < wanted; ++i)
      machines.insert(slot.level->machines[i]);
  }
  std::map<std::string, std::vector<Machine*>> out;
  for (auto& [group, machines] : groups) {
    std::size_t all = 0;
    for (const auto* list : lists[group]) all += list->size();
    for (std::size_t k : sample(all, c::kPreemptionCandidatesExamined)) {
      auto list = lists[group].begin();
      for (; k >= (*list)->size(); ++list) k -= (*list)->size();
      machines.insert((**list)[k]);
    }
    out[group].assign(machines.begin(), machines.end());
  }
  return out;
}

/// Stops the least work of lower priority that lets the job start: of its own team where the team's limit is
/// what it waits for, else on machines. What is already stopping counts as free, so nothing is stopped twice
/// over. One walk over candidates and their tasks, then a heap of machines by how much has to be stopped on
/// each.
bool Scheduler::preempt_for(Job& job, double now) {
  const JobSpec& spec = job.spec;
  auto team = state_.teams().find(spec.team);
  if (team == state_.teams().end()) return false;
  const int tasks = spec.kind == JobKind::Gang ? spec.tasks : 1;
  struct PreemptionCandidate {
    TaskId key;
    Resources need;
    double cost;
    bool same_team;
  };
  struct Place {
    Machine* machine;
    Resources after;  // free once everything that is stopping has stopped
    std::vector<PreemptionCandidate> victims;
    std::size_t stopped = 0;  // of the victims, from the front
  };
  Resources use = state_.team_use(spec.team);
  use -= state_.team_stopping(spec.team);
  const bool guarded = !job.indexed.guaranteed;
  auto victim = [&](const Job& other, int index, const ActiveTask& a) -> std::optional<PreemptionCandidate> {
    bool same = other.spec.team == spec.team;
    // Guards against two jobs that take turns: what is placed first, for its team's guarantee, is not
    // stopped for another team's work beyond its own; what came within the guarantee starts whatever others
    // need, and whatever its own team needs beyond; and nothing is stopped that has not even been sent.
    if (a.stop || other.priority >= job.priority || other.spec.kind == JobKind::Gang ||
        a.stage == Stage::Assigned || (!same && guarded && other.indexed.guaranteed) ||
        ((!same || guarded) && other.guarantee_admission == Job::GuaranteeAdmission::Granted))
      return std::nullopt;
    // Starts that have just been counted are spared; then what has run least.
    double age = now - a.since;
    return PreemptionCandidate{
        {other.spec.id, index}, other.spec.need, age + (age < c::kFreshStart ? 1e6 : 0), same};
  };
  // A one-zone job is tried zone by zone, any other in one group.
  std::map<std::string, std::vector<Place>> groups;
  for (const auto& [group, machines] : stop_candidates(job, now))
    for (Machine* m : machines) {
      ++steps_;
      if (!open_to(job, *m, now)) continue;
      Place place{m, m->free, {}};
      for (const auto& key : m->tasks) {
        ++steps_;
        const Job& other = state_.jobs().at(key.job);
        const ActiveTask& a = other.active.at(key.index);
        if (a.stop)
          place.after += other.spec.need;
        else if (auto v = victim(other, key.index, a))
          place.victims.push_back(std::move(*v));
      }
      groups[group].push_back(std::move(place));
    }
  const Resources wanted = spec.at_once();
  auto over = [&](Resources u) { return !team->second.allows(u += wanted); };
  const bool at_limit = over(use);  // then work of the same team goes first: it frees both room and limit
  auto cheaper = [&](const PreemptionCandidate& a, const PreemptionCandidate& b) {
    if (at_limit && a.same_team != b.same_team) return a.same_team;
    return a.cost != b.cost ? a.cost < b.cost : a.key < b.key;
  };
  std::vector<PreemptionCandidate> chosen;
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
    std::vector<PreemptionCandidate> stopped;
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
  std::set<TaskId> taken;
  for (const auto& v : chosen) {
    taken.insert(v.key);
    if (v.same_team) use -= v.need;
  }
  if (over(use)) {
    std::vector<PreemptionCandidate>
        own;  // what may be stopped of the same team, wherever it is: the latest jobs' first
    for (bool guaranteed : {false, true}) {
      const auto& running = state_.job_index().running(spec.team, guaranteed);
      for (auto other = running.rbegin();
           other != running.rend() && own.size() < c::kPreemptionCandidatesExamined; ++other) {
        ++steps_;
        if ((*other)->priority >= job.priority || (*other)->spec.kind == JobKind::Gang) continue;
        for (const auto& [index, a] : (*other)->active) {
          ++steps_;
          if (auto v = victim(**other, index, a)) own.push_back(std::move(*v));
        }
      }
    }
    std::sort(own.begin(), own.end(), cheaper);
    for (const auto& v : own) {
      if (!over(use)) break;
      if (!taken.insert(v.key).second) continue;
      use -= v.need;
      chosen.push_back(v);
    }
    if (over(use)) return false;
  }
  for (auto* m : places) nominate(*m, job, now + c::kNominationTime, now);
  for (const auto& v : chosen)
    preempt(v.key, "stopped to make room for " + spec.id + ", which is more urgent; started again later");
  if (!chosen.empty())
    state_.note("job " + spec.id + " (" + spec.job_class + "): " + std::to_string(chosen.size()) +
                " less urgent tasks are stopped for it");
  return true;
}

void Scheduler::nominate(Machine& m, const Job& job, double until, double now) {
  m.nominated_job = job.spec.id;
  m.nominated_until = until;
  state_.reindex(m, now);
}

void Scheduler::keep_promises(double now) {
  using Admission = Job::GuaranteeAdmission;
  for (Job* job :
       std::vector<Job*>(state_.job_index().promising().begin(), state_.job_index().promising().end())) {
    ++steps_;
    if (job->guarantee_admission == Admission::Undecided)
      job->guarantee_admission = job->indexed.guaranteed && now - job->ready_at < c::kFreshArrival
                                     ? Admission::Granted
                                     : Admission::None;
    if (job->guarantee_admission == Admission::Granted && job->queued == 0 &&
        std::all_of(job->active.begin(), job->active.end(), [&](const auto& e) {
          return e.second.running_at && now - *e.second.running_at > c::kFreshStart;
        }))
      job->guarantee_admission = Admission::None;
    state_.reindex(*job);
  }
}

/// What choose_reclaim() is asked, and what its places and units are in the book.
struct Scheduler::QuotaReclaimCase {
  QuotaReclaimInput in;
  std::vector<Machine*> machines;
  std::vector<TaskId> keys;  // of each unit, one of its tasks
};

/// The places that a claim could get: as many as it needs of those with room, those where something is
/// stopping, and those of the work that may be stopped for it. Of that at most kPreemptionCandidatesExamined
/// tasks are looked at, of each team those of the latest jobs.
Scheduler::QuotaReclaimCase Scheduler::reclaim_case(const Job& job, double now) {
  const JobSpec& spec = job.spec;
  QuotaReclaimCase out;
  out.in.need = spec.need, out.in.tasks = job.queued, out.in.one_zone = spec.one_zone;
  std::map<std::string, int> zones;
  std::unordered_map<const Machine*, int> places;
  auto place_of = [&](Machine* m) {
    auto [it, fresh] = places.try_emplace(m, static_cast<int>(out.machines.size()));
    if (!fresh) return it->second;
    QuotaReclaimInput::Place place;
    place.free = m->free;
    place.zone = zones.try_emplace(m->zone, static_cast<int>(zones.size())).first->second;
    place.open = open_to(job, *m, now);
    // Nor does work without need of accelerators get such a machine while they are wanted, see fitting().
    if (spec.need.gpus <= 0 && m->size.gpus > 0 && accelerators_wanted_) place.open = false;
    for (const auto& key : m->tasks) {
      ++steps_;
      const Job& other = state_.jobs().at(key.job);
      if (other.active.at(key.index).stop) place.free += other.spec.need;
    }
    out.in.places.push_back(place);
    out.machines.push_back(m);
    return it->second;
  };
  for (const auto& slot : fitting(job, true, now)) {
    if (slot.one) place_of(slot.one);
    for (std::size_t i = 0; slot.level && i < slot.level->machines.size() && static_cast<int>(i) < job.queued;
         ++i)
      place_of(slot.level->machines[i]);
  }
  for (const auto& [key, pool] : state_.capacity_index().pools()) {
    std::size_t looks = c::kPreemptionCandidatesExamined;
    for (Machine* m : pool.stopping)
      if (looks-- == 0)
        break;
      else
        place_of(m);
  }
  int team = -1;
  for (const auto& [name, t] : state_.teams()) {
    ++team;
    Resources use = state_.team_use(name);
    use -= state_.team_stopping(name);
    bool gpus_metered = t.gpus > 0 || t.gpus_max > 0;
    Resources beyond{std::max(0.0, use.cpus - t.cpus), gpus_metered ? std::max(0.0, use.gpus - t.gpus) : 1e9,
                     0};
    out.in.beyond.push_back(beyond);
    if (name == spec.team || beyond.cpus <= 0) continue;  // each task takes CPUs
    std::size_t looked = 0;
    const auto& running = state_.job_index().running(name, false);
    for (auto it = running.rbegin(); it != running.rend() && looked < c::kPreemptionCandidatesExamined;
         ++it) {
      const Job& other = **it;
      ++steps_;
      if (other.draining) continue;
      const bool gang = other.spec.kind == JobKind::Gang;
      std::vector<std::pair<int, double>> may;  // tasks that may be stopped, and what that loses
      for (const auto& [index, a] : other.active) {
        ++steps_, ++looked;
        // Nothing just started is stopped: PROTOCOL counts a start only if it is left alone for kFreshStart.
        if (a.stop || !a.running_at || now - *a.running_at < c::kFreshStart || !state_.machine(a.machine))
          continue;
        double ran = now - *a.running_at;
        double lost = saves_when_stopped(other.spec) ? other.spec.save_s
                      : other.spec.checkpoint_s > 0  ? std::fmod(ran, other.spec.checkpoint_s)
                                                     : ran;
        may.push_back({index, lost * std::max(other.spec.need.cpus, 1.0)});
      }
      // A gang of which some task may not be stopped stays whole.
      if (gang && may.size() != static_cast<std::size_t>(other.spec.tasks)) continue;
      for (std::size_t i = 0; i < may.size(); ++i) {
        if (!gang || i == 0) {
          out.in.units.push_back({team, 0, other.spec.need, {}});
          out.keys.push_back({other.spec.id, may[i].first});
        }
        auto& unit = out.in.units.back();
        unit.lost += may[i].second;
        unit.members.push_back(place_of(state_.machine(other.active.at(may[i].first).machine)));
      }
    }
  }
  return out;
}

/// The claim's places are kept for it until what is stopped has saved and gone.
void Scheduler::keep_reclaimed(const Job& job, const QuotaReclaimCase& c, const std::vector<int>& chosen,
                               double now) {
  const JobSpec& spec = job.spec;
  auto places = c.in.places;
  double longest = 0;
  for (int i : chosen) {
    const auto& unit = c.in.units[static_cast<std::size_t>(i)];
    for (int m : unit.members) places[static_cast<std::size_t>(m)].free += unit.need;
    longest = std::max(longest, state_.jobs().at(c.keys[static_cast<std::size_t>(i)].job).spec.save_s);
  }
  int left = spec.tasks - job.done - static_cast<int>(job.active.size());
  std::map<int, int> fits;  // zone -> places there
  for (const auto& p : places)
    if (p.open) fits[p.zone] += spec.need.times_in(p.free);
  int zone = -1;
  if (spec.one_zone)
    for (const auto& [z, n] : fits)
      if (n >= left && (zone < 0 || n > fits[zone])) zone = z;
  for (std::size_t i = 0; i < places.size() && left > 0; ++i) {
    if (!places[i].open || (zone >= 0 && places[i].zone != zone)) continue;
    int n = spec.need.times_in(places[i].free);
    if (n == 0) continue;
    left -= n;
    nominate(*c.machines[i], job, now + longest + state_.config().gang_peer_s + constants::kCancelReserve,
             now);
  }
}

/// A claim is made by a job within its team's guarantee, for all that it still needs to start, while its
/// team's use together with that stays within the guarantee. What is stopped is never within a guarantee
/// itself, is of teams that run more than theirs, and never takes one of them below it. So no stopped work
/// could claim anything back, and two teams cannot take turns.
bool Scheduler::reclaim(Job& job, double now) {
  const JobSpec& spec = job.spec;
  auto team = state_.teams().find(spec.team);
  // Guards against stopping work for places that the job would then not get: a job that is spread over zones
  // needs them in the right ones, which is not looked at here.
  if (team == state_.teams().end() || job.queued == 0 || spec.spread) return false;
  Resources wanted = state_.team_use(spec.team);
  for (int i = 0; i < job.queued; ++i) wanted += spec.need;
  if (!team->second.guarantees(wanted)) return false;
  const QuotaReclaimCase c = reclaim_case(job, now);
  auto chosen = choose_reclaim(c.in);
  if (!chosen || chosen->empty()) return false;  // empty: room is about to be free anyway
  keep_reclaimed(job, c, *chosen, now);
  for (int i : *chosen)
    preempt(
        c.keys[static_cast<std::size_t>(i)],
        "stopped so that team " + spec.team + " gets its guarantee for " + spec.id + "; started again later");
  state_.note("job " + spec.id + " (" + spec.job_class + "): " + std::to_string(chosen->size()) +
              " tasks or gangs beyond other teams' guarantees are stopped for it");
  return true;
}

}  // namespace corkmux

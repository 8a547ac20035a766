#include "job_registry.h"

#include <algorithm>
#include <cmath>

#include "simulation_constants.h"
#include "worker.h"

namespace corkmux::simulation {

struct JobRegistry::GangRendezvous {
  GangRendezvous(Loop& loop, SimulatedJob& w) : work(&w), ends(loop), breaks(loop) {}
  SimulatedJob* work;
  std::map<int, Worker*> members;
  std::set<int> told;  // to stop and save
  bool started = false, saving = false, broken = false;
  double began = 0, base = 0, speed = 1, frozen = 0;
  Timer ends, breaks;
};

JobRegistry::JobRegistry(Loop& loop, double gang_peer_s, MachineObserver& observer,
                         std::function<double()> now)
    : loop_(loop), gang_peer_s_(gang_peer_s), observer_(observer), now_(std::move(now)) {}
JobRegistry::~JobRegistry() = default;

SimulatedJob* JobRegistry::find(const std::string& job) {
  auto it = jobs_.find(job);
  if (it != jobs_.end()) return &it->second;
  return make_unknown_job ? &add(make_unknown_job(job)) : nullptr;
}
SimulatedJob& JobRegistry::add(SimulatedJob work) {
  auto n = static_cast<std::size_t>(work.spec.tasks);
  work.saved.resize(n), work.done.resize(n);
  if (work.run_s.empty()) work.run_s.push_back(work.spec.estimate_s);
  work.run_s.resize(n, work.run_s.back());
  auto id = work.spec.id;
  return jobs_.insert_or_assign(id, std::move(work)).first->second;
}

double JobRegistry::kept(const SimulatedJob& work, double progress) {
  double every = work.spec.checkpoint_s;
  return every > 0 ? std::floor(progress / every) * every : 0;
}
JobRegistry::GangRendezvous* JobRegistry::gang(const SimulatedJob& work, std::uint64_t attempt) {
  auto it = gangs_.find({work.spec.id, attempt});
  return it == gangs_.end() ? nullptr : it->second.get();
}
double JobRegistry::progress(const GangRendezvous& g) const {
  return g.saving || g.broken ? g.frozen : g.base + (now_() - g.began) * g.speed;
}

void JobRegistry::join(SimulatedJob& work, std::uint64_t attempt, int index, Worker* worker) {
  Key key{work.spec.id, attempt};
  auto& g = gangs_[key];
  if (!g) g = std::make_unique<GangRendezvous>(loop_, work);
  if (g->started) return;  // a replacement after the start stays alone
  g->members[index] = worker;
  if (static_cast<int>(g->members.size()) == work.spec.tasks) begin(key);
}

void JobRegistry::begin(const Key& key) {
  GangRendezvous& g = *gangs_.at(key);
  g.started = true;
  g.base = g.work->saved[0];
  g.began = now_();
  g.speed = 10;
  for (const auto& [index, worker] : g.members) g.speed = std::min(g.speed, worker->speed());
  for (const auto& [index, worker] : g.members) {
    observer_.task_running(*g.work, index);
    worker->gang_runs(key.first, index, key.second);
  }
  g.ends.once((g.work->run_s[0] - g.base) / g.speed, [this, key] { finish(key); });
}

void JobRegistry::finish(const Key& key) {
  auto node = gangs_.extract(key);
  GangRendezvous& g = *node.mapped();
  for (const auto& [index, worker] : g.members) {
    g.work->done[static_cast<std::size_t>(index)] = true;
    observer_.task_done(*g.work, index);
    worker->gang_exits(key.first, index, key.second, "done", false);
  }
  loop_.post(
      [old = std::shared_ptr<GangRendezvous>(std::move(node.mapped()))] {});  // its timer may be running
}

void JobRegistry::gone(SimulatedJob& work, std::uint64_t attempt, int index) {
  GangRendezvous* g = gang(work, attempt);
  if (!g || !g->members.erase(index)) return;
  Key key{work.spec.id, attempt};
  if (!g->started) {
    if (g->members.empty()) gangs_.erase(key);
    return;
  }
  if (!g->saving && !g->broken) {
    g->frozen = progress(*g);
    g->ends.stop();
    g->breaks.once(kPeerLossDetectionShare * gang_peer_s_, [this, key] { lose(key, "mates_gone"); });
  }
  g->broken = true;
}

void JobRegistry::hangs(SimulatedJob& work, std::uint64_t attempt, int index) {
  GangRendezvous* g = gang(work, attempt);
  if (!g || !g->started) return;
  Worker* worker = g->members.at(index);
  auto look = std::make_shared<Timer>(loop_);
  look->once(kPeerLossDetectionShare * gang_peer_s_,
             [this, look, worker, index, attempt, job = work.spec.id] {
               GangRendezvous* g = gang(*find(job), attempt);
               if (g && g->members.count(index) && worker->hangs() && !g->saving) {
                 if (!g->broken) g->frozen = progress(*g);
                 g->broken = true;
                 lose({job, attempt}, "mate_hung");
               }
               loop_.post([look] {});
             });
}

void JobRegistry::lose(const Key& key, const char* why) {
  auto node = gangs_.extract(key);
  GangRendezvous& g = *node.mapped();
  double safe = std::max(g.work->saved[0], kept(*g.work, g.frozen));
  observer_.progress_lost(*g.work, why, (g.frozen - safe) * g.work->spec.tasks);
  g.work->saved[0] = safe;
  for (const auto& [index, worker] : g.members)
    worker->gang_exits(key.first, index, key.second, "mates_gone", false);
  loop_.post([old = std::shared_ptr<GangRendezvous>(std::move(node.mapped()))] {});
}

void JobRegistry::stop(SimulatedJob& work, std::uint64_t attempt, int index, double grace_s) {
  GangRendezvous* g = gang(work, attempt);
  if (!g || !g->members.count(index)) return;
  Key key{work.spec.id, attempt};
  Worker* worker = g->members.at(index);
  bool saves = work.spec.checkpoint_s > 0 && grace_s >= work.spec.save_s;
  if (!g->started || !saves || (g->broken && !g->saving)) {
    gone(work, attempt, index);
    return worker->gang_exits(key.first, index, attempt, "halted", false);
  }
  if (!g->saving) {
    g->frozen = progress(*g);
    g->saving = true;
    g->ends.stop();
    g->breaks.once(gang_peer_s_, [this, key] { end_saving(key); });
  }
  if (!g->told.insert(index).second) return;
  worker->gang_saves(key.first, index, attempt);
  if (static_cast<int>(g->told.size()) == work.spec.tasks)
    g->breaks.once(work.spec.save_s, [this, key] { end_saving(key); });
}

void JobRegistry::end_saving(const Key& key) {
  auto node = gangs_.extract(key);
  GangRendezvous& g = *node.mapped();
  bool safe = !g.broken && static_cast<int>(g.told.size()) == g.work->spec.tasks;
  double keeps = safe ? g.frozen : std::max(g.work->saved[0], kept(*g.work, g.frozen));
  if (!safe) observer_.progress_lost(*g.work, "save_failed", (g.frozen - keeps) * g.work->spec.tasks);
  g.work->saved[0] = keeps;
  for (const auto& [index, worker] : g.members)
    worker->gang_exits(key.first, index, key.second, g.told.count(index) ? "halted" : "mates_gone", safe);
  loop_.post([old = std::shared_ptr<GangRendezvous>(std::move(node.mapped()))] {});
}

}  // namespace corkmux::simulation

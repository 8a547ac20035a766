// The book's shards in the state service: what is written, when, and what follows once it is stored.
#include <algorithm>

#include "cluster.h"
#include "constants.h"

namespace corkmux {
namespace c = constants;
using Stage = ActiveTask::Stage;

nlohmann::json Cluster::shard_value(const Job& job, int shard) const {
  int per = config_.tasks_per_shard(), base = shard * per;
  nlohmann::json done = nlohmann::json::array(), tasks = nlohmann::json::object();
  int from = -1;
  for (int i = 0; i <= per; ++i) {
    bool is_done = i < per && base + i < job.spec.tasks &&
                   job.phase[static_cast<std::size_t>(base + i)] == TaskPhase::Done;
    if (is_done && from < 0) from = i;
    if (!is_done && from >= 0) {
      done.push_back({from, i - 1});
      from = -1;
    }
  }
  for (auto it = job.active.lower_bound(base); it != job.active.end() && it->first < base + per; ++it)
    tasks[std::to_string(it->first - base)] = {it->second.attempt, it->second.machine, it->second.session,
                                               it->second.zone};
  return {{"d", std::move(done)}, {"t", std::move(tasks)}};
}

std::vector<ShardWrite> Cluster::next_writes(int most) {
  std::vector<ShardWrite> out;
  std::vector<std::pair<std::string, int>> rest;
  for (auto& entry : dirty_) {
    Job* job = this->job(entry.first);
    if (!job || job->finalizing) continue;
    Shard& s = job->shards[entry.second];
    if (s.in_flight || s.written_gen == s.gen) continue;
    // A job that is over needs no more shards: its end is stored instead.
    if ((job->done == job->spec.tasks || job->cancelled) && job->active.empty()) continue;
    if (static_cast<int>(out.size()) >= most) {
      rest.push_back(entry);
      continue;
    }
    s.in_flight = true;
    out.push_back({entry.first, entry.second, s.version, s.gen, shard_value(*job, entry.second)});
  }
  dirty_ = std::move(rest);
  return out;
}

void Cluster::written(const std::vector<ShardWrite>& batch, std::uint64_t revision, double now) {
  for (const auto& w : batch) {
    Job* job = this->job(w.job);
    if (!job) continue;
    Shard& s = job->shards[w.shard];
    s.in_flight = false;
    s.version = revision;
    s.written_gen = w.gen;
    if (s.gen != s.written_gen) dirty_.push_back({w.job, w.shard});
    int base = w.shard * config_.tasks_per_shard();
    std::vector<int> lost;
    for (auto it = job->active.lower_bound(base);
         it != job->active.end() && it->first < base + config_.tasks_per_shard(); ++it) {
      ActiveTask& a = it->second;
      if (a.stage != Stage::Assigned || a.gen > w.gen) continue;
      Machine* m = machine(a.machine);
      if (!m || m->doomed || a.session != m->session || a.stop)
        lost.push_back(it->first);
      else {
        if (std::find(m->outbox.begin(), m->outbox.end(), TaskKey{w.job, it->first}) == m->outbox.end())
          m->outbox.push_back({w.job, it->first});
        to_order_.insert(m->name);
      }
    }
    for (int index : lost) unassign(*job, index, now);
    if (!lost.empty() && job->spec.kind == JobKind::Gang) abort_gang(*job, now);
  }
}

void Cluster::write_failed(const std::vector<ShardWrite>& batch) {
  for (const auto& w : batch)
    if (Job* job = this->job(w.job)) {
      job->shards[w.shard].in_flight = false;
      dirty_.push_back({w.job, w.shard});
    }
}

void Cluster::shard_version(const std::string& id, int shard, std::uint64_t version) {
  if (Job* job = this->job(id)) job->shards[shard].version = version;
}

std::vector<std::string> Cluster::finished_jobs() const {
  std::vector<std::string> out;
  for (const auto& [id, job] : jobs_) {
    if (job.finalizing || !job.active.empty()) continue;
    bool in_flight = false;
    for (const auto& [n, s] : job.shards) in_flight |= s.in_flight;
    if (!in_flight && (job.cancelled || job.done == job.spec.tasks)) out.push_back(id);
  }
  return out;
}

}  // namespace corkmux

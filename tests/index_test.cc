// What is indexed of jobs and machines, compared with a walk over all of them after every one of many random
// events.
#include <gtest/gtest.h>

#include <random>

#include "cluster.h"

namespace corkmux {
namespace {

using Use = RoomState::Use;

struct Chaos {
  std::mt19937 rng;
  ClusterConfig config;
  std::unique_ptr<Cluster> cluster;
  std::map<std::string, Report> workers;
  std::uint64_t revision = 10;
  double now = 1;
  int jobs = 0, placed = 0, doubtful = 0, kept = 0, stopping = 0, guaranteed = 0, beyond = 0;

  explicit Chaos(unsigned seed) : rng(seed) {
    config.zones = {"a", "b"};
    config.report_s = 1;
    config.guarantee_within = 2;
    config.teams = {{"x", 24, 90, 0, 0}, {"y", 30, 0, 4, 8}, {"z", 0, 0, 0, 0}};
    cluster = std::make_unique<Cluster>(config, 1, 0, seed);
    cluster->set_catalog({{"plain", {16, 0, 64}, 5, 1, 1, 1, 10, {"a", "b"}},
                          {"gpu", {16, 4, 64}, 5, 1, 5, 2, 10, {"a", "b"}}});
    for (int i = 0; i < 8; ++i) fresh_worker();
  }
  int up_to(int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); }
  void fresh_worker() {
    Report r;
    r.machine = "n-" + std::to_string(++revision), r.address = "x", r.type = up_to(2) ? "plain" : "gpu";
    r.zone = up_to(2) ? "a" : "b", r.spot = up_to(4) == 0, r.session = 1;
    workers[r.machine] = r;
  }
  Report* some_worker() {
    if (workers.empty()) return nullptr;
    auto it = workers.begin();
    std::advance(it, up_to(static_cast<int>(workers.size())));
    return &it->second;
  }
  void submit() {
    JobSpec s;
    s.id = "run-" + std::to_string(++jobs);
    s.team = std::string(1, "xyzq"[up_to(4)]);
    s.kind = static_cast<JobKind>(up_to(2)), s.priority = static_cast<Priority>(up_to(4));
    s.tasks = 1 + up_to(5), s.one_zone = s.kind == JobKind::Gang && up_to(2);
    s.need = {1.0 + up_to(9), up_to(3) == 0 ? 1.0 : 0.0, 1.0 + up_to(30)};
    s.image = "i" + std::to_string(up_to(6)), s.image_gb = 2, s.spot = up_to(2);
    s.checkpoint_s = up_to(2) * 10, s.save_s = 1;
    if (jobs > 1 && up_to(4) == 0) s.awaits = {"run-" + std::to_string(1 + up_to(jobs - 1))};
    cluster->put_job(s, ++revision, false, now);
  }
  void report(Report& r) {
    ++r.seq;
    for (auto& t : r.tasks) {
      if (t.state == TaskReportState::Exited) continue;
      int dice = up_to(20);
      if (dice == 0) t.state = TaskReportState::Exited, t.why = ExitReason::Error;
      if (dice == 1) t.state = TaskReportState::Exited, t.why = ExitReason::NoRoom;
      if (dice == 2) t.state = TaskReportState::Exited, t.why = ExitReason::Done;
      if (dice > 10) t.state = TaskReportState::Running;
    }
    auto result = cluster->on_report(r, Cluster::Channel::Report, now);
    r.token = std::max(r.token, result.token);
    for (const auto& c : result.commands) obey(r, c);
    cluster->answered(r.machine, now);
  }
  void obey(Report& r, const Command& c) {
    auto it = std::find_if(r.tasks.begin(), r.tasks.end(),
                           [&](const TaskReport& t) { return t.job == c.job && t.index == c.index; });
    if (c.op == Command::Op::Start)
      r.tasks.push_back({c.job, c.index, c.attempt, TaskReportState::Fetching, ExitReason::None, false});
    else if (it != r.tasks.end() && c.op == Command::Op::Stop && it->state != TaskReportState::Exited)
      it->state = TaskReportState::Exited, it->why = ExitReason::Stopped;
    else if (it != r.tasks.end() && c.op == Command::Op::Forget)
      r.tasks.erase(it);
  }
  void event() {
    now += 0.01 * up_to(40);
    switch (up_to(12)) {
      case 0:
      case 1:
        return submit();
      case 2:
        if (Job* job = cluster->job("run-" + std::to_string(1 + up_to(jobs + 1))); job && up_to(3) == 0)
          cluster->put_job(job->spec, ++revision, true, now);
        return;
      case 3:
        for (const auto& id : cluster->finished_jobs()) {
          const Job& job = *cluster->job(id);
          cluster->outcome(
              id, job.cancelled || job.orphaned ? Cluster::Outcome::Cancelled : Cluster::Outcome::Done, now);
          cluster->forget_job(id);
        }
        return;
      case 4:
        if (Report* r = some_worker()) {
          switch (up_to(8)) {
            case 0:
              cluster->deleted({r->machine}, now);
              workers.erase(r->machine);
              fresh_worker();
              return;
            case 1:
              cluster->doom(r->machine, now);
              return;
            case 2:
              ++r->session, r->seq = 0, r->tasks.clear();
              return;
            default:
              now += 2;
              return;
          }
        }
        return;
      case 5:
      case 6: {
        auto batch = cluster->next_writes(50, true, now);
        if (!batch.empty()) cluster->written(batch, ++revision, now);
        for (const auto& name : cluster->with_orders()) {
          auto orders = cluster->take_orders(name, now);
          auto outcome = static_cast<Cluster::OrdersOutcome>(up_to(6) ? 0 : up_to(4));
          auto w = workers.find(name);
          if (w != workers.end() && outcome == Cluster::OrdersOutcome::Executed) {
            w->second.token = std::max(w->second.token, orders.token);
            for (const auto& c : orders.commands) obey(w->second, c);
          }
          cluster->orders_done(name, orders, outcome, now);
        }
        return;
      }
      case 7:
        cluster->tick(now);
        return;
      default:
        if (Report* r = some_worker()) report(*r);
    }
  }

  void compare_jobs() {
    const JobIndex& index = cluster->job_index();
    std::map<std::string, std::vector<const Job*>> by_team;
    std::size_t waiting = 0, promising = 0;
    std::optional<Priority> accelerators, lowest;
    for (const auto& [id, job] : cluster->jobs()) {
      by_team[job.spec.team].push_back(&job);
      bool waits = job.ready() && job.queued > 0;
      waiting += waits;
      EXPECT_EQ(index.waiting().count(const_cast<Job*>(&job)), waits) << id;
      promising +=
          job.promise == Job::Promise::Given || (job.promise == Job::Promise::Unknown && job.ready());
      if (job.ready() && job.spec.need.gpus > 0)
        accelerators = std::max(accelerators.value_or(job.priority), job.priority);
      if (!job.active.empty() && job.spec.kind != JobKind::Gang)
        lowest = std::min(lowest.value_or(job.priority), job.priority);
    }
    EXPECT_EQ(index.waiting().size(), waiting);
    EXPECT_EQ(index.promising().size(), promising);
    EXPECT_EQ(index.accelerator_users(), accelerators);
    EXPECT_EQ(index.lowest_stoppable(), lowest);
    for (const auto& team : config.teams) {
      auto& all = by_team[team.name];
      std::sort(all.begin(), all.end(), [](auto* a, auto* b) { return a->order < b->order; });
      Resources sum;
      std::size_t running[2] = {};
      for (const auto* job : all) {
        bool within = false;
        if (job->ready()) {
          for (int i = 0; i < job->spec.tasks; ++i) sum += job->spec.need;
          within = sum.cpus <= team.cpus && (team.gpus <= 0 || sum.gpus <= team.gpus);
        }
        EXPECT_EQ(job->indexed.guaranteed, within) << job->spec.id;
        if (!job->active.empty()) {
          ++running[within];
          EXPECT_EQ(index.running(team.name, within).count(const_cast<Job*>(job)), 1u) << job->spec.id;
        }
        guaranteed += within, beyond += !within;
      }
      for (bool within : {false, true}) EXPECT_EQ(index.running(team.name, within).size(), running[within]);
    }
  }
  void compare_room() {
    double free_gpus = 0, all_gpus = 0;
    std::map<const RoomIndex::Level*, std::vector<const Machine*>> members;
    for (const auto& [name, m] : cluster->machines()) {
      if (!m.up) continue;
      RoomState should = cluster->room_state(m, now);
      ASSERT_NE(m.filed.pool, nullptr) << name;
      EXPECT_EQ(m.filed.use, should.use) << name;
      EXPECT_EQ(m.filed.kept_for, should.kept_for) << name;
      if (should.use != Use::Out) free_gpus += m.free.gpus, all_gpus += m.size.gpus;
      kept += should.use == Use::Kept, doubtful += should.use == Use::Doubtful;
      EXPECT_EQ(cluster->room().kept_for(should.kept_for).count(const_cast<Machine*>(&m)),
                should.use == Use::Kept);
      bool levels = should.use == Use::Ready || should.use == Use::Doubtful;
      ASSERT_EQ(m.filed.level != nullptr, levels) << name;
      if (levels) {
        EXPECT_EQ(m.filed.levels, should.use == Use::Ready ? &m.filed.pool->ready : &m.filed.pool->doubtful);
        EXPECT_EQ(m.filed.level->machines.at(m.filed.position), &m);
        EXPECT_NEAR(m.filed.level->free.cpus, m.free.cpus, 1e-5) << name;
        EXPECT_NEAR(m.filed.level->free.gpus, m.free.gpus, 1e-5) << name;
        EXPECT_NEAR(m.filed.level->free.memory_gb, m.free.memory_gb, 1e-5) << name;
        members[m.filed.level].push_back(&m);
      }
      int lowest = -1, on_their_way_out = 0;
      for (const auto& [id, i] : m.tasks) {
        const Job& job = cluster->jobs().at(id);
        ++placed;
        if (job.active.at(i).stop)
          ++on_their_way_out;
        else if (job.spec.kind != JobKind::Gang)
          lowest =
              lowest < 0 ? static_cast<int>(job.priority) : std::min(lowest, static_cast<int>(job.priority));
      }
      stopping += on_their_way_out;
      EXPECT_EQ(m.filed.lowest, lowest) << name;
      EXPECT_EQ(m.stopping, on_their_way_out) << name;
      EXPECT_EQ(m.filed.pool->stopping.count(const_cast<Machine*>(&m)), on_their_way_out > 0) << name;
    }
    EXPECT_NEAR(cluster->room().free_gpus(), free_gpus, 1e-6);
    EXPECT_NEAR(cluster->room().all_gpus(), all_gpus, 1e-6);
    std::size_t levels = 0;
    for (const auto& [key, pool] : cluster->room().pools())
      levels += pool.ready.size() + pool.doubtful.size();
    EXPECT_EQ(levels, members.size());
    for (const auto& [level, machines] : members) {
      EXPECT_EQ(level->machines.size(), machines.size());
      double heat = 0;
      std::map<std::string, int> images;
      for (const auto* m : machines) {
        double slope = m->heat <= 0 ? std::max(0.0, m->heat_slope) : m->heat_slope;
        heat += m->heat + (now - m->last_heard) * slope;
        for (const auto& image : m->images) ++images[image];
      }
      EXPECT_NEAR(level->heat.at(now), heat, 1e-6);
      EXPECT_EQ((std::map<std::string, int>(level->images.begin(), level->images.end())), images);
    }
  }
};

TEST(Index, SaysWhatAWalkOverAllJobsAndMachinesSays) {
  int placed = 0, doubtful = 0, kept = 0, stopping = 0, guaranteed = 0, beyond = 0;
  for (unsigned seed = 1; seed <= 40 && !::testing::Test::HasFailure(); ++seed) {
    Chaos world(seed);
    for (int i = 0; i < 400 && !::testing::Test::HasFailure(); ++i) {
      SCOPED_TRACE("seed " + std::to_string(seed) + ", event " + std::to_string(i));
      world.event();
      world.compare_jobs();
      if (i % 3) continue;
      world.cluster->plan(world.now);
      world.compare_room();
      world.compare_jobs();
    }
    placed += world.placed, doubtful += world.doubtful, kept += world.kept, stopping += world.stopping;
    guaranteed += world.guaranteed, beyond += world.beyond;
  }
  // Each of the states was there to be compared.
  for (int seen : {placed, doubtful, kept, stopping, guaranteed, beyond}) EXPECT_GT(seen, 100);
}

}  // namespace
}  // namespace corkmux

// What is indexed of jobs and machines, compared with a walk over all of them after every one of many random
// events.
#include <gtest/gtest.h>

#include <random>

#include "scheduler.h"

namespace corkmux {
namespace {

using Use = MachineCapacity::Use;

struct Chaos {
  std::mt19937 rng;
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  std::map<std::string, Heartbeat> workers;
  std::uint64_t revision = 10;
  double now = 1;
  int jobs = 0, placed = 0, suspect = 0, kept = 0, stopping = 0, guaranteed = 0, beyond = 0;

  explicit Chaos(unsigned seed) : rng(seed) {
    config.zones = {"a", "b"};
    config.report_s = 1;
    config.guarantee_within = 2;
    config.teams = {{"x", 24, 90, 0, 0}, {"y", 30, 0, 4, 8}, {"z", 0, 0, 0, 0}};
    scheduler = std::make_unique<Scheduler>(config, 1, 0, seed);
    scheduler->set_catalog({{"plain", {16, 0, 64}, 5, 1, 1, 1, 10, {"a", "b"}},
                            {"gpu", {16, 4, 64}, 5, 1, 5, 2, 10, {"a", "b"}}});
    for (int i = 0; i < 8; ++i) fresh_worker();
  }
  int up_to(int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); }
  void fresh_worker() {
    Heartbeat r;
    r.machine = "n-" + std::to_string(++revision), r.address = "x", r.type = up_to(2) ? "plain" : "gpu";
    r.zone = up_to(2) ? "a" : "b", r.spot = up_to(4) == 0, r.worker_epoch = 1;
    workers[r.machine] = r;
  }
  Heartbeat* some_worker() {
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
    if (jobs > 1 && up_to(4) == 0) s.dependencies = {"run-" + std::to_string(1 + up_to(jobs - 1))};
    scheduler->put_job(s, ++revision, false, now);
  }
  void report(Heartbeat& r) {
    ++r.seq;
    for (auto& t : r.tasks) {
      if (t.state == TaskState::Exited) continue;
      int dice = up_to(20);
      if (dice == 0) t.state = TaskState::Exited, t.why = ExitReason::Error;
      if (dice == 1) t.state = TaskState::Exited, t.why = ExitReason::NoRoom;
      if (dice == 2) t.state = TaskState::Exited, t.why = ExitReason::Done;
      if (dice > 10) t.state = TaskState::Running;
    }
    auto result = scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, now);
    r.fencing_token = std::max(r.fencing_token, result.fencing_token);
    for (const auto& c : result.commands) obey(r, c);
    scheduler->answered(r.machine, now);
  }
  void obey(Heartbeat& r, const TaskCommand& c) {
    auto it = std::find_if(r.tasks.begin(), r.tasks.end(),
                           [&](const TaskStatus& t) { return t.job == c.job && t.index == c.index; });
    if (c.op == TaskCommand::Op::Start)
      r.tasks.push_back({c.job, c.index, c.attempt, TaskState::Fetching, ExitReason::None, false});
    else if (it != r.tasks.end() && c.op == TaskCommand::Op::Stop && it->state != TaskState::Exited)
      it->state = TaskState::Exited, it->why = ExitReason::Stopped;
    else if (it != r.tasks.end() && c.op == TaskCommand::Op::Forget)
      r.tasks.erase(it);
  }
  void event() {
    now += 0.01 * up_to(40);
    switch (up_to(12)) {
      case 0:
      case 1:
        return submit();
      case 2:
        if (Job* job = scheduler->job("run-" + std::to_string(1 + up_to(jobs + 1))); job && up_to(3) == 0)
          scheduler->put_job(job->spec, ++revision, true, now);
        return;
      case 3:
        for (const auto& id : scheduler->finished_jobs()) {
          const Job& job = *scheduler->job(id);
          scheduler->outcome(id,
                             job.cancelled || job.dependency_cancelled ? Scheduler::Outcome::Cancelled
                                                                       : Scheduler::Outcome::Done,
                             now);
          scheduler->forget_job(id);
        }
        return;
      case 4:
        if (Heartbeat* r = some_worker()) {
          switch (up_to(8)) {
            case 0:
              scheduler->deleted({r->machine}, now);
              workers.erase(r->machine);
              fresh_worker();
              return;
            case 1:
              scheduler->decommission(r->machine, now);
              return;
            case 2:
              ++r->worker_epoch, r->seq = 0, r->tasks.clear();
              return;
            default:
              now += 2;
              return;
          }
        }
        return;
      case 5:
      case 6: {
        auto batch = scheduler->next_writes(50, true, now);
        if (!batch.empty()) scheduler->written(batch, ++revision, now);
        for (const auto& name : scheduler->machines_with_commands()) {
          auto command_batch = scheduler->take_commands(name, now);
          auto outcome = static_cast<Scheduler::DispatchOutcome>(up_to(6) ? 0 : up_to(4));
          auto w = workers.find(name);
          if (w != workers.end() && outcome == Scheduler::DispatchOutcome::Executed) {
            w->second.fencing_token = std::max(w->second.fencing_token, command_batch.fencing_token);
            for (const auto& c : command_batch.commands) obey(w->second, c);
          }
          scheduler->dispatch_done(name, command_batch, outcome, now);
        }
        return;
      }
      case 7:
        scheduler->tick(now);
        return;
      default:
        if (Heartbeat* r = some_worker()) report(*r);
    }
  }

  void compare_jobs() {
    const JobIndex& index = scheduler->job_index();
    std::map<std::string, std::vector<const Job*>> by_team;
    std::size_t waiting = 0, promising = 0;
    std::optional<Priority> accelerators, lowest;
    for (const auto& [id, job] : scheduler->jobs()) {
      by_team[job.spec.team].push_back(&job);
      bool waits = job.ready() && job.queued > 0;
      waiting += waits;
      EXPECT_EQ(index.waiting().count(const_cast<Job*>(&job)), waits) << id;
      promising +=
          job.guarantee_admission == Job::GuaranteeAdmission::Granted || (job.guarantee_admission == Job::GuaranteeAdmission::Undecided && job.ready());
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
    std::map<const CapacityIndex::CapacityBucket*, std::vector<const Machine*>> members;
    for (const auto& [name, m] : scheduler->machines()) {
      if (!m.up) continue;
      MachineCapacity should = scheduler->machine_capacity(m, now);
      ASSERT_NE(m.index_entry.pool, nullptr) << name;
      EXPECT_EQ(m.index_entry.use, should.use) << name;
      EXPECT_EQ(m.index_entry.kept_for, should.kept_for) << name;
      if (should.use != Use::Out) free_gpus += m.free.gpus, all_gpus += m.size.gpus;
      kept += should.use == Use::Kept, suspect += should.use == Use::Suspect;
      EXPECT_EQ(scheduler->capacity_index().kept_for(should.kept_for).count(const_cast<Machine*>(&m)),
                should.use == Use::Kept);
      bool levels = should.use == Use::Ready || should.use == Use::Suspect;
      ASSERT_EQ(m.index_entry.level != nullptr, levels) << name;
      if (levels) {
        EXPECT_EQ(m.index_entry.levels,
                  should.use == Use::Ready ? &m.index_entry.pool->ready : &m.index_entry.pool->suspect);
        EXPECT_EQ(m.index_entry.level->machines.at(m.index_entry.position), &m);
        EXPECT_NEAR(m.index_entry.level->free.cpus, m.free.cpus, 1e-5) << name;
        EXPECT_NEAR(m.index_entry.level->free.gpus, m.free.gpus, 1e-5) << name;
        EXPECT_NEAR(m.index_entry.level->free.memory_gb, m.free.memory_gb, 1e-5) << name;
        members[m.index_entry.level].push_back(&m);
      }
      int lowest = -1, on_their_way_out = 0;
      for (const auto& [id, i] : m.tasks) {
        const Job& job = scheduler->jobs().at(id);
        ++placed;
        if (job.active.at(i).stop)
          ++on_their_way_out;
        else if (job.spec.kind != JobKind::Gang)
          lowest =
              lowest < 0 ? static_cast<int>(job.priority) : std::min(lowest, static_cast<int>(job.priority));
      }
      stopping += on_their_way_out;
      EXPECT_EQ(m.index_entry.lowest, lowest) << name;
      EXPECT_EQ(m.stopping, on_their_way_out) << name;
      EXPECT_EQ(m.index_entry.pool->stopping.count(const_cast<Machine*>(&m)), on_their_way_out > 0) << name;
    }
    EXPECT_NEAR(scheduler->capacity_index().free_gpus(), free_gpus, 1e-6);
    EXPECT_NEAR(scheduler->capacity_index().all_gpus(), all_gpus, 1e-6);
    std::size_t levels = 0;
    for (const auto& [key, pool] : scheduler->capacity_index().pools())
      levels += pool.ready.size() + pool.suspect.size();
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
  int placed = 0, suspect = 0, kept = 0, stopping = 0, guaranteed = 0, beyond = 0;
  for (unsigned seed = 1; seed <= 40 && !::testing::Test::HasFailure(); ++seed) {
    Chaos simulation(seed);
    for (int i = 0; i < 400 && !::testing::Test::HasFailure(); ++i) {
      SCOPED_TRACE("seed " + std::to_string(seed) + ", event " + std::to_string(i));
      simulation.event();
      simulation.compare_jobs();
      if (i % 3) continue;
      simulation.scheduler->schedule(simulation.now);
      simulation.compare_room();
      simulation.compare_jobs();
    }
    placed += simulation.placed, suspect += simulation.suspect, kept += simulation.kept,
        stopping += simulation.stopping;
    guaranteed += simulation.guaranteed, beyond += simulation.beyond;
  }
  // Each of the states was there to be compared.
  for (int seen : {placed, suspect, kept, stopping, guaranteed, beyond}) EXPECT_GT(seen, 100);
}

}  // namespace
}  // namespace corkmux

// Compares the indexes of jobs and machines with a scan of all jobs and machines after each of many random
// events.
#include <gtest/gtest.h>

#include <random>

#include "scheduler.h"

namespace corkmux {
namespace {

using Use = MachineCapacity::Use;

struct RandomEvents {
  std::mt19937 rng;
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  std::map<std::string, Heartbeat> workers;
  std::uint64_t revision = 10;
  double now = 1;
  int jobs = 0, placed = 0, suspect = 0, nominated = 0, stopping = 0, guaranteed = 0, beyond_guarantee = 0;

  explicit RandomEvents(unsigned seed) : rng(seed) {
    config.zones = {"a", "b"};
    config.report_s = 1;
    config.guarantee_within = 2;
    config.teams = {{"x", 24, 90, 0, 0}, {"y", 30, 0, 4, 8}, {"z", 0, 0, 0, 0}};
    scheduler = std::make_unique<Scheduler>(config, 1, 0, seed);
    scheduler->set_catalog({{"plain", {16, 0, 64}, 5, 1, 1, 1, 10, {"a", "b"}},
                            {"gpu", {16, 4, 64}, 5, 1, 5, 2, 10, {"a", "b"}}});
    for (int i = 0; i < 8; ++i) add_worker();
  }
  int up_to(int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); }
  void add_worker() {
    Heartbeat heartbeat;
    heartbeat.machine = "n-" + std::to_string(++revision);
    heartbeat.address = "address-of-" + heartbeat.machine;
    heartbeat.type = up_to(2) ? "plain" : "gpu";
    heartbeat.zone = up_to(2) ? "a" : "b";
    heartbeat.spot = up_to(4) == 0;
    heartbeat.worker_epoch = 1;
    workers[heartbeat.machine] = heartbeat;
  }
  Heartbeat* some_worker() {
    if (workers.empty()) return nullptr;
    auto it = workers.begin();
    std::advance(it, up_to(static_cast<int>(workers.size())));
    return &it->second;
  }
  void submit() {
    JobSpec spec;
    spec.id = "run-" + std::to_string(++jobs);
    spec.team = std::string(1, "xyzq"[up_to(4)]);
    spec.kind = static_cast<JobKind>(up_to(2));
    spec.priority = static_cast<Priority>(up_to(4));
    spec.tasks = 1 + up_to(5);
    spec.one_zone = spec.kind == JobKind::Gang && up_to(2);
    spec.need = {1.0 + up_to(9), up_to(3) == 0 ? 1.0 : 0.0, 1.0 + up_to(30)};
    spec.image = "i" + std::to_string(up_to(6));
    spec.image_gb = 2;
    spec.spot = up_to(2);
    spec.checkpoint_s = up_to(2) * 10;
    spec.save_s = 1;
    if (jobs > 1 && up_to(4) == 0) spec.dependencies = {"run-" + std::to_string(1 + up_to(jobs - 1))};
    scheduler->upsert_job(spec, ++revision, false, now);
  }
  static void exit(TaskStatus& task, ExitReason why) {
    task.state = TaskState::Exited;
    task.why = why;
  }
  void send_heartbeat(Heartbeat& heartbeat) {
    ++heartbeat.seq;
    for (auto& task : heartbeat.tasks) {
      if (task.state == TaskState::Exited) continue;
      int draw = up_to(20);
      if (draw == 0) exit(task, ExitReason::Error);
      if (draw == 1) exit(task, ExitReason::NoCapacity);
      if (draw == 2) exit(task, ExitReason::Done);
      if (draw > 10) task.state = TaskState::Running;
    }
    auto result = scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, now);
    heartbeat.fencing_token = std::max(heartbeat.fencing_token, result.fencing_token);
    for (const auto& command : result.commands) execute(heartbeat, command);
    scheduler->heartbeat_answered(heartbeat.machine, now);
  }
  void execute(Heartbeat& heartbeat, const TaskCommand& command) {
    auto it = std::find_if(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const TaskStatus& task) {
      return task.job == command.job && task.index == command.index;
    });
    if (command.op == TaskCommand::Op::Start)
      heartbeat.tasks.push_back(
          {command.job, command.index, command.attempt, TaskState::Fetching, ExitReason::None, false});
    else if (it != heartbeat.tasks.end() && command.op == TaskCommand::Op::Stop &&
             it->state != TaskState::Exited)
      exit(*it, ExitReason::Stopped);
    else if (it != heartbeat.tasks.end() && command.op == TaskCommand::Op::Forget)
      heartbeat.tasks.erase(it);
  }
  void event() {
    now += 0.01 * up_to(40);
    switch (up_to(12)) {
      case 0:
      case 1:
        return submit();
      case 2:
        if (Job* job = scheduler->job("run-" + std::to_string(1 + up_to(jobs + 1))); job && up_to(3) == 0)
          scheduler->upsert_job(job->spec, ++revision, true, now);
        return;
      case 3:
        for (const auto& id : scheduler->finished_jobs()) {
          const Job& job = *scheduler->job(id);
          scheduler->record_outcome(id,
                                    job.cancelled || job.dependency_cancelled ? Scheduler::Outcome::Cancelled
                                                                              : Scheduler::Outcome::Done,
                                    now);
          scheduler->forget_job(id);
        }
        return;
      case 4:
        if (Heartbeat* heartbeat = some_worker()) {
          switch (up_to(8)) {
            case 0:
              scheduler->machines_deleted({heartbeat->machine}, now);
              workers.erase(heartbeat->machine);
              add_worker();
              return;
            case 1:
              scheduler->decommission(heartbeat->machine, now);
              return;
            case 2:
              ++heartbeat->worker_epoch;
              heartbeat->seq = 0;
              heartbeat->tasks.clear();
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
        if (!batch.empty()) scheduler->records_written(batch, ++revision, now);
        for (const auto& name : scheduler->machines_with_commands()) {
          auto command_batch = scheduler->take_commands(name, now);
          auto outcome = static_cast<Scheduler::DispatchOutcome>(up_to(6) ? 0 : up_to(4));
          auto worker = workers.find(name);
          if (worker != workers.end() && outcome == Scheduler::DispatchOutcome::Executed) {
            worker->second.fencing_token =
                std::max(worker->second.fencing_token, command_batch.fencing_token);
            for (const auto& command : command_batch.commands) execute(worker->second, command);
          }
          scheduler->dispatch_done(name, command_batch, outcome, now);
        }
        return;
      }
      case 7:
        scheduler->tick(now);
        return;
      default:
        if (Heartbeat* heartbeat = some_worker()) send_heartbeat(*heartbeat);
    }
  }

  void compare_jobs() {
    const JobIndex& index = scheduler->job_index();
    std::map<std::string, std::vector<const Job*>> by_team;
    std::size_t waiting = 0, admission_candidates = 0;
    std::optional<Priority> accelerators, lowest;
    for (const auto& [id, job] : scheduler->jobs()) {
      by_team[job.spec.team].push_back(&job);
      bool waits = job.ready() && job.queued > 0;
      waiting += waits;
      EXPECT_EQ(index.waiting().count(const_cast<Job*>(&job)), waits) << id;
      admission_candidates += job.guarantee_admission == Job::GuaranteeAdmission::Granted ||
                              (job.guarantee_admission == Job::GuaranteeAdmission::Undecided && job.ready());
      if (job.ready() && job.spec.need.gpus > 0)
        accelerators = std::max(accelerators.value_or(job.priority), job.priority);
      if (!job.active.empty() && job.spec.kind != JobKind::Gang)
        lowest = std::min(lowest.value_or(job.priority), job.priority);
    }
    EXPECT_EQ(index.waiting().size(), waiting);
    EXPECT_EQ(index.admission_candidates().size(), admission_candidates);
    EXPECT_EQ(index.highest_accelerator_priority(), accelerators);
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
        guaranteed += within;
        beyond_guarantee += !within;
      }
      for (bool within : {false, true}) EXPECT_EQ(index.running(team.name, within).size(), running[within]);
    }
  }
  void compare_free_capacity() {
    double free_gpus = 0, all_gpus = 0;
    std::map<const CapacityIndex::CapacityBucket*, std::vector<const Machine*>> members;
    for (const auto& [name, machine] : scheduler->machines()) {
      if (!machine.is_up()) continue;
      MachineCapacity expected = scheduler->machine_capacity(machine, now);
      ASSERT_NE(machine.index_entry.pool, nullptr) << name;
      EXPECT_EQ(machine.index_entry.use, expected.use) << name;
      EXPECT_EQ(machine.index_entry.nominated_job, expected.nominated_job) << name;
      if (expected.use != Use::Out) {
        free_gpus += machine.free.gpus;
        all_gpus += machine.size.gpus;
      }
      nominated += expected.use == Use::Nominated;
      suspect += expected.use == Use::Suspect;
      EXPECT_EQ(scheduler->capacity_index()
                    .nominated_for(expected.nominated_job)
                    .count(const_cast<Machine*>(&machine)),
                expected.use == Use::Nominated);
      bool in_bucket = expected.use == Use::Ready || expected.use == Use::Suspect;
      ASSERT_EQ(machine.index_entry.bucket != nullptr, in_bucket) << name;
      if (in_bucket) {
        EXPECT_EQ(machine.index_entry.buckets, expected.use == Use::Ready
                                                   ? &machine.index_entry.pool->ready
                                                   : &machine.index_entry.pool->suspect);
        EXPECT_EQ(machine.index_entry.bucket->machines.at(machine.index_entry.position), &machine);
        EXPECT_NEAR(machine.index_entry.bucket->free.cpus, machine.free.cpus, 1e-5) << name;
        EXPECT_NEAR(machine.index_entry.bucket->free.gpus, machine.free.gpus, 1e-5) << name;
        EXPECT_NEAR(machine.index_entry.bucket->free.memory_gb, machine.free.memory_gb, 1e-5) << name;
        members[machine.index_entry.bucket].push_back(&machine);
      }
      std::optional<Priority> lowest;
      int stopping_tasks = 0;
      for (const auto& [id, i] : machine.tasks) {
        const Job& job = scheduler->jobs().at(id);
        ++placed;
        if (job.active.at(i).stop)
          ++stopping_tasks;
        else if (job.spec.kind != JobKind::Gang)
          lowest = std::min(lowest.value_or(job.priority), job.priority);
      }
      stopping += stopping_tasks;
      EXPECT_EQ(machine.index_entry.lowest_stoppable.has_value(), lowest.has_value()) << name;
      if (lowest) {
        EXPECT_EQ(machine.index_entry.lowest_stoppable, static_cast<std::size_t>(*lowest)) << name;
      }
      EXPECT_EQ(machine.stopping, stopping_tasks) << name;
      EXPECT_EQ(machine.index_entry.pool->stopping.count(const_cast<Machine*>(&machine)), stopping_tasks > 0)
          << name;
    }
    EXPECT_NEAR(scheduler->capacity_index().free_gpus(), free_gpus, 1e-6);
    EXPECT_NEAR(scheduler->capacity_index().all_gpus(), all_gpus, 1e-6);
    std::size_t buckets = 0;
    for (const auto& [key, pool] : scheduler->capacity_index().pools())
      buckets += pool.ready.size() + pool.suspect.size();
    EXPECT_EQ(buckets, members.size());
    for (const auto& [bucket, machines] : members) {
      EXPECT_EQ(bucket->machines.size(), machines.size());
      double heat = 0;
      std::map<std::string, int> images;
      for (const auto* machine : machines) {
        double slope =
            machine->load.heat <= 0 ? std::max(0.0, machine->load.heat_slope) : machine->load.heat_slope;
        heat += machine->load.heat + (now - machine->worker.last_heartbeat_at) * slope;
        for (const auto& image : machine->images) ++images[image];
      }
      EXPECT_NEAR(bucket->heat.at(now), heat, 1e-6);
      EXPECT_EQ((std::map<std::string, int>(bucket->images.begin(), bucket->images.end())), images);
    }
  }
};

TEST(IndexConsistency, MatchesAScanOfAllJobsAndMachines) {
  int placed = 0, suspect = 0, nominated = 0, stopping = 0, guaranteed = 0, beyond_guarantee = 0;
  for (unsigned seed = 1; seed <= 40 && !::testing::Test::HasFailure(); ++seed) {
    RandomEvents events(seed);
    for (int i = 0; i < 400 && !::testing::Test::HasFailure(); ++i) {
      SCOPED_TRACE("seed " + std::to_string(seed) + ", event " + std::to_string(i));
      events.event();
      events.compare_jobs();
      if (i % 3) continue;
      events.scheduler->schedule(events.now);
      events.compare_free_capacity();
      events.compare_jobs();
    }
    placed += events.placed;
    suspect += events.suspect;
    nominated += events.nominated;
    stopping += events.stopping;
    guaranteed += events.guaranteed;
    beyond_guarantee += events.beyond_guarantee;
  }
  // The events reached each of these states often enough to compare it.
  for (int seen : {placed, suspect, nominated, stopping, guaranteed, beyond_guarantee}) EXPECT_GT(seen, 100);
}

}  // namespace
}  // namespace corkmux

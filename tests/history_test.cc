// Drives the scheduler through seeded random histories. Leaders crash, or lose their lease and continue for a
// while; workers hang, are partitioned or stay silent; commands and store writes arrive late or never. A
// simple model of the workers and the invariants checks every start.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <tuple>

#include "scheduler.h"

namespace corkmux {
namespace {

constexpr double kStep = 0.1;

struct ModelTask {
  std::uint64_t attempt = 0;
  TaskState state = TaskState::Fetching;
  ExitReason why = ExitReason::None;
  double until = 0;  // end of the fetch or of the run
  double peers_gone_deadline = -1, waiting_since = 0;
};

struct ModelWorker {
  std::string name, zone, type;
  bool spot = false, exists = true;
  std::uint64_t worker_epoch = 1, seq = 0, fencing_token = 0;
  double lease_started_at = 0, next_heartbeat = 0, hung_until = -1, cut_until = -1;
  bool heartbeat_in_flight = false, failing = false, reaches_lease_proxy = false;
  int incarnation = 1;
  bool answered = true;  // since it restarted
  std::map<std::pair<std::string, int>, ModelTask> tasks;
  std::set<std::tuple<std::string, int, std::uint64_t>> attempts;  // job, index, attempt: not cleared yet
};

/// A controller: its scheduler state, and whether a store write is unanswered.
struct ModelController {
  std::unique_ptr<Scheduler> scheduler;
  std::uint64_t term = 0;
  double last_store_contact = 0;
  bool store_reachable = true, alive = true;
  bool writing = false;
};

/// Events that a history may contain besides the usual faults.
struct HistoryEvents {
  /// Controllers and machines are back within a second, a machine with its name and address, but without
  /// epochs, tokens and tasks; copies of commands that were executed, and of heartbeats, arrive later.
  bool fast_restarts_and_copies = false;
};

class History {
 public:
  explicit History(unsigned seed, HistoryEvents events = {}) : with_(events), rng_(seed) {
    config_.report_s = 2.5, config_.lease_s = 10, config_.gang_wait_s = 15, config_.gang_peer_s = 4;
    config_.cancel_s = 25, config_.value_kb = 1, config_.record_kb = 0.5, config_.zones = {"a", "b"};
    config_.teams = {{"x", 20, 40, 0, 0}, {"y", 20, 100, 0, 8}};
    types_ = {{"plain", {16, 0, 64}, 20, 1, 1, 1, 10, {"a", "b"}},
              {"gpu", {16, 4, 64}, 20, 1, 5, 2, 10, {"a", "b"}}};
    for (int i = 0; i < 8; ++i) {
      ModelWorker w;
      w.name = "n-" + std::to_string(i);
      w.zone = i % 2 ? "a" : "b";
      w.type = i % 3 ? "plain" : "gpu";
      w.spot = i == 5;
      w.next_heartbeat = uniform(0, 2.5);
      workers_[w.name] = w;
    }
    upgraded_at_ = uniform(-60, 200);
    elect();
  }

  void run(double faulty_s, double recovery_s) {
    for (; now_ < faulty_s + recovery_s; now_ += kStep) {
      bool faulty_phase = now_ < faulty_s;
      while (!events_.empty() && events_.begin()->first <= now_) {
        auto fn = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        fn();
        if (::testing::Test::HasFatalFailure()) return;
      }
      if (faulty_phase) inject_faults();
      if (!faulty_phase)
        for (auto& [name, w] : workers_) w.failing = false;
      if (now_ < faulty_s * 0.8 && chance(0.008)) submit();
      for (auto& [name, w] : workers_) step(w);
      check();
      if (::testing::Test::HasFatalFailure()) return;
      if (controllers_.back()->alive) lead(*controllers_.back(), faulty_phase);
      if (controllers_.size() > 1)
        lead(*controllers_[controllers_.size() - 2], faulty_phase);  // deposed, has not noticed yet
    }
  }

  /// Jobs that should have finished and have not, with their state; none at the end of a correct run.
  std::vector<std::string> unfinished() {
    std::vector<std::string> out;
    for (const auto& [id, j] : jobs_) {
      if (j.finished || j.cancelled || j.dependency_cancelled_at) continue;
      const Job* job = controllers_.back()->scheduler->job(id);
      std::string text =
          id + ": " + (job ? job->why + ", active " + std::to_string(job->active.size()) : "unknown");
      text += ", tasks " + std::to_string(j.spec.tasks) + " of " + std::to_string(j.spec.need.cpus) +
              " CPUs, " + std::to_string(j.spec.need.gpus) + " GPUs, zone " + j.spec.zone.value_or("any");
      if (job)
        for (const auto& [i, a] : job->active)
          text += "; " + std::to_string(i) + " stage " + std::to_string(static_cast<int>(a.stage)) + " on " +
                  a.machine + " since " + std::to_string(a.since) + (a.stop ? " stopping" : "");
      if (job)
        for (const auto& [name, m] : controllers_.back()->scheduler->machines())
          text += "; " + name + " " + m.type + " " + m.zone + (m.spot ? " spot" : "") + " free " +
                  std::to_string(m.free.cpus) +
                  (controllers_.back()->scheduler->usable(m, now_) ? "" : " unusable");
      out.push_back(text);
    }
    return out;
  }
  int starts = 0, finished = 0, failovers = 0, lost_leases = 0, dependency_starts = 0,
      dependents_of_cancelled = 0, machine_restarts = 0, copies = 0, copies_executed = 0;

 private:
  struct ModelJob {
    JobSpec spec;
    std::uint64_t revision = 0;
    bool cancelled = false, finished = false;  // finished: its end is stored
    double cancelled_at = 0;  // when the cancel was acknowledged, of this job or of a dependency
    std::optional<double> dependency_cancelled_at;
    std::set<int> done;
  };
  struct StoredRecord {
    nlohmann::json value;
    std::uint64_t revision = 0;
  };

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng_); }
  bool chance(double p) { return uniform(0, 1) < p; }
  void at(double t, std::function<void()> fn) { events_.emplace(t, std::move(fn)); }

  // ------------------------------------------------------------ faults
  void inject_faults() {
    if (with_.fast_restarts_and_copies && chance(0.01)) restart(random_worker());
    if (chance(0.004)) random_worker().hung_until = now_ + uniform(2, 30);
    if (chance(0.004)) {
      auto& w = random_worker();
      w.cut_until = now_ + uniform(2, 60);
      w.reaches_lease_proxy = chance(0.5);
    }
    if (chance(0.002)) random_worker().failing = true;
    if (chance(0.01)) random_worker().failing = false;
    if (chance(0.006) && controllers_.back()->alive) {  // crash
      controllers_.back()->alive = controllers_.back()->store_reachable = false;
      controllers_.back()->last_store_contact = -1e9;
      at(now_ + (with_.fast_restarts_and_copies && chance(0.5) ? uniform(0.1, 1) : uniform(3, 8)),
         [this] { elect(); });
    } else if (chance(0.003) && controllers_.back()->alive &&
               controllers_.back()->store_reachable) {  // loses only access to the state store
      ModelController* h = controllers_.back().get();
      h->store_reachable = false;
      h->last_store_contact = now_;
      for (auto& [name, w] : workers_)  // the next leader does not reach some workers for a while
        if (chance(0.3)) former_leader_only_until_[name] = now_ + uniform(5, 40);
      at(now_ + uniform(3, 6), [this, h] {
        if (controllers_.back().get() == h) elect();
      });
    }
    if (chance(0.01) && !jobs_.empty()) {
      auto it = jobs_.begin();
      std::advance(it, static_cast<long>(rng_() % jobs_.size()));
      ModelJob& j = it->second;
      if (!j.finished && !j.cancelled && chance(0.5)) {
        cancel_with_dependents(it->first);
        j.revision = ++revision_;
        ModelController* h = controllers_.back().get();
        std::string id = it->first;
        at(now_ + 0.05, [this, h, id] {
          if (h->alive && h->store_reachable)
            h->scheduler->upsert_job(jobs_[id].spec, jobs_[id].revision, true, now_);
        });
      }
    }
  }
  /// The machine ends with all that is on it, and its worker begins anew at once.
  void restart(ModelWorker& w) {
    w.tasks.clear();
    w.attempts.clear();
    w.worker_epoch = 1, w.seq = 0, w.fencing_token = 0;
    w.lease_started_at = now_;
    w.next_heartbeat = now_ + uniform(0.05, 1);
    w.heartbeat_in_flight = false;
    w.hung_until = -1;
    w.answered = false;
    ++w.incarnation;
    ++machine_restarts;
  }
  /// Copies of an executed batch arrive once more, up to minutes later.
  void send_copies(const std::string& name, const CommandBatch& command_batch) {
    for (int i = static_cast<int>(rng_() % 4); i > 0; --i)
      at(now_ + (chance(0.5) ? uniform(0.1, 5) : uniform(0, 60)), [this, name, command_batch] {
        ++copies;
        copies_executed += execute_late(name, command_batch);
      });
  }
  /// Cancels a job with all its direct and indirect dependents.
  void cancel_with_dependents(const std::string& id) {
    jobs_[id].cancelled = true;
    jobs_[id].cancelled_at = now_;
    for (auto& [other, j] : jobs_)
      if (!j.cancelled && !j.dependency_cancelled_at &&
          std::count(j.spec.dependencies.begin(), j.spec.dependencies.end(), id))
        cancel_dependent(other);
  }
  void cancel_dependent(const std::string& id) {
    jobs_[id].dependency_cancelled_at = now_;
    for (auto& [other, j] : jobs_)
      if (!j.cancelled && !j.dependency_cancelled_at &&
          std::count(j.spec.dependencies.begin(), j.spec.dependencies.end(), id))
        cancel_dependent(other);
  }
  ModelWorker& random_worker() {
    auto it = workers_.begin();
    std::advance(it, static_cast<long>(rng_() % workers_.size()));
    return it->second;
  }

  void submit() {
    JobSpec s;
    s.id = "run-" + std::to_string(jobs_.size());
    s.team = chance(0.5) ? "x" : "y";
    s.kind = chance(0.4) ? JobKind::Gang : JobKind::Array;
    s.tasks = s.kind == JobKind::Gang ? 1 + static_cast<int>(rng_() % 4) : 1 + static_cast<int>(rng_() % 30);
    s.need = {static_cast<double>(2 + rng_() % 8), 0, 4};
    if (chance(0.2)) s.need.gpus = 1;
    // Every gang fits the machines of one zone, so that each job can end.
    if (s.kind == JobKind::Gang) s.need.cpus = s.need.gpus > 0 ? 4 : std::min(s.need.cpus, 8.0);
    s.image = "i" + std::to_string(rng_() % 3);
    s.image_gb = 2;
    s.one_zone = chance(0.5);
    s.spread = !s.one_zone && s.tasks > 1 && chance(0.2);
    s.spot = chance(0.5);
    if (!s.spread && chance(0.2)) s.zone = chance(0.5) ? "a" : "b";
    s.checkpoint_s = chance(0.5) ? 5 : 0;
    s.save_s = 1;
    // Pipelines: deep, wide, and with dependencies in any state.
    for (int i = static_cast<int>(rng_() % 4); i > 0 && !jobs_.empty() && chance(0.6); --i) {
      auto other =
          "run-" + std::to_string(jobs_.size() - 1 - rng_() % std::min<std::size_t>(jobs_.size(), 5));
      if (!std::count(s.dependencies.begin(), s.dependencies.end(), other)) s.dependencies.push_back(other);
    }
    ModelJob& j = jobs_[s.id];
    j.spec = s;
    for (const auto& other : s.dependencies)
      if (jobs_[other].cancelled || jobs_[other].dependency_cancelled_at) j.dependency_cancelled_at = now_;
    j.revision = ++revision_;
    ModelController& h = *controllers_.back();
    if (h.alive && h.store_reachable) h.scheduler->upsert_job(s, j.revision, false, now_);
  }

  // ------------------------------------------------------------ controllers
  void elect() {
    auto h = std::make_unique<ModelController>();
    h->term = ++term_;
    h->last_store_contact = now_;
    h->scheduler = std::make_unique<Scheduler>(config_, h->term, now_, rng_());
    h->scheduler->set_catalog(types_);
    for (auto& [id, j] : jobs_)
      if (!j.finished) h->scheduler->upsert_job(j.spec, j.revision, j.cancelled, now_);
    // Loads both record formats, V2 first, as a leader does. From upgraded_at_ on all controllers read V2.
    for (const char* prefix : {"t/", "s/"})
      for (auto& [key, s] : store_)
        if (key.rfind(prefix, 0) == 0) h->scheduler->load_record(key, s.value, s.revision);
    if (now_ > upgraded_at_) h->scheduler->use_v2_records();
    h->scheduler->records_loaded();
    controllers_.push_back(std::move(h));
    ++failovers;
  }

  void lead(ModelController& h, bool faulty_phase) {
    bool current = &h == controllers_.back().get();
    if (current && h.store_reachable) h.last_store_contact = now_;
    Scheduler& scheduler = *h.scheduler;
    if (!h.alive) return;
    scheduler.tick(now_);
    if (h.store_reachable && chance(0.3)) check_lease_proxy(scheduler);
    if (h.store_reachable && current) scheduler.schedule(now_);
    // Reads the outcomes of dependencies from the state store, as the leader does.
    if (h.store_reachable && current && chance(0.3))
      for (const auto& id : std::set<std::string>(scheduler.unknown_dependencies()))
        if (const ModelJob& j = jobs_.at(id); j.finished)
          scheduler.record_outcome(id,
                                   j.cancelled || j.dependency_cancelled_at ? Scheduler::Outcome::Cancelled
                                                                            : Scheduler::Outcome::Done,
                                   now_);
    scheduler.take_notes();
    // machines_with_commands() must name every machine with commands to send.
    auto ready = scheduler.machines_with_commands();
    for (const auto& [name, m] : scheduler.machines())
      EXPECT_TRUE(!scheduler.has_commands(m) || std::count(ready.begin(), ready.end(), name)) << name;
    for (const auto& name : ready) dispatch_commands(h, name, faulty_phase);
    if (!h.writing) write(h, faulty_phase);
    if (current && h.store_reachable)
      for (const auto& id : scheduler.finished_jobs()) finish(scheduler, id);
    for (const auto& name : scheduler.decommissioning()) {
      if (!current || !h.store_reachable || !chance(0.2)) continue;
      // The cloud deletes the machine and acknowledges that; a new machine replaces it.
      ModelWorker w;
      if (auto old = workers_.find(name); old != workers_.end()) {
        w.zone = old->second.zone, w.type = old->second.type, w.spot = old->second.spot;
        workers_.erase(old);
      }
      scheduler.machines_deleted({name}, now_);
      if (w.zone.empty()) continue;
      w.name = "n-" + std::to_string(100 + ++machines_created_);
      w.lease_started_at = now_;
      w.next_heartbeat = now_ + 1;
      workers_[w.name] = w;
    }
  }

  /// Expires leases as the leader does: a worker counts as dead only if no lease proxy's record, read after
  /// the worker's lease is over, names it.
  void check_lease_proxy(Scheduler& scheduler) {
    for (const auto& name : scheduler.machines_with_expired_leases(now_)) {
      auto k = proxy_renewed_at_.find(name);
      if (k != proxy_renewed_at_.end()) scheduler.renewed_by_proxy(name, k->second + config_.lease_s / 2);
      auto still = scheduler.machines_with_expired_leases(now_);
      if (std::find(still.begin(), still.end(), name) != still.end()) scheduler.lease_expired(name, now_);
    }
  }

  void write(ModelController& h, bool faulty_phase) {
    if (now_ > upgraded_at_) h.scheduler->use_v2_records();
    auto batch = h.scheduler->next_writes(4, chance(0.5), now_);
    for (const auto& w : batch) {
      ASSERT_TRUE(w.format == RecordFormat::V1 || w.value.dump().size() <= 1024 * config_.record_kb) << w.key;
    }
    if (batch.empty()) return;
    h.writing = true;
    ModelController* controller = &h;
    // Atomic, and conditioned on the leader's record and each task record's revision, as the real transaction
    // is.
    auto apply = [this, controller, batch]() -> std::uint64_t {
      if (controller != controllers_.back().get()) return 0;
      for (const auto& w : batch) {
        auto it = store_.find(w.key);
        if ((it == store_.end() ? 0 : it->second.revision) != w.revision) return 0;
      }
      ++revision_;
      for (const auto& w : batch) store_[w.key] = {w.value, revision_};
      return revision_;
    };
    if (!h.store_reachable) {
      at(now_ + 0.5,
         [controller, batch] { controller->writing = false, controller->scheduler->write_failed(batch); });
      return;
    }
    bool unanswered = faulty_phase && chance(0.1);
    if (unanswered) {  // applied now, later or never; the writer only gets a timeout
      if (chance(0.7)) at(now_ + (chance(0.5) ? 0.1 : uniform(1, 20)), [apply] { apply(); });
      at(now_ + 2,
         [controller, batch] { controller->writing = false, controller->scheduler->write_failed(batch); });
      return;
    }
    at(now_ + 0.1, [this, controller, batch, apply] {
      controller->writing = false;
      if (!controller->alive) return;
      if (auto revision = apply()) {
        controller->scheduler->records_written(batch, revision, now_);
      } else {
        controller->scheduler->write_failed(batch);
        for (const auto& w : batch) {
          auto it = store_.find(w.key);
          controller->scheduler->set_record_revision(w, it == store_.end() ? 0 : it->second.revision);
        }
      }
    });
  }

  void finish(Scheduler& scheduler, const std::string& id) {
    ModelJob& j = jobs_[id];
    bool dependency_cancelled = scheduler.job(id)->dependency_cancelled;
    if (dependency_cancelled && !j.cancelled) {
      ASSERT_TRUE(j.dependency_cancelled_at) << "went_back " << id;
      j.finished = true;
      ++dependents_of_cancelled;
    } else if (!j.cancelled) {
      ASSERT_EQ(static_cast<int>(j.done.size()), j.spec.tasks) << "not_done " << id;
      j.finished = true;
      ++finished;
    }
    for (const auto& key : scheduler.record_keys(*scheduler.job(id)))
      if (chance(0.7)) store_.erase(key);  // a later leader removes the rest
    if (j.cancelled) j.finished = true;
    if (chance(0.8))  // if the answer got lost, the outcome is only found in the store
      scheduler.record_outcome(
          id, j.cancelled || dependency_cancelled ? Scheduler::Outcome::Cancelled : Scheduler::Outcome::Done,
          now_);
    scheduler.forget_job(id);
  }

  void dispatch_commands(ModelController& h, const std::string& name, bool faulty_phase) {
    auto command_batch = h.scheduler->take_commands(name, now_);
    ModelController* controller = &h;
    using Outcome = Scheduler::DispatchOutcome;
    auto w = workers_.find(name);
    bool reachable = w != workers_.end() && now_ > w->second.cut_until && now_ > w->second.hung_until;
    bool former_leader_only =
        now_ < former_leader_only_until_[name] && controller == controllers_.back().get();
    bool lost = !reachable || former_leader_only || (faulty_phase && chance(0.12));
    if (lost) {
      // Delivered late or never; the caller only gets a timeout.
      if (chance(0.8))
        at(now_ + (chance(0.5) ? uniform(2.5, 6) : uniform(0, 60)),
           [this, name, command_batch] { execute_late(name, command_batch); });
      at(now_ + 3, [this, controller, name, command_batch] {
        if (controller->alive)
          controller->scheduler->dispatch_done(name, command_batch, Outcome::Unanswered, now_);
      });
      return;
    }
    at(now_ + 0.05, [this, controller, name, command_batch] {
      bool done = execute(name, command_batch);
      if (done && with_.fast_restarts_and_copies) send_copies(name, command_batch);
      auto heartbeat = workers_.contains(name) ? snapshot(workers_[name]) : Heartbeat{};
      at(now_ + 0.05, [this, controller, name, command_batch, done, heartbeat] {
        if (!controller->alive) return;
        controller->scheduler->dispatch_done(name, command_batch, done ? Outcome::Executed : Outcome::Refused,
                                             now_);
        if (!heartbeat.machine.empty())
          controller->scheduler->on_heartbeat(heartbeat, Scheduler::Channel::CommandBatch, now_);
      });
    });
  }

  // ------------------------------------------------------------ workers
  bool execute(const std::string& name, const CommandBatch& command_batch) {
    auto it = workers_.find(name);
    if (it == workers_.end()) return false;
    ModelWorker& w = it->second;
    if (now_ <= w.hung_until) {  // executed when the worker resumes
      at(w.hung_until + 0.01, [this, name, command_batch] { execute(name, command_batch); });
      return false;
    }
    expire(w);
    if (command_batch.fencing_token < w.fencing_token || command_batch.worker_epoch != w.worker_epoch)
      return false;
    w.fencing_token = command_batch.fencing_token;
    for (const auto& c : command_batch.commands) command(w, c);
    return true;
  }

  /// A worker that has restarted and has no answer yet has no token, so it obeys any command with its epoch.
  /// No controller can prevent that; such tasks are stopped with the second answer (late_launch_test).
  bool execute_late(const std::string& name, const CommandBatch& command_batch) {
    auto w = workers_.find(name);
    return w != workers_.end() && w->second.answered && execute(name, command_batch);
  }

  void command(ModelWorker& w, const TaskCommand& c) {
    std::pair<std::string, int> key{c.job, c.index};
    auto it = w.tasks.find(key);
    if (c.op == TaskCommand::Op::Forget) {
      if (it != w.tasks.end() && it->second.attempt == c.attempt && it->second.state == TaskState::Exited)
        w.tasks.erase(it);
      w.attempts.erase({c.job, c.index, c.attempt});
    } else if (c.op == TaskCommand::Op::Stop) {
      if (it != w.tasks.end() && it->second.attempt == c.attempt && it->second.state != TaskState::Exited) {
        it->second.state = TaskState::Exited;
        it->second.why = ExitReason::Stopped;
      }
    } else {
      if (it != w.tasks.end() && it->second.attempt == c.attempt) return;
      // An exited attempt stays known until it is cleared, also once a later attempt has begun.
      if (!w.attempts.insert({c.job, c.index, c.attempt}).second) return;
      ModelTask t;
      t.attempt = c.attempt;
      t.until = now_ + uniform(0.5, 4);
      if (it != w.tasks.end() && it->second.state != TaskState::Exited) FAIL() << "busy " << c.job;
      Resources free = w.type == "gpu" ? Resources{16, 4, 64} : Resources{16, 0, 64};
      for (const auto& [k, other] : w.tasks)
        if (other.state != TaskState::Exited) free -= jobs_[k.first].spec.need;
      if (!jobs_[c.job].spec.need.fits(free)) t.state = TaskState::Exited, t.why = ExitReason::NoCapacity;
      w.tasks[key] = t;
    }
  }

  void expire(ModelWorker& w) {
    if (now_ - w.lease_started_at <= config_.lease_s) return;
    lost_leases += !w.tasks.empty();
    w.tasks.clear();
    w.attempts.clear();
    ++w.worker_epoch;
    w.lease_started_at = now_;
  }

  bool on_machine(const ModelTask& t) const {
    return t.state != TaskState::Exited && t.state != TaskState::Fetching;
  }

  void start_task(ModelWorker& w, const std::string& id, int index, ModelTask& t) {
    // The task starts at this moment: all invariants of a start must hold.
    ModelJob& j = jobs_[id];
    ++starts;
    int tasks_in_zone = 0;
    std::set<std::string> zones{w.zone};
    Resources team;
    for (auto& [name, other] : workers_)
      for (auto& [key, ot] : other.tasks) {
        if (!on_machine(ot)) continue;
        if (now_ - other.lease_started_at > config_.lease_s)
          continue;  // its lease has expired, step() has not run yet
        if (jobs_[key.first].spec.team == j.spec.team) team += jobs_[key.first].spec.need;
        if (key.first != id) continue;
        ASSERT_NE(key.second, index) << "ran_twice " << id << "/" << index << " on " << w.name << " and "
                                     << name << " at " << now_;
        zones.insert(other.zone);
        tasks_in_zone += other.zone == w.zone;
      }
    team += j.spec.need;
    for (const auto& limit : config_.teams)
      if (limit.name == j.spec.team) {
        ASSERT_LE(team.cpus, limit.cpus_max + 1e-6) << "quota at " << now_;
        if (limit.gpus_max > 0) {
          ASSERT_LE(team.gpus, limit.gpus_max + 1e-6) << "quota at " << now_;
        }
      }
    if (j.spec.zone) {
      ASSERT_EQ(w.zone, *j.spec.zone) << "wrong_place";
    }
    if (w.spot) {
      ASSERT_TRUE(j.spec.spot) << "wrong_place";
    }
    if (j.spec.one_zone) {
      ASSERT_EQ(zones.size(), 1u) << "wrong_place " << id << " at " << now_;
    }
    if (j.spec.spread) {
      ASSERT_LE(tasks_in_zone + 1, (j.spec.tasks + 1) / 2) << "wrong_place " << id;
    }
    if (j.cancelled) {
      ASSERT_LE(now_, j.cancelled_at + config_.cancel_s) << "ran_cancelled " << id;
    }
    for (const auto& other : j.spec.dependencies) {
      ASSERT_TRUE(jobs_[other].finished && !jobs_[other].cancelled && !jobs_[other].dependency_cancelled_at)
          << "too_early " << id << " before " << other;
      ++dependency_starts;
    }
    t.state = TaskState::Waiting;
    t.waiting_since = now_;
  }

  void step(ModelWorker& w) {
    if (now_ <= w.hung_until) return;
    expire(w);
    for (auto& [key, t] : w.tasks) {
      if (t.state == TaskState::Fetching && now_ >= t.until) {
        start_task(w, key.first, key.second, t);
        if (::testing::Test::HasFatalFailure()) return;
      }
      ModelJob& j = jobs_[key.first];
      bool gang = j.spec.kind == JobKind::Gang;
      int members_present = 0;
      if (gang)
        for (auto& [n, o] : workers_)
          for (auto& [k, ot] : o.tasks)
            members_present +=
                k.first == key.first && ot.attempt == t.attempt && on_machine(ot) && now_ > o.hung_until;
      if (t.state == TaskState::Waiting) {
        if (j.done.contains(key.second)) {
          t.state = TaskState::Exited, t.why = ExitReason::Done;
        } else if (!gang || members_present == j.spec.tasks) {
          // All members start in the same moment.
          double until = now_ + uniform(2, 25);
          for (auto& [n, o] : workers_)
            for (auto& [k, ot] : o.tasks)
              if (k.first == key.first && ot.attempt == t.attempt && ot.state == TaskState::Waiting &&
                  (gang || &ot == &t))
                ot.state = TaskState::Running, ot.until = until;
        } else if (now_ - t.waiting_since > config_.gang_wait_s) {
          t.state = TaskState::Exited, t.why = ExitReason::Alone;
        }
      }
      if (t.state == TaskState::Running) {
        if (gang && members_present < j.spec.tasks && !j.done.contains(key.second)) {
          if (t.peers_gone_deadline < 0) t.peers_gone_deadline = now_ + config_.gang_peer_s;
          if (now_ > t.peers_gone_deadline) t.state = TaskState::Exited, t.why = ExitReason::PeersGone;
        } else if (w.failing) {
          t.state = TaskState::Exited, t.why = ExitReason::Error;
        } else if (now_ >= t.until || j.done.contains(key.second)) {
          t.state = TaskState::Exited, t.why = ExitReason::Done;
          if (gang)
            for (int i = 0; i < j.spec.tasks; ++i) j.done.insert(i);
          j.done.insert(key.second);
        }
      }
    }
    if (now_ >= w.next_heartbeat && !w.heartbeat_in_flight) heartbeat(w);
  }

  void check() {
    // While a leader reaches the state store, dependents of a cancelled job end in time.
    const ModelController& h = *controllers_.back();
    if (!h.alive || !h.store_reachable) led_since_ = now_;
    for (const auto& [id, j] : jobs_) {
      if (!j.dependency_cancelled_at || j.cancelled || j.finished) continue;
      ASSERT_LE(now_, std::max(*j.dependency_cancelled_at, led_since_) + config_.cancel_s)
          << "orphaned " << id;
    }
    for (auto& [name, w] : workers_) {
      if (now_ - w.lease_started_at > config_.lease_s) continue;
      for (auto& [key, t] : w.tasks) {
        const ModelJob& j = jobs_[key.first];
        if (j.cancelled && on_machine(t)) {
          ASSERT_LE(now_, j.cancelled_at + config_.cancel_s)
              << "ran_cancelled " << key.first << " on " << name;
        }
      }
    }
  }

  Heartbeat snapshot(ModelWorker& w) {
    Heartbeat r;
    r.machine = w.name, r.address = "address-of-" + w.name, r.type = w.type, r.zone = w.zone, r.spot = w.spot;
    r.worker_epoch = w.worker_epoch, r.seq = ++w.seq, r.fencing_token = w.fencing_token;
    for (auto& [key, t] : w.tasks)
      r.tasks.push_back({key.first, key.second, t.attempt, t.state, t.why, false});
    return r;
  }

  void heartbeat(ModelWorker& w) {
    w.heartbeat_in_flight = true;
    w.next_heartbeat = now_ + config_.report_s * uniform(0.75, 1.25);
    auto r = snapshot(w);
    double sent = now_;
    std::string name = w.name;
    bool cut = now_ <= w.cut_until;
    // A worker may still send heartbeats to a deposed leader.
    ModelController* to = controllers_.back().get();
    if (controllers_.size() > 1 && (chance(0.3) || now_ < former_leader_only_until_[name]))
      to = controllers_[controllers_.size() - 2].get();
    auto deliver = [this, to, r]() -> Scheduler::HeartbeatResult {
      if (!to->alive || now_ - to->last_store_contact > config_.keepalive()) return {true, {}, 0};
      auto result = to->scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, now_);
      if (!result.superseded) to->scheduler->heartbeat_answered(r.machine, now_);
      return result;
    };
    if (cut && w.reaches_lease_proxy) {
      // Partitioned from the leader, but a lease proxy answers and renews its record with each answer.
      proxy_renewed_at_[name] = now_;
      w.heartbeat_in_flight = false;
      w.lease_started_at = now_;
      for (auto& [key, t] : w.tasks)
        if (jobs_[key.first].cancelled && t.state != TaskState::Exited)
          t.state = TaskState::Exited, t.why = ExitReason::Stopped;
      return;
    }
    if (cut) {
      if (chance(0.7)) at(now_ + uniform(0, 40), [deliver] { deliver(); });  // late; the answer is lost
      at(now_ + 4, [this, name, incarnation = w.incarnation] {
        auto it = workers_.find(name);
        if (it != workers_.end() && it->second.incarnation == incarnation)
          it->second.heartbeat_in_flight = false;
      });
      return;
    }
    if (with_.fast_restarts_and_copies && chance(0.2))  // a copy, of which nobody gets the answer
      at(now_ + uniform(0, 60), [this, r] {
        ModelController& leader = *controllers_.back();
        if (leader.alive) leader.scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, now_);
      });
    at(now_ + 0.05, [this, deliver, name, sent, worker_epoch = r.worker_epoch, incarnation = w.incarnation] {
      auto result = deliver();
      bool lost = chance(0.02);
      at(now_ + (lost          ? 4
                 : chance(0.2) ? uniform(0.05, 3.5)
                               : 0.05),
         [this, name, sent, worker_epoch, incarnation, result, lost] {
           auto it = workers_.find(name);
           if (it == workers_.end() || it->second.incarnation != incarnation) return;
           ModelWorker& w = it->second;
           w.heartbeat_in_flight = false;
           if (now_ <= w.hung_until) return;
           expire(w);
           if (lost || result.superseded || worker_epoch != w.worker_epoch ||
               result.fencing_token < w.fencing_token)
             return;
           w.fencing_token = result.fencing_token;
           w.answered = true;
           w.lease_started_at = sent;
           for (const auto& c : result.commands) command(w, c);
         });
    });
  }

  HistoryEvents with_;
  std::mt19937 rng_;
  SchedulerConfig config_;
  std::vector<MachineType> types_;
  double now_ = 0, led_since_ = 0;
  double upgraded_at_ = 0;  // from then on every controller reads format V2
  std::uint64_t term_ = 0, revision_ = 0;
  int machines_created_ = 0;
  std::map<std::string, ModelWorker> workers_;
  std::map<std::string, ModelJob> jobs_;
  std::map<std::string, double> former_leader_only_until_;
  std::map<std::string, double> proxy_renewed_at_;  // machine -> when a lease proxy last wrote its record
  std::map<std::string, StoredRecord> store_;
  std::vector<std::unique_ptr<ModelController>> controllers_;
  std::multimap<double, std::function<void()>> events_;
};

TEST(History, RandomFaultsViolateNoInvariantAndEveryJobEnds) {
  int starts = 0, finished = 0, failovers = 0, lost = 0, dependency_starts = 0, dependents_of_cancelled = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    History h(seed);
    h.run(240, 900);
    if (HasFatalFailure()) FAIL() << "seed " << seed;
    EXPECT_EQ(h.unfinished(), std::vector<std::string>{}) << "seed " << seed;
    starts += h.starts, finished += h.finished, failovers += h.failovers, lost += h.lost_leases;
    dependency_starts += h.dependency_starts, dependents_of_cancelled += h.dependents_of_cancelled;
  }
  // The histories must contain enough of each event that they are meant to test.
  EXPECT_GT(starts, 10000);
  EXPECT_GT(finished, 600);
  EXPECT_GT(failovers, 200);
  EXPECT_GT(lost, 50);
  EXPECT_GT(dependency_starts, 500);
  EXPECT_GT(dependents_of_cancelled, 50);
}

// Guards against tasks that run twice or after their cancellation: a worker that no longer knows an attempt
// starts it again if a copy of the launch reaches it. It may have cleared the attempt, begun a new epoch, or
// restarted.
TEST(History, CopiesOfLaunchesAfterFastRestartsStartNothing) {
  int starts = 0, restarts = 0, copies = 0, copies_executed = 0;
  for (unsigned seed = 1; seed <= 100; ++seed) {
    History h(seed, {.fast_restarts_and_copies = true});
    h.run(240, 900);
    if (HasFatalFailure()) FAIL() << "seed " << seed;
    EXPECT_EQ(h.unfinished(), std::vector<std::string>{}) << "seed " << seed;
    starts += h.starts, restarts += h.machine_restarts;
    copies += h.copies, copies_executed += h.copies_executed;
  }
  EXPECT_GT(starts, 5000);
  EXPECT_GT(restarts, 1000);
  EXPECT_GT(copies, 5000);
  EXPECT_GT(copies_executed, 100) << "by workers that still know the attempts";
}

}  // namespace
}  // namespace corkmux

// The leader's book driven through seeded random histories: leaders crash or lose their grant and go on for a
// while, workers hang, are cut off, lie silent, orders and store writes come late or never. A slow plain
// model of workers and rules watches every start.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <set>

#include "scheduler.h"

namespace corkmux {
namespace {

constexpr double kStep = 0.1;

struct ModelTask {
  std::uint64_t attempt = 0;
  TaskState state = TaskState::Fetching;
  ExitReason why = ExitReason::None;
  double until = 0;  // end of the fetch or of the run
  double mates_gone_at = -1, waiting_since = 0;
};

struct ModelWorker {
  std::string name, zone, type;
  bool spot = false, exists = true;
  std::uint64_t worker_epoch = 1, seq = 0, fencing_token = 0;
  double lease_from = 0, next_report = 0, hung_until = -1, cut_until = -1;
  bool report_in_flight = false, sick = false, kept_by_another = false;
  std::map<std::pair<std::string, int>, ModelTask> tasks;
};

/// One controller's view: a book, and the store writes it has not heard of.
struct Holder {
  std::unique_ptr<Scheduler> scheduler;
  std::uint64_t term = 0;
  double contact = 0;
  bool has_store = true, alive = true;
  bool writing = false;
};

class History {
 public:
  explicit History(unsigned seed) : rng_(seed) {
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
      w.next_report = uniform(0, 2.5);
      workers_[w.name] = w;
    }
    upgraded_at_ = uniform(-60, 200);
    elect();
  }

  void run(double turmoil_s, double calm_s) {
    for (; now_ < turmoil_s + calm_s; now_ += kStep) {
      bool turmoil = now_ < turmoil_s;
      while (!events_.empty() && events_.begin()->first <= now_) {
        auto fn = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        fn();
        if (::testing::Test::HasFatalFailure()) return;
      }
      if (turmoil) trouble();
      if (!turmoil)
        for (auto& [name, w] : workers_) w.sick = false;
      if (now_ < turmoil_s * 0.8 && chance(0.008)) submit();
      for (auto& [name, w] : workers_) step(w);
      check();
      if (::testing::Test::HasFatalFailure()) return;
      if (holders_.back()->alive) lead(*holders_.back(), turmoil);
      if (holders_.size() > 1) lead(*holders_[holders_.size() - 2], turmoil);  // a deposed one, not yet aware
    }
  }

  /// Jobs that should be over; one whose whole gang no longer fits the machines there are does not count.
  std::vector<std::string> unfinished() {
    std::vector<std::string> out;
    for (const auto& [id, j] : jobs_) {
      if (j.finished || j.cancelled || j.orphan_since) continue;
      const Job* job = holders_.back()->scheduler->job(id);
      std::string text =
          id + ": " + (job ? job->why + ", active " + std::to_string(job->active.size()) : "unknown");
      text += ", tasks " + std::to_string(j.spec.tasks) + " of " + std::to_string(j.spec.need.cpus) +
              " CPUs, " + std::to_string(j.spec.need.gpus) + " GPUs, zone " + j.spec.zone.value_or("any");
      if (job)
        for (const auto& [i, a] : job->active)
          text += "; " + std::to_string(i) + " stage " + std::to_string(static_cast<int>(a.stage)) + " on " +
                  a.machine + " since " + std::to_string(a.since) + (a.stop ? " stopping" : "");
      if (job)
        for (const auto& [name, m] : holders_.back()->scheduler->machines())
          text += "; " + name + " " + m.type + " " + m.zone + (m.spot ? " spot" : "") + " free " +
                  std::to_string(m.free.cpus) +
                  (holders_.back()->scheduler->usable(m, now_) ? "" : " unusable");
      out.push_back(text);
    }
    return out;
  }
  int starts = 0, finished = 0, takeovers = 0, lost_leases = 0, after_others = 0, dependents_of_cancelled = 0;

 private:
  struct ModelJob {
    JobSpec spec;
    std::uint64_t revision = 0;
    bool cancelled = false, finished = false;  // finished: its end is stored
    double cancelled_at = 0;                   // when its user was told, or that of a job it needs
    std::optional<double> orphan_since;
    std::set<int> done;
  };
  struct StoredShard {
    nlohmann::json value;
    std::uint64_t revision = 0;
  };

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng_); }
  bool chance(double p) { return uniform(0, 1) < p; }
  void at(double t, std::function<void()> fn) { events_.emplace(t, std::move(fn)); }

  // ------------------------------------------------------------ troubles
  void trouble() {
    if (chance(0.004)) pick().hung_until = now_ + uniform(2, 30);
    if (chance(0.004)) {
      auto& w = pick();
      w.cut_until = now_ + uniform(2, 60);
      w.kept_by_another = chance(0.5);
    }
    if (chance(0.002)) pick().sick = true;
    if (chance(0.01)) pick().sick = false;
    if (chance(0.006) && holders_.back()->alive) {  // crash
      holders_.back()->alive = holders_.back()->has_store = false;
      holders_.back()->contact = -1e9;
      at(now_ + uniform(3, 8), [this] { elect(); });
    } else if (chance(0.003) && holders_.back()->alive &&
               holders_.back()->has_store) {  // loses only the store
      Holder* h = holders_.back().get();
      h->has_store = false;
      h->contact = now_;
      for (auto& [name, w] : workers_)  // some are beyond the reach of the next leader for a while
        if (chance(0.3)) old_only_until_[name] = now_ + uniform(5, 40);
      at(now_ + uniform(3, 6), [this, h] {
        if (holders_.back().get() == h) elect();
      });
    }
    if (chance(0.01) && !jobs_.empty()) {
      auto it = jobs_.begin();
      std::advance(it, static_cast<long>(rng_() % jobs_.size()));
      ModelJob& j = it->second;
      if (!j.finished && !j.cancelled && chance(0.5)) {
        cancel_with_dependents(it->first);
        j.revision = ++revision_;
        Holder* h = holders_.back().get();
        std::string id = it->first;
        at(now_ + 0.05, [this, h, id] {
          if (h->alive && h->has_store)
            h->scheduler->upsert_job(jobs_[id].spec, jobs_[id].revision, true, now_);
        });
      }
    }
  }
  /// Plainly: whatever needs it, and what needs that, is of no use any more.
  void cancel_with_dependents(const std::string& id) {
    jobs_[id].cancelled = true;
    jobs_[id].cancelled_at = now_;
    for (auto& [other, j] : jobs_)
      if (!j.cancelled && !j.orphan_since &&
          std::count(j.spec.dependencies.begin(), j.spec.dependencies.end(), id))
        orphan(other);
  }
  void orphan(const std::string& id) {
    jobs_[id].orphan_since = now_;
    for (auto& [other, j] : jobs_)
      if (!j.cancelled && !j.orphan_since &&
          std::count(j.spec.dependencies.begin(), j.spec.dependencies.end(), id))
        orphan(other);
  }
  ModelWorker& pick() {
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
    // Pipelines: deep, wide, over jobs in any state.
    for (int i = static_cast<int>(rng_() % 4); i > 0 && !jobs_.empty() && chance(0.6); --i) {
      auto other =
          "run-" + std::to_string(jobs_.size() - 1 - rng_() % std::min<std::size_t>(jobs_.size(), 5));
      if (!std::count(s.dependencies.begin(), s.dependencies.end(), other)) s.dependencies.push_back(other);
    }
    ModelJob& j = jobs_[s.id];
    j.spec = s;
    for (const auto& other : s.dependencies)
      if (jobs_[other].cancelled || jobs_[other].orphan_since) j.orphan_since = now_;
    j.revision = ++revision_;
    Holder& h = *holders_.back();
    if (h.alive && h.has_store) h.scheduler->upsert_job(s, j.revision, false, now_);
  }

  // ------------------------------------------------------------ controllers
  void elect() {
    auto h = std::make_unique<Holder>();
    h->term = ++term_;
    h->contact = now_;
    h->scheduler = std::make_unique<Scheduler>(config_, h->term, now_, rng_());
    h->scheduler->set_catalog(types_);
    for (auto& [id, j] : jobs_)
      if (!j.finished) h->scheduler->upsert_job(j.spec, j.revision, j.cancelled, now_);
    // Both forms, the second first, as a leader reads them; from some moment on all controllers read it.
    for (const char* prefix : {"t/", "s/"})
      for (auto& [key, s] : store_)
        if (key.rfind(prefix, 0) == 0) h->scheduler->load_record(key, s.value, s.revision);
    if (now_ > upgraded_at_) h->scheduler->use_v2_records();
    h->scheduler->records_loaded();
    holders_.push_back(std::move(h));
    ++takeovers;
  }

  void lead(Holder& h, bool turmoil) {
    bool current = &h == holders_.back().get();
    if (current && h.has_store) h.contact = now_;
    Scheduler& scheduler = *h.scheduler;
    if (!h.alive) return;
    scheduler.tick(now_);
    if (h.has_store && chance(0.3)) ask_keeper(scheduler);
    if (h.has_store && current) scheduler.schedule(now_);
    // As the leader does: how an awaited job ended is read from the store.
    if (h.has_store && current && chance(0.3))
      for (const auto& id : std::set<std::string>(scheduler.unknown_dependencies()))
        if (const ModelJob& j = jobs_.at(id); j.finished)
          scheduler.record_outcome(
              id, j.cancelled || j.orphan_since ? Scheduler::Outcome::Cancelled : Scheduler::Outcome::Done,
              now_);
    scheduler.take_notes();
    // What the book says of its own accord must be all there is to send.
    auto ready = scheduler.machines_with_commands();
    for (const auto& [name, m] : scheduler.machines())
      EXPECT_TRUE(!scheduler.has_commands(m) || std::count(ready.begin(), ready.end(), name)) << name;
    for (const auto& name : ready) order(h, name, turmoil);
    if (!h.writing) write(h, turmoil);
    if (current && h.has_store)
      for (const auto& id : scheduler.finished_jobs()) finish(scheduler, id);
    for (const auto& name : scheduler.decommissioning()) {
      if (!current || !h.has_store || !chance(0.2)) continue;
      // The cloud deletes and says so; a new machine takes the place.
      ModelWorker w;
      if (auto old = workers_.find(name); old != workers_.end()) {
        w.zone = old->second.zone, w.type = old->second.type, w.spot = old->second.spot;
        workers_.erase(old);
      }
      scheduler.machines_deleted({name}, now_);
      if (w.zone.empty()) continue;
      w.name = "n-" + std::to_string(100 + ++made_);
      w.lease_from = now_;
      w.next_report = now_ + 1;
      workers_[w.name] = w;
    }
  }

  /// As the leader does: a worker counts as dead only if no keeper's record, read after its lease is over,
  /// names it.
  void ask_keeper(Scheduler& scheduler) {
    for (const auto& name : scheduler.machines_with_expired_leases(now_)) {
      auto k = kept_.find(name);
      if (k != kept_.end()) scheduler.renewed_by_proxy(name, k->second + config_.lease_s / 2);
      auto still = scheduler.machines_with_expired_leases(now_);
      if (std::find(still.begin(), still.end(), name) != still.end()) scheduler.lease_expired(name, now_);
    }
  }

  void write(Holder& h, bool turmoil) {
    if (now_ > upgraded_at_) h.scheduler->use_v2_records();
    auto batch = h.scheduler->next_writes(4, chance(0.5), now_);
    for (const auto& w : batch) {
      ASSERT_TRUE(w.format == RecordFormat::V1 || w.value.dump().size() <= 1024 * config_.record_kb) << w.key;
    }
    if (batch.empty()) return;
    h.writing = true;
    Holder* raw = &h;
    // Atomic and conditioned on the leader's record and each shard's stamp, as the real transaction is.
    auto apply = [this, raw, batch]() -> std::uint64_t {
      if (raw != holders_.back().get()) return 0;
      for (const auto& w : batch) {
        auto it = store_.find(w.key);
        if ((it == store_.end() ? 0 : it->second.revision) != w.revision) return 0;
      }
      ++revision_;
      for (const auto& w : batch) store_[w.key] = {w.value, revision_};
      return revision_;
    };
    if (!h.has_store) {
      at(now_ + 0.5, [raw, batch] { raw->writing = false, raw->scheduler->write_failed(batch); });
      return;
    }
    bool unanswered = turmoil && chance(0.1);
    if (unanswered) {  // applied now, later or never; the writer is only told that nobody answered
      if (chance(0.7)) at(now_ + (chance(0.5) ? 0.1 : uniform(1, 20)), [apply] { apply(); });
      at(now_ + 2, [raw, batch] { raw->writing = false, raw->scheduler->write_failed(batch); });
      return;
    }
    at(now_ + 0.1, [this, raw, batch, apply] {
      raw->writing = false;
      if (!raw->alive) return;
      if (auto revision = apply()) {
        raw->scheduler->records_written(batch, revision, now_);
      } else {
        raw->scheduler->write_failed(batch);
        for (const auto& w : batch) {
          auto it = store_.find(w.key);
          raw->scheduler->set_record_revision(w, it == store_.end() ? 0 : it->second.revision);
        }
      }
    });
  }

  void finish(Scheduler& scheduler, const std::string& id) {
    ModelJob& j = jobs_[id];
    bool dependency_cancelled = scheduler.job(id)->dependency_cancelled;
    if (dependency_cancelled && !j.cancelled) {
      ASSERT_TRUE(j.orphan_since) << "went_back " << id;
      j.finished = true;
      ++dependents_of_cancelled;
    } else if (!j.cancelled) {
      ASSERT_EQ(static_cast<int>(j.done.size()), j.spec.tasks) << "not_done " << id;
      j.finished = true;
      ++finished;
    }
    for (const auto& key : scheduler.record_keys(*scheduler.job(id)))
      if (chance(0.7)) store_.erase(key);  // the rest is left to a later leader
    if (j.cancelled) j.finished = true;
    if (chance(0.8))  // an end whose answer got lost is only found in the store
      scheduler.record_outcome(
          id, j.cancelled || dependency_cancelled ? Scheduler::Outcome::Cancelled : Scheduler::Outcome::Done,
          now_);
    scheduler.forget_job(id);
  }

  void order(Holder& h, const std::string& name, bool turmoil) {
    auto command_batch = h.scheduler->take_commands(name, now_);
    Holder* raw = &h;
    using Outcome = Scheduler::DispatchOutcome;
    auto w = workers_.find(name);
    bool reachable = w != workers_.end() && now_ > w->second.cut_until && now_ > w->second.hung_until;
    bool old_only = now_ < old_only_until_[name] && raw == holders_.back().get();
    bool lost = !reachable || old_only || (turmoil && chance(0.12));
    if (lost) {
      // Held back and delivered late, or never; the caller only sees its time-out.
      if (chance(0.8))
        at(now_ + (chance(0.5) ? uniform(2.5, 6) : uniform(0, 60)),
           [this, name, command_batch] { execute(name, command_batch); });
      at(now_ + 3, [this, raw, name, command_batch] {
        if (raw->alive) raw->scheduler->dispatch_done(name, command_batch, Outcome::Unanswered, now_);
      });
      return;
    }
    at(now_ + 0.05, [this, raw, name, command_batch] {
      bool done = execute(name, command_batch);
      auto heartbeat = workers_.contains(name) ? snapshot(workers_[name]) : Heartbeat{};
      at(now_ + 0.05, [this, raw, name, command_batch, done, heartbeat] {
        if (!raw->alive) return;
        raw->scheduler->dispatch_done(name, command_batch, done ? Outcome::Executed : Outcome::Refused, now_);
        if (!heartbeat.machine.empty())
          raw->scheduler->on_heartbeat(heartbeat, Scheduler::Channel::CommandBatch, now_);
      });
    });
  }

  // ------------------------------------------------------------ workers
  bool execute(const std::string& name, const CommandBatch& command_batch) {
    auto it = workers_.find(name);
    if (it == workers_.end()) return false;
    ModelWorker& w = it->second;
    if (now_ <= w.hung_until) {  // executed when it resumes
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

  void command(ModelWorker& w, const TaskCommand& c) {
    std::pair<std::string, int> key{c.job, c.index};
    auto it = w.tasks.find(key);
    if (c.op == TaskCommand::Op::Forget) {
      if (it != w.tasks.end() && it->second.attempt == c.attempt && it->second.state == TaskState::Exited)
        w.tasks.erase(it);
    } else if (c.op == TaskCommand::Op::Stop) {
      if (it != w.tasks.end() && it->second.attempt == c.attempt && it->second.state != TaskState::Exited) {
        it->second.state = TaskState::Exited;
        it->second.why = ExitReason::Stopped;
      }
    } else {
      if (it != w.tasks.end() && it->second.attempt == c.attempt) return;
      ModelTask t;
      t.attempt = c.attempt;
      t.until = now_ + uniform(0.5, 4);
      if (it != w.tasks.end() && it->second.state != TaskState::Exited) FAIL() << "busy " << c.job;
      Resources room = w.type == "gpu" ? Resources{16, 4, 64} : Resources{16, 0, 64};
      for (const auto& [k, other] : w.tasks)
        if (other.state != TaskState::Exited) room -= jobs_[k.first].spec.need;
      if (!jobs_[c.job].spec.need.fits(room)) t.state = TaskState::Exited, t.why = ExitReason::NoRoom;
      w.tasks[key] = t;
    }
  }

  void expire(ModelWorker& w) {
    if (now_ - w.lease_from <= config_.lease_s) return;
    lost_leases += !w.tasks.empty();
    w.tasks.clear();
    ++w.worker_epoch;
    w.lease_from = now_;
  }

  bool on_machine(const ModelTask& t) const {
    return t.state != TaskState::Exited && t.state != TaskState::Fetching;
  }

  void image_there(ModelWorker& w, const std::string& id, int index, ModelTask& t) {
    // The rules, plainly: this is the moment at which a task starts.
    ModelJob& j = jobs_[id];
    ++starts;
    int here = 0;
    std::set<std::string> zones{w.zone};
    Resources team;
    for (auto& [name, other] : workers_)
      for (auto& [key, ot] : other.tasks) {
        if (!on_machine(ot)) continue;
        if (now_ - other.lease_from > config_.lease_s) continue;  // dead by its lease, not yet stepped
        if (jobs_[key.first].spec.team == j.spec.team) team += jobs_[key.first].spec.need;
        if (key.first != id) continue;
        ASSERT_NE(key.second, index) << "ran_twice " << id << "/" << index << " on " << w.name << " and "
                                     << name << " at " << now_;
        zones.insert(other.zone);
        here += other.zone == w.zone;
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
      ASSERT_LE(here + 1, (j.spec.tasks + 1) / 2) << "wrong_place " << id;
    }
    if (j.cancelled) {
      ASSERT_LE(now_, j.cancelled_at + config_.cancel_s) << "ran_cancelled " << id;
    }
    for (const auto& other : j.spec.dependencies) {
      ASSERT_TRUE(jobs_[other].finished && !jobs_[other].cancelled && !jobs_[other].orphan_since)
          << "too_early " << id << " before " << other;
      ++after_others;
    }
    t.state = TaskState::Waiting;
    t.waiting_since = now_;
  }

  void step(ModelWorker& w) {
    if (now_ <= w.hung_until) return;
    expire(w);
    for (auto& [key, t] : w.tasks) {
      if (t.state == TaskState::Fetching && now_ >= t.until) {
        image_there(w, key.first, key.second, t);
        if (::testing::Test::HasFatalFailure()) return;
      }
      ModelJob& j = jobs_[key.first];
      bool gang = j.spec.kind == JobKind::Gang;
      int mates = 0;
      if (gang)
        for (auto& [n, o] : workers_)
          for (auto& [k, ot] : o.tasks)
            mates += k.first == key.first && ot.attempt == t.attempt && on_machine(ot) && now_ > o.hung_until;
      if (t.state == TaskState::Waiting) {
        if (j.done.contains(key.second)) {
          t.state = TaskState::Exited, t.why = ExitReason::Done;
        } else if (!gang || mates == j.spec.tasks) {
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
        if (gang && mates < j.spec.tasks && !j.done.contains(key.second)) {
          if (t.mates_gone_at < 0) t.mates_gone_at = now_ + config_.gang_peer_s;
          if (now_ > t.mates_gone_at) t.state = TaskState::Exited, t.why = ExitReason::PeersGone;
        } else if (w.sick) {
          t.state = TaskState::Exited, t.why = ExitReason::Error;
        } else if (now_ >= t.until || j.done.contains(key.second)) {
          t.state = TaskState::Exited, t.why = ExitReason::Done;
          if (gang)
            for (int i = 0; i < j.spec.tasks; ++i) j.done.insert(i);
          j.done.insert(key.second);
        }
      }
    }
    if (now_ >= w.next_report && !w.report_in_flight) heartbeat(w);
  }

  void check() {
    // While a leader with the store is there, what needs a cancelled job is over in time.
    const Holder& h = *holders_.back();
    if (!h.alive || !h.has_store) led_since_ = now_;
    for (const auto& [id, j] : jobs_) {
      if (!j.orphan_since || j.cancelled || j.finished) continue;
      ASSERT_LE(now_, std::max(*j.orphan_since, led_since_) + config_.cancel_s) << "orphaned " << id;
    }
    for (auto& [name, w] : workers_) {
      if (now_ - w.lease_from > config_.lease_s) continue;
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
    r.machine = w.name, r.address = "x", r.type = w.type, r.zone = w.zone, r.spot = w.spot;
    r.worker_epoch = w.worker_epoch, r.seq = ++w.seq, r.fencing_token = w.fencing_token;
    for (auto& [key, t] : w.tasks)
      r.tasks.push_back({key.first, key.second, t.attempt, t.state, t.why, false});
    return r;
  }

  void heartbeat(ModelWorker& w) {
    w.report_in_flight = true;
    w.next_report = now_ + config_.report_s * uniform(0.75, 1.25);
    auto r = snapshot(w);
    double sent = now_;
    std::string name = w.name;
    bool cut = now_ <= w.cut_until;
    // A worker may still be with a deposed holder.
    Holder* to = holders_.back().get();
    if (holders_.size() > 1 && (chance(0.3) || now_ < old_only_until_[name]))
      to = holders_[holders_.size() - 2].get();
    auto deliver = [this, to, r]() -> Scheduler::HeartbeatResult {
      if (!to->alive || now_ - to->contact > config_.keepalive()) return {true, {}, 0};
      auto result = to->scheduler->on_heartbeat(r, Scheduler::Channel::Heartbeat, now_);
      if (!result.superseded) to->scheduler->heartbeat_answered(r.machine, now_);
      return result;
    };
    if (cut && w.kept_by_another) {
      // Cut off from the leader, but a keeper answers; its record is renewed with each answer.
      kept_[name] = now_;
      w.report_in_flight = false;
      w.lease_from = now_;
      for (auto& [key, t] : w.tasks)
        if (jobs_[key.first].cancelled && t.state != TaskState::Exited)
          t.state = TaskState::Exited, t.why = ExitReason::Stopped;
      return;
    }
    if (cut) {
      if (chance(0.7)) at(now_ + uniform(0, 40), [deliver] { deliver(); });  // late: the answer is dropped
      at(now_ + 4, [this, name] {
        if (workers_.contains(name)) workers_[name].report_in_flight = false;
      });
      return;
    }
    at(now_ + 0.05, [this, deliver, name, sent, worker_epoch = r.worker_epoch] {
      auto result = deliver();
      bool lost = chance(0.02);
      at(now_ + (lost          ? 4
                 : chance(0.2) ? uniform(0.05, 3.5)
                               : 0.05),
         [this, name, sent, worker_epoch, result, lost] {
           auto it = workers_.find(name);
           if (it == workers_.end()) return;
           ModelWorker& w = it->second;
           w.report_in_flight = false;
           if (now_ <= w.hung_until) return;
           expire(w);
           if (lost || result.superseded || worker_epoch != w.worker_epoch ||
               result.fencing_token < w.fencing_token)
             return;
           w.fencing_token = result.fencing_token;
           w.lease_from = sent;
           for (const auto& c : result.commands) command(w, c);
         });
    });
  }

  std::mt19937 rng_;
  SchedulerConfig config_;
  std::vector<MachineType> types_;
  double now_ = 0, led_since_ = 0;
  double upgraded_at_ = 0;  // every controller reads the second form from then on
  std::uint64_t term_ = 0, revision_ = 0;
  int made_ = 0;
  std::map<std::string, ModelWorker> workers_;
  std::map<std::string, ModelJob> jobs_;
  std::map<std::string, double> old_only_until_;
  std::map<std::string, double> kept_;  // machine -> when a keeper last wrote its record
  std::map<std::string, StoredShard> store_;
  std::vector<std::unique_ptr<Holder>> holders_;
  std::multimap<double, std::function<void()>> events_;
};

TEST(History, RandomTroublesBreakNoRuleAndEveryJobEnds) {
  int starts = 0, finished = 0, takeovers = 0, lost = 0, after_others = 0, dependents_of_cancelled = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    History h(seed);
    h.run(240, 900);
    if (HasFatalFailure()) FAIL() << "seed " << seed;
    EXPECT_EQ(h.unfinished(), std::vector<std::string>{}) << "seed " << seed;
    starts += h.starts, finished += h.finished, takeovers += h.takeovers, lost += h.lost_leases;
    after_others += h.after_others, dependents_of_cancelled += h.dependents_of_cancelled;
  }
  // The histories must really contain what they are meant to try.
  EXPECT_GT(starts, 10000);
  EXPECT_GT(finished, 600);
  EXPECT_GT(takeovers, 200);
  EXPECT_GT(lost, 50);
  EXPECT_GT(after_others, 500);
  EXPECT_GT(dependents_of_cancelled, 50);
}

}  // namespace
}  // namespace corkmux

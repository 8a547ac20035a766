#include "leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.h"
#include "heartbeat_fanin_constants.h"
#include "leader_constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

Leader::Leader(Loop& loop, const Settings& settings, const OperatorChoices& choices, StateClient& state,
               http::Client& cloud, Catalog& catalog, Callbacks callbacks)
    : Actor(loop),
      settings_(settings),
      choices_(choices),
      state_(state),
      cloud_(cloud),
      catalog_(catalog),
      callbacks_(std::move(callbacks)),
      election_(
          loop, settings.label, state,
          {[this] { return !catalog_.types().empty(); },
           [this](const Election::ElectionResult& w) { won(w); }, [this](const char* why) { step_down(why); },
           [this](double sent_at) {
             if (!leadership_) return;
             leadership_->term.confirmed(sent_at);
             answer_parked();
           },
           [this](std::string label, std::uint64_t term) { callbacks_.leader_changed(label, term); }}),
      record_formats_(loop, settings, state),
      tick_timer_(loop),
      cycle_timer_(loop),
      retry_timer_(loop),
      resign_timer_(loop) {
  catalog_.on_change([this](const std::vector<MachineType>& types) {
    if (leadership_ && leadership_->scheduler) leadership_->scheduler->set_catalog(types);
    election_.retry();
  });
}
Leader::~Leader() = default;

void Leader::start() {
  record_formats_.declare();
  election_.start();
}

// ---------------------------------------------------------------- a term begins and ends

void Leader::won(const Election::ElectionResult& w) {
  spdlog::info("leading under term {}", w.term);
  leadership_ = std::make_unique<LeadershipState>();
  Term& term = leadership_->term;
  term.number = w.term;
  term.revision = w.revision;
  term.since = leadership_->last_report = leadership_->last_tick = steady_now();
  term.confirmed(w.confirmed_at);
  leadership_->callbacks = {term.guard([this] { react(); }),
                            term.guard([this](const char* why) { step_down(why); }),
                            term.guard([this](const char* why) { upgrade_records(why); })};
  load();
}

void Leader::load() {
  record_formats_.read(
      leadership_->term.guard([this](std::optional<RecordFormatNegotiation::RecordFormats> formats) {
        if (!formats) return retry_timer_.once(c::kRetryPause, leadership_->term.guard([this] { load(); }));
        build(formats->v1_tasks_per_record, formats->all_read_v2);
      }));
}

void Leader::build(int v1_tasks_per_record, bool all_read_v2) {
  LeadershipState& r = *leadership_;
  SchedulerConfig config;
  config.report_s = settings_.report_s;
  config.lease_s = settings_.lease_s;
  config.gang_wait_s = settings_.gang_wait_s;
  config.gang_peer_s = settings_.gang_peer_s;
  config.cancel_s = settings_.cancel_s;
  config.value_kb = settings_.value_kb;
  config.record_kb = settings_.next.value_kb;
  config.v1_tasks_per_record = v1_tasks_per_record;
  config.zones = settings_.zones;
  config.teams = settings_.teams;
  config.start_within = settings_.start_within;
  config.finish_within = settings_.finish_within;
  config.guarantee_within = settings_.guarantee_within;
  config.details = spdlog::should_log(spdlog::level::debug);
  r.scheduler = std::make_unique<Scheduler>(std::move(config), r.term.number, r.term.since, r.term.number);
  r.scheduler->set_catalog(catalog_.types());
  r.dependency_barrier = std::make_unique<DependencyBarrier>(dependency_barrier_at_);
  if (all_read_v2) upgrade_records("each has said so");
  r.job_watcher = std::make_unique<JobWatcher>(
      loop_, state_, r.term, *r.scheduler, r.callbacks,
      r.term.guard([this](const std::string& id) { leadership_->writer->vanished(id); }));
  r.writer = std::make_unique<StoreWriter>(
      loop_, settings_, state_, r.term, *r.scheduler, *r.job_watcher, r.callbacks,
      r.term.guard([this](codec::JobView v) { callbacks_.views({std::move(v)}); }));
  r.command_batch = std::make_unique<CommandDispatcher>(loop_, settings_, r.term, *r.scheduler, r.callbacks,
                                                        callbacks_.relay);
  r.fleet = std::make_unique<MachineProvisioner>(
      loop_, settings_, choices_, cloud_, r.term, *r.scheduler, r.callbacks,
      r.term.guard([this](const std::string& machine) { leadership_->command_batch->inspect(machine); }));
  r.leases =
      std::make_unique<LeaseExpiryMonitor>(loop_, settings_, state_, r.term, *r.scheduler, r.callbacks);
  r.loader = std::make_unique<StateLoader>(
      loop_, state_, r.term, *r.scheduler, *r.job_watcher,
      StateLoader::Callbacks{
          r.term.guard([this](std::vector<std::string> garbage) { begin_leading(std::move(garbage)); }),
          r.term.guard([this](const std::string& key) {
            spdlog::error("{} has a form that this version does not read", key);
            give_up("a newer version's records", settings_.lease_s);
          })});
  r.loader->start();
}

void Leader::begin_leading(std::vector<std::string> garbage) {
  LeadershipState& r = *leadership_;
  r.leading = true;
  r.last_tick = steady_now();
  spdlog::info("{} jobs loaded in {:.0f} ms", r.scheduler->jobs().size(),
               1e3 * (steady_now() - r.term.since));
  r.writer->remove_later(std::move(garbage));
  tick_timer_.every(c::kLeaderTick, [this] { tick(); });
  r.job_watcher->follow();
  r.fleet->start();
  answer_parked();
  react();
}

void Leader::answer_parked() {
  if (!leading() || !resumed() || leadership_->parked_heartbeats.empty()) return;
  bool outermost = !std::exchange(in_batch_, true);
  for (auto& p : std::exchange(leadership_->parked_heartbeats, {}))
    if (leadership_)
      handle(p);
    else
      p.reply(503, "");
  if (outermost) in_batch_ = false;
  react();
}

void Leader::step_down(const char* why) {
  if (!leadership_) return;
  spdlog::warn("no longer leading: {}", why);
  for (auto* t : {&tick_timer_, &cycle_timer_, &retry_timer_}) t->stop();
  leadership_->term.end();
  // Its actors may be the ones that speak: they are freed in a later turn.
  std::shared_ptr<LeadershipState> over(std::move(leadership_));
  loop_.post([over] {});
  for (auto& p : std::exchange(over->parked_heartbeats, {})) p.reply(503, "");
  election_.step_down();
}

/// Makes way for another leader, which is given the time to be chosen.
void Leader::give_up(const char* why, double pause_s) {
  election_.resign(pause_s);
  step_down(why);
}

void Leader::newer_term(std::uint64_t term) {
  if (leadership_ && term > leadership_->term.number) step_down("a peer knows a newer leader");
}

void Leader::upgrade_records(const char* why) {
  if (leadership_->scheduler->uses_v2_records()) return;
  spdlog::info("all controllers read the second form of records: {}", why);
  leadership_->scheduler->use_v2_records();
}

void Leader::resign(std::function<void()> done) {
  election_.abstain();
  if (!leading()) {
    // A load is not worth waiting for: nothing has been written under the term.
    if (leadership_) give_up("an orderly end", 0);
    return done();
  }
  leadership_->term.resigning = true;
  finish_resigning(steady_now() + c::kResignTime, std::move(done));
}

void Leader::finish_resigning(double until, std::function<void()> done) {
  if (!leadership_) return done();
  if (steady_now() < until && !(leadership_->writer->idle() && leadership_->command_batch->idle()))
    return resign_timer_.once(c::kResignLook,
                              [this, until, done = std::move(done)] { finish_resigning(until, done); });
  // What is unanswered now is shut out: writes by the removal of the record that they are conditioned on,
  // orders by the successor's higher tokens, as after a crash.
  election_.resign(0, std::move(done));
  step_down("an orderly end");
}

// ---------------------------------------------------------------- what others say

void Leader::cancelled(const std::vector<std::string>& jobs) {
  if (!leading()) return;
  Scheduler& scheduler = *leadership_->scheduler;
  for (const auto& id : jobs)
    if (Job* job = scheduler.job(id); job && !job->cancelled)
      scheduler.put_job(JobSpec(job->spec), job->revision, true, steady_now());
  react();
}

/// Guards against a cancel that the state service has and we have not seen, since an answer to our watch was
/// lost: a term that is confirmed says nothing of that.
void Leader::peers_heard(double asked_at, double youngest) {
  if (leading() && youngest < std::min(leadership_->term.contact, leadership_->job_watcher->seen_at()))
    leadership_->cancels_acknowledged_until = std::max(leadership_->cancels_acknowledged_until, asked_at);
}

double Leader::knows_cancels_at() const {
  const LeadershipState& r = *leadership_;
  return std::max(std::min(r.term.contact, r.job_watcher->seen_at()), r.cancels_acknowledged_until);
}

void Leader::heartbeat(Heartbeat r, Way way, HeartbeatReply reply) {
  take({std::move(r), way, "", std::move(reply)});
}

void Leader::take(Incoming incoming) {
  if (!leadership_) return incoming.reply(503, "");
  if (leading() && resumed()) return handle(incoming);
  // After all controllers ended every worker comes at once: what waits for the load is bounded.
  auto most = std::max(static_cast<std::size_t>(settings_.max_connections),
                       static_cast<std::size_t>(settings_.mem_mb * 1024 * 1024 *
                                                c::kParkedHeartbeatMemoryShare / c::kParkedHeartbeatBytes));
  if (leadership_->parked_heartbeats.size() >= most) return incoming.reply(503, "");
  leadership_->parked_heartbeats.push_back(std::move(incoming));
}

void Leader::handle(const Incoming& incoming) {
  const Heartbeat& r = incoming.heartbeat;
  double now = steady_now();
  Scheduler& scheduler = *leadership_->scheduler;
  // Mail says nothing of whether workers reach us, see check_reach().
  if (incoming.way == Way::Direct) leadership_->last_report = now;
  // Without word from the state service we may have been replaced, and cancels go unseen: workers are kept
  // alive only as long as a cancel can still be met.
  if (now - knows_cancels_at() > scheduler.config().keepalive()) return incoming.reply(503, "");
  if (spdlog::should_log(spdlog::level::debug) && !scheduler.machine(r.machine))
    spdlog::debug("machine {} reports for the first time: {} in {}", r.machine, r.type, r.zone);
  // Guards against orders into a cut: each would wait in vain while the launches could go with this answer.
  if (incoming.way == Way::StoreRelay) scheduler.set_unreachable(r.machine, now);
  auto result = scheduler.on_heartbeat(r, Scheduler::Channel::Heartbeat, now);
  if (result.superseded) {
    incoming.reply(503, "");
    return election_.verify();
  }
  leadership_->command_batch->served_by(r.machine, incoming.server);
  scheduler.answered(r.machine, now);
  incoming.reply(200,
                 codec::pack(codec::commands_to_wire(result.fencing_token, result.commands, std::nullopt)));
  react();
}

int Leader::machines_up() const {
  if (!leading()) return 0;
  int up = 0;
  for (const auto& [name, m] : leadership_->scheduler->machines()) up += m.up && !m.decommissioning;
  return up;
}

// ---------------------------------------------------------------- batches of serving controllers

/// A batch whose reports are being answered.
struct Leader::OpenBatch {
  HeartbeatReply reply;
  std::size_t open = 0;
  std::vector<fanin::HeartbeatAnswer> answers;
  void answer(std::uint64_t id, int status, std::string body) {
    answers.push_back({id, status, std::move(body)});
    if (--open == 0) reply(200, fanin::pack(answers));
  }
};

void Leader::batch(fanin::HeartbeatBatch batch, HeartbeatReply reply) {
  if (!leadership_) return reply(503, "");
  if (batch.from == settings_.label) batch.from.clear();  // workers that wait with ourselves
  bool outermost = !std::exchange(in_batch_, true);
  if (leading())
    for (const auto& outcome : batch.outcomes) leadership_->command_batch->outcome(outcome);
  auto open = std::make_shared<OpenBatch>();
  open->reply = std::move(reply);
  open->open = batch.heartbeats.size() + 1;
  for (const auto& forwarded : batch.heartbeats) {
    auto answer = [open, id = forwarded.id](int status, std::string body) {
      open->answer(id, status, std::move(body));
    };
    auto heartbeat = leadership_ ? full_heartbeat(forwarded) : std::nullopt;
    if (heartbeat)
      take({std::move(*heartbeat), Way::Direct, batch.from, answer});
    else
      answer(!leadership_ ? 503 : forwarded.body.empty() ? fanin::kFullHeartbeatRequired : 400, "");
  }
  if (--open->open == 0) open->reply(200, fanin::pack(open->answers));
  if (outermost) in_batch_ = false;
  react();
}

/// What a forwarded report says. No value: it is malformed, or unchanged since one that is not known here.
std::optional<Heartbeat> Leader::full_heartbeat(const fanin::ForwardedHeartbeat& forwarded) {
  auto& known = leadership_->full_heartbeats;
  if (!forwarded.body.empty()) {
    auto parsed = codec::unpack(forwarded.body);
    auto heartbeat = parsed ? codec::parse_heartbeat(*parsed) : std::nullopt;
    if (heartbeat) known[heartbeat->machine] = *heartbeat;
    return heartbeat;
  }
  auto last = known.find(forwarded.machine);
  if (last == known.end() || last->second.worker_epoch != forwarded.worker_epoch ||
      last->second.seq != forwarded.same_as || forwarded.number <= forwarded.same_as)
    return std::nullopt;
  Heartbeat heartbeat = last->second;
  heartbeat.seq = forwarded.number;
  return heartbeat;
}

// ---------------------------------------------------------------- what follows

void Leader::react() {
  if (!leading() || in_batch_) return;
  LeadershipState& r = *leadership_;
  for (const auto& note : r.scheduler->take_notes()) spdlog::info("{}", note);
  for (const auto& detail : r.scheduler->take_details()) spdlog::debug("{}", detail);
  if (!r.scheduler->unknown().empty()) r.job_watcher->look_up_dependencies();
  if (resumed()) r.command_batch->flush();
  r.writer->pump();
  note_settled();
  if (r.scheduler->wants_cycle() && !cycle_timer_.active() && !r.term.resigning) {
    double wait = std::max(0.005, r.last_cycle + c::kSchedulingInterval - steady_now());
    cycle_timer_.once(wait, [this] { run_scheduling_cycle(); });
  }
}

void Leader::run_scheduling_cycle() {
  if (!leading() || leadership_->term.resigning) return;
  double now = leadership_->last_cycle = steady_now();
  // Without the state service nothing can be started; bids would only pile up.
  if (awake() && leadership_->term.fresh(now)) leadership_->scheduler->schedule(now);
  spdlog::debug("placed in {:.1f} ms", 1e3 * (steady_now() - now));
  react();
}

// ---------------------------------------------------------------- time

void Leader::tick() {
  if (!leading()) return;
  LeadershipState& r = *leadership_;
  double now = steady_now();
  const bool certain = awake();
  bool away = !r.term.fresh(now);
  if (away != r.state_away) {
    r.state_away = away;
    spdlog::warn(away ? "the state service is away: tasks are kept alive, nothing new is started"
                      : "the state service is back");
  }
  if (certain) {
    poll_record_formats();
    r.scheduler->tick(now);
    r.leases->tick();
  }
  r.command_batch->sweep();
  if (now - r.forgot_at > c::kForgetEvery) {
    r.forgot_at = now;
    r.command_batch->forget_machines();
    std::erase_if(r.full_heartbeats, [&](const auto& known) { return !r.scheduler->machine(known.first); });
  }
  push_views();
  check_reach();
  answer_parked();
  react();
}

/// Guards against a process that stood still while its clocks ran on, and finds out wherever it is woken: the
/// silence that it finds is its own, leases that seem over were renewed by whoever leads by now, and until
/// the state service has confirmed the term nothing that it knows is more than a memory.
bool Leader::awake() {
  LeadershipState& r = *leadership_;
  double now = steady_now();
  if (now - r.last_tick > c::kStallThreshold) {
    spdlog::warn(
        "stood still for {:.1f} s: nothing is judged by time until workers and the state service spoke",
        now - r.last_tick);
    r.term.woke_at = now;
    r.last_report = now;
    r.scheduler->process_stalled(now);
    election_.renew_now();
  }
  r.last_tick = now;
  return r.term.awake();
}

/// In an outage the state service confirms nothing, and workers that nobody answers lose their tasks.
bool Leader::resumed() { return awake() || steady_now() - leadership_->term.woke_at > c::kResumeTime; }

void Leader::poll_record_formats() {
  LeadershipState& r = *leadership_;
  double now = steady_now();
  if (r.scheduler->uses_v2_records() || r.polling_formats ||
      now - r.formats_polled_at <= c::kRecordFormatPollInterval)
    return;
  r.polling_formats = true;
  r.formats_polled_at = now;
  record_formats_.read(r.term.guard([this](std::optional<RecordFormatNegotiation::RecordFormats> formats) {
    leadership_->polling_formats = false;
    if (formats && formats->all_read_v2) upgrade_records("each has said so");
  }));
}

void Leader::check_reach() {
  // Guards against a leader that has the state service but no worker: with several machines up, no report at
  // all for much longer than an interval means that the network to us is cut. Another must lead before the
  // workers' leases run out. A new leader gives the workers time to find it first.
  LeadershipState& r = *leadership_;
  double now = steady_now();
  double patience = c::kUnheardReports * settings_.report_s + 1;
  double since = std::max(r.last_report, r.term.since + c::kCommandTimeout);
  if (now - since < patience || !r.term.fresh(now) || r.term.resigning) return;
  int up = 0;
  for (const auto& [name, m] : r.scheduler->machines()) up += m.up && !m.decommissioning;
  if (up < c::kUnheardMachines) return;
  give_up("no worker reaches us", settings_.lease_s / 2);
}

/// Guards against a job called queued long after one that it needs was cancelled, where no leader could store
/// its end meanwhile, for want of a leader or of the state service. All controllers are told how far that is
/// done, by the greetings of peers and, where those are cut, by a record; beyond it they do not answer for
/// such a job.
void Leader::note_settled() {
  LeadershipState& r = *leadership_;
  double seen = r.job_watcher->seen_at();
  if (!r.dependency_barrier->news(seen) || r.job_watcher->joining()) return;
  dependency_barrier_at_ = r.dependency_barrier->look(seen, r.scheduler->dependents_of_cancelled(),
                                                      !r.scheduler->unknown().empty());
  double now = steady_now();
  if (dependency_barrier_at_ < 0 || !r.scheduler->has_dependencies() ||
      now - r.barrier_written_at < c::kBarrierWriteShare * settings_.cancel_s)
    return;
  r.barrier_written_at = now;
  state_.txn({{kLeaderKey, r.term.revision}},
             {{kDependencyBarrierKey, codec::Json{{"t", wall_now() - (now - dependency_barrier_at_)}}, 0}},
             [](StateReply) {});
}

void Leader::push_views() {
  std::vector<codec::JobView> views;
  Scheduler& scheduler = *leadership_->scheduler;
  for (const auto& id : scheduler.take_changed())
    if (const Job* job = scheduler.job(id)) {
      int running = scheduler.running(*job);
      views.push_back({id, running ? "running" : "queued", job->done, running, scheduler.reason(*job)});
    }
  if (!views.empty()) callbacks_.views(std::move(views));
}

}  // namespace corkmux

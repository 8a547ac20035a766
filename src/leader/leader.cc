#include "leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.h"

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
      election_(loop, settings.label, state, election_callbacks()),
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

Election::Callbacks Leader::election_callbacks() {
  Election::Callbacks callbacks;
  callbacks.ready = [this] { return !catalog_.types().empty(); };
  callbacks.won = [this](const ElectionResult& result) { won(result); };
  callbacks.lost = [this](StepDownReason reason) { step_down(reason); };
  callbacks.renewed = [this](double sent_at) {
    if (!leadership_) return;
    leadership_->term.confirmed(sent_at);
    answer_parked();
  };
  callbacks.leader_observed = [this](std::string label, std::uint64_t term) {
    callbacks_.leader_changed(std::move(label), term);
  };
  return callbacks;
}

TermCallbacks Leader::term_callbacks() {
  const Term& term = leadership_->term;
  TermCallbacks callbacks;
  callbacks.changed = term.guard([this] { react(); });
  callbacks.step_down = term.guard([this](StepDownReason reason) { step_down(reason); });
  callbacks.upgrade_records =
      term.guard([this](RecordUpgradeReason reason) { leadership_->record_upgrade->upgrade(reason); });
  return callbacks;
}

void Leader::start() {
  record_formats_.declare();
  election_.start();
}

// ---------------------------------------------------------------- a term begins

void Leader::won(const ElectionResult& result) {
  spdlog::info("leading under term {}", result.term);
  double now = steady_now();
  leadership_ = std::make_unique<LeadershipState>(settings_, now);
  Term& term = leadership_->term;
  term.number = result.term;
  term.revision = result.revision;
  term.since = now;
  term.confirmed(result.confirmed_at);
  leadership_->callbacks = term_callbacks();
  load();
}

void Leader::load() {
  record_formats_.read(leadership_->term.guard([this](const std::optional<RecordFormats>& formats) {
    if (formats) return build(*formats);
    retry_timer_.once(c::kRetryPause, leadership_->term.guard([this] { load(); }));
  }));
}

SchedulerConfig Leader::scheduler_config(int v1_tasks_per_record) const {
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
  return config;
}

void Leader::build(const RecordFormats& formats) {
  LeadershipState& state = *leadership_;
  state.scheduler = std::make_unique<Scheduler>(scheduler_config(formats.v1_tasks_per_record),
                                                state.term.number, state.term.since, state.term.number);
  state.scheduler->set_catalog(catalog_.types());
  state.record_upgrade = std::make_unique<RecordFormatUpgrade>(record_formats_, *state.scheduler, state.term);
  if (formats.all_read_v2) state.record_upgrade->upgrade(RecordUpgradeReason::AllControllersDeclared);
  build_actors();
  state.loader->start();
}

void Leader::build_actors() {
  LeadershipState& state = *leadership_;
  const Term& term = state.term;
  Scheduler& scheduler = *state.scheduler;
  state.job_watcher = std::make_unique<JobWatcher>(
      loop_, state_, state.term, scheduler, state.callbacks,
      term.guard([this](const std::string& job) { leadership_->writer->record_missing(job); }));
  state.cancels = std::make_unique<CancelAcknowledgements>(term, *state.job_watcher);
  state.dependency_barrier = std::make_unique<DependencyBarrierPublisher>(
      settings_, state_, term, scheduler, *state.job_watcher, dependency_barrier_at_);
  state.writer = std::make_unique<StoreWriter>(
      loop_, settings_, state_, state.term, scheduler, *state.job_watcher, state.callbacks,
      term.guard([this](codec::JobView view) { callbacks_.views({std::move(view)}); }));
  state.dispatcher = std::make_unique<CommandDispatcher>(loop_, settings_, state.term, scheduler,
                                                         state.callbacks, callbacks_.relay);
  state.provisioner = std::make_unique<MachineProvisioner>(
      loop_, settings_, choices_, cloud_, state.term, scheduler, state.callbacks,
      term.guard([this](const std::string& machine) { leadership_->dispatcher->inspect(machine); }));
  state.lease_monitor =
      std::make_unique<LeaseExpiryMonitor>(loop_, settings_, state_, state.term, scheduler, state.callbacks);
  state.loader = std::make_unique<StateLoader>(loop_, state_, state.term, scheduler, *state.job_watcher,
                                               loader_callbacks());
}

StateLoader::Callbacks Leader::loader_callbacks() {
  const Term& term = leadership_->term;
  StateLoader::Callbacks callbacks;
  callbacks.loaded =
      term.guard([this](std::vector<std::string> garbage) { begin_leading(std::move(garbage)); });
  callbacks.too_new = term.guard([this](const std::string& key) {
    spdlog::error("{} has a record format that this version does not read", key);
    give_up(StepDownReason::UnreadableRecords, settings_.lease_s);
  });
  return callbacks;
}

void Leader::begin_leading(std::vector<std::string> garbage) {
  LeadershipState& state = *leadership_;
  state.loaded = true;
  state.stall_detector.reset(steady_now());
  spdlog::info("{} jobs loaded in {:.0f} ms", state.scheduler->jobs().size(),
               1e3 * (steady_now() - state.term.since));
  state.writer->remove_later(std::move(garbage));
  tick_timer_.every(kTickInterval, [this] { tick(); });
  state.job_watcher->follow();
  state.provisioner->start();
  answer_parked();
  react();
}

// ---------------------------------------------------------------- a term ends

void Leader::step_down(StepDownReason reason) {
  if (!leadership_) return;
  spdlog::warn("no longer leading: {}", to_string(reason));
  for (auto* timer : {&tick_timer_, &cycle_timer_, &retry_timer_}) timer->stop();
  leadership_->term.end();
  // The caller may be one of the term's actors, so these are freed in a later turn of the loop.
  std::shared_ptr<LeadershipState> over(std::move(leadership_));
  loop_.post([over] {});
  for (auto& parked : over->parked_heartbeats.take_all()) parked.reply({});
  election_.step_down();
}

/// Ends the term and lets another controller win the election: this one does not campaign for `pause_s`.
void Leader::give_up(StepDownReason reason, double pause_s) {
  election_.resign(pause_s);
  step_down(reason);
}

void Leader::handler_failed() {
  if (leadership_) give_up(StepDownReason::HandlerFailed, c::kLeaderLeaseDuration);
}

void Leader::newer_term(std::uint64_t term) {
  if (leadership_ && term > leadership_->term.number) step_down(StepDownReason::PeerReportedNewerLeader);
}

void Leader::resign(DoneCallback done) {
  election_.abstain();
  if (!leading()) {
    // The load need not finish, since nothing has been written under the term.
    if (leadership_) give_up(StepDownReason::Shutdown, 0);
    return done();
  }
  leadership_->term.resigning = true;
  finish_resigning(steady_now() + kShutdownTimeout, std::move(done));
}

void Leader::finish_resigning(double until, DoneCallback done) {
  if (!leadership_) return done();
  bool idle = leadership_->writer->idle() && leadership_->dispatcher->idle();
  if (steady_now() < until && !idle) {
    auto poll = [this, until, done = std::move(done)] { finish_resigning(until, done); };
    return resign_timer_.once(kShutdownPollInterval, std::move(poll));
  }
  // Requests that are still unanswered are made to fail: writes by the removal of the record that they are
  // conditioned on, commands by the successor's higher fencing tokens, as after a crash.
  election_.resign(0, std::move(done));
  step_down(StepDownReason::Shutdown);
}

// ---------------------------------------------------------------- cancels accepted by peers

void Leader::cancelled(const std::vector<std::string>& jobs) {
  if (!leading()) return;
  Scheduler& scheduler = *leadership_->scheduler;
  for (const auto& id : jobs)
    if (Job* job = scheduler.job(id); job && !job->cancelled)
      scheduler.upsert_job(JobSpec(job->spec), job->revision, true, steady_now());
  react();
}

void Leader::all_peers_answered(double queried_at, double youngest_seen_at) {
  if (leading()) leadership_->cancels->peers_acknowledged(queried_at, youngest_seen_at);
}

// ---------------------------------------------------------------- reaction to changes

void Leader::react() {
  if (!leading() || reaction_deferred_) return;
  LeadershipState& state = *leadership_;
  for (const auto& note : state.scheduler->take_notes()) spdlog::info("{}", note);
  for (const auto& detail : state.scheduler->take_placement_details()) spdlog::debug("{}", detail);
  if (!state.scheduler->unknown_dependencies().empty()) state.job_watcher->look_up_dependencies();
  if (may_proceed()) state.dispatcher->flush();
  state.writer->pump();
  if (auto barrier_at = state.dependency_barrier->update()) dependency_barrier_at_ = *barrier_at;
  if (state.scheduler->cycle_requested()) schedule_cycle();
}

void Leader::schedule_cycle() {
  if (cycle_timer_.active() || leadership_->term.resigning) return;
  double pause_s = std::max(kMinCycleDelay, leadership_->cycle_at + kSchedulingInterval - steady_now());
  cycle_timer_.once(pause_s, [this] { run_scheduling_cycle(); });
}

void Leader::run_scheduling_cycle() {
  if (!leading() || leadership_->term.resigning) return;
  double now = steady_now();
  leadership_->cycle_at = now;
  // Without the state store no task can be started, and placements would only accumulate.
  if (confirmed_since_stall() && leadership_->term.recently_confirmed(now))
    leadership_->scheduler->schedule(now);
  spdlog::debug("scheduling cycle took {:.1f} ms", 1e3 * (steady_now() - now));
  react();
}

// ---------------------------------------------------------------- periodic work

void Leader::tick() {
  if (!leading()) return;
  LeadershipState& state = *leadership_;
  double now = steady_now();
  const bool confirmed = confirmed_since_stall();
  log_state_store_reachability(!state.term.recently_confirmed(now));
  if (confirmed) {
    state.record_upgrade->poll();
    state.scheduler->tick(now);
    state.lease_monitor->tick();
  }
  if (!state.term.resigning) reserve_numbers();
  if (confirmed && !state.term.resigning) fence_cancelled_launches(now);
  if (!leading()) return;
  state.dispatcher->sweep();
  forget_unknown_machines(now);
  push_views();
  check_worker_reachability();
  answer_parked();
  react();
  if (!leading()) return;
  leadership_->renewals.log_if_due(now, leadership_->term.number,
                                   now - leadership_->cancels->complete_until());
}

/// Fencing tokens and attempts are numbered within a term: before they are used up, a further term is
/// reserved. If that came too late, or workers have tokens above this term's, a new term begins instead.
void Leader::reserve_numbers() {
  auto term = leadership_->scheduler->term_to_reserve();
  if (!term) return;
  election_.reserve_term(*term, [this](std::uint64_t reserved) {
    if (!leading()) return;
    if (leadership_->scheduler->needs_new_leader_term()) return give_up(StepDownReason::TokensSuperseded, 0);
    spdlog::info("fencing tokens continue in term {}, reserved by the leader of term {}", reserved,
                 leadership_->term.number);
    leadership_->scheduler->continue_in_term(reserved);
  });
}

/// Lease proxies pass the lowest token of the term to their workers, so the next term's token reaches workers
/// that this leader does not reach.
void Leader::fence_cancelled_launches(double now) {
  auto launch = leadership_->scheduler->find_unfenced_launch(now);
  if (!launch) return;
  spdlog::warn("a launch of task {}/{} was not answered and its job is cancelled: a new term fences it",
               launch->job, launch->index);
  give_up(StepDownReason::LaunchNotFenced, 0);
}

void Leader::log_state_store_reachability(bool unreachable) {
  if (std::exchange(leadership_->state_store_unreachable, unreachable) == unreachable) return;
  spdlog::warn(
      unreachable
          ? "the state service is unreachable: running tasks keep their leases, no new task is started"
          : "the state service is reachable again");
}

void Leader::forget_unknown_machines(double now) {
  LeadershipState& state = *leadership_;
  if (now - state.machines_forgotten_at <= kForgetInterval) return;
  state.machines_forgotten_at = now;
  state.dispatcher->forget_unknown_machines();
  state.heartbeat_deltas.forget_unknown_machines(*state.scheduler);
}

/// Detects that the process stalled while its clocks continued; called wherever the process may resume. After
/// a stall, missing heartbeats are due to the stall, leases that seem expired may have been renewed by a new
/// leader, and the scheduler's state may be out of date until the state store has confirmed the term.
bool Leader::confirmed_since_stall() {
  LeadershipState& state = *leadership_;
  double now = steady_now();
  if (auto stalled_s = state.stall_detector.check(now)) {
    spdlog::warn(
        "process stalled for {:.1f} s: timeouts are not applied until workers and the state service respond",
        *stalled_s);
    state.term.stall_detected_at = now;
    state.reachability.heartbeat_received(now);
    state.scheduler->process_stalled(now);
    election_.renew_now();
  }
  return state.term.confirmed_since_stall();
}

/// During an outage the state store cannot confirm the term, and workers without an answer lose their tasks:
/// so the wait for the confirmation ends after kResumeTimeout.
bool Leader::may_proceed() {
  return confirmed_since_stall() || steady_now() - leadership_->term.stall_detected_at > kResumeTimeout;
}

void Leader::check_worker_reachability() {
  const LeadershipState& state = *leadership_;
  double now = steady_now();
  if (!state.reachability.silent(now) || !state.term.recently_confirmed(now) || state.term.resigning) return;
  if (state.reachability.unreachable(now, machines_up()))
    give_up(StepDownReason::WorkersUnreachable, settings_.lease_s / 2);
}

int Leader::machines_up() const {
  if (!leading()) return 0;
  int up = 0;
  for (const auto& [name, machine] : leadership_->scheduler->machines())
    up += machine.is_up() && !machine.is_decommissioning();
  return up;
}

void Leader::push_views() {
  std::vector<codec::JobView> views;
  Scheduler& scheduler = *leadership_->scheduler;
  for (const auto& id : scheduler.take_changed()) {
    const Job* job = scheduler.job(id);
    if (!job) continue;
    int running = scheduler.running(*job);
    views.push_back(
        {id, running ? job_phase::kRunning : job_phase::kQueued, job->done, running, scheduler.reason(*job)});
  }
  if (!views.empty()) callbacks_.views(std::move(views));
}

}  // namespace corkmux

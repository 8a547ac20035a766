#include "leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

Leader::Leader(Loop& loop, const Settings& settings, const OperatorChoices& choices, StateClient& state,
               http::Client& cloud, Catalog& catalog, Hooks hooks)
    : Actor(loop),
      settings_(settings),
      choices_(choices),
      state_(state),
      cloud_(cloud),
      catalog_(catalog),
      hooks_(std::move(hooks)),
      election_(loop, settings.label, state,
                {[this] { return !catalog_.types().empty(); }, [this](const Election::Won& w) { won(w); },
                 [this](const char* why) { end(why); },
                 [this](double sent_at) {
                   if (!reign_) return;
                   reign_->term.confirmed(sent_at);
                   answer_parked();
                 },
                 [this](std::string label, std::uint64_t term) { hooks_.leader_changed(label, term); }}),
      membership_(loop, settings, state),
      tick_timer_(loop),
      plan_timer_(loop),
      retry_timer_(loop),
      resign_timer_(loop) {
  catalog_.on_change([this](const std::vector<MachineType>& types) {
    if (reign_ && reign_->book) reign_->book->set_catalog(types);
    election_.retry();
  });
}
Leader::~Leader() = default;

void Leader::start() {
  membership_.declare();
  election_.start();
}

// ---------------------------------------------------------------- a term begins and ends

void Leader::won(const Election::Won& w) {
  spdlog::info("leading under term {}", w.term);
  reign_ = std::make_unique<Reign>();
  Term& term = reign_->term;
  term.number = w.term;
  term.stamp = w.stamp;
  term.since = reign_->last_report = reign_->last_tick = steady_now();
  term.confirmed(w.confirmed_at);
  reign_->hooks = {term.guard([this] { react(); }), term.guard([this](const char* why) { end(why); }),
                   term.guard([this](const char* why) { all_are_new(why); })};
  load();
}

void Leader::load() {
  membership_.read(reign_->term.guard([this](std::optional<Membership::Forms> forms) {
    if (!forms) return retry_timer_.once(c::kRetryPause, reign_->term.guard([this] { load(); }));
    build(forms->first_cut, forms->all_new);
  }));
}

void Leader::build(int first_cut, bool all_new) {
  Reign& r = *reign_;
  ClusterConfig config;
  config.report_s = settings_.report_s;
  config.lease_s = settings_.lease_s;
  config.gang_wait_s = settings_.gang_wait_s;
  config.gang_peer_s = settings_.gang_peer_s;
  config.cancel_s = settings_.cancel_s;
  config.value_kb = settings_.value_kb;
  config.record_kb = settings_.next.value_kb;
  config.first_form_cut = first_cut;
  config.zones = settings_.zones;
  config.teams = settings_.teams;
  config.start_within = settings_.start_within;
  config.finish_within = settings_.finish_within;
  config.guarantee_within = settings_.guarantee_within;
  config.details = spdlog::should_log(spdlog::level::debug);
  r.book = std::make_unique<Cluster>(std::move(config), r.term.number, r.term.since, r.term.number);
  r.book->set_catalog(catalog_.types());
  r.settlement = std::make_unique<Settlement>(settled_at_);
  if (all_new) all_are_new("each has said so");
  r.feed = std::make_unique<JobFeed>(
      loop_, state_, r.term, *r.book, r.hooks,
      r.term.guard([this](const std::string& id) { reign_->writer->vanished(id); }));
  r.writer =
      std::make_unique<StoreWriter>(loop_, settings_, state_, r.term, *r.book, *r.feed, r.hooks,
                                    r.term.guard([this](codec::JobView v) { hooks_.views({std::move(v)}); }));
  r.orders = std::make_unique<WorkerOrders>(loop_, settings_, r.term, *r.book, r.hooks, hooks_.relay);
  r.fleet = std::make_unique<CloudFleet>(
      loop_, settings_, choices_, cloud_, r.term, *r.book, r.hooks,
      r.term.guard([this](const std::string& machine) { reign_->orders->inspect(machine); }));
  r.leases = std::make_unique<LeaseWatch>(loop_, settings_, state_, r.term, *r.book, r.hooks);
  r.loader = std::make_unique<Loader>(
      loop_, state_, r.term, *r.book, *r.feed,
      Loader::Hooks{r.term.guard([this](std::vector<std::string> garbage) { lead(std::move(garbage)); }),
                    r.term.guard([this](const std::string& key) {
                      spdlog::error("{} has a form that this version does not read", key);
                      give_up("a newer version's records", settings_.lease_s);
                    })});
  r.loader->start();
}

void Leader::lead(std::vector<std::string> garbage) {
  Reign& r = *reign_;
  r.leading = true;
  r.last_tick = steady_now();
  spdlog::info("{} jobs loaded in {:.0f} ms", r.book->jobs().size(), 1e3 * (steady_now() - r.term.since));
  r.writer->remove_later(std::move(garbage));
  tick_timer_.every(c::kLeaderTick, [this] { tick(); });
  r.feed->follow();
  r.fleet->start();
  answer_parked();
  react();
}

void Leader::answer_parked() {
  if (!leading() || !resumed() || reign_->parked.empty()) return;
  bool outermost = !std::exchange(in_batch_, true);
  for (auto& p : std::exchange(reign_->parked, {}))
    if (reign_)
      handle(p);
    else
      p.reply(503, "");
  if (outermost) in_batch_ = false;
  react();
}

void Leader::end(const char* why) {
  if (!reign_) return;
  spdlog::warn("no longer leading: {}", why);
  for (auto* t : {&tick_timer_, &plan_timer_, &retry_timer_}) t->stop();
  reign_->term.end();
  // Its actors may be the ones that speak: they are freed in a later turn.
  std::shared_ptr<Reign> over(std::move(reign_));
  loop_.post([over] {});
  for (auto& p : std::exchange(over->parked, {})) p.reply(503, "");
  election_.step_down();
}

/// Makes way for another leader, which is given the time to be chosen.
void Leader::give_up(const char* why, double pause_s) {
  election_.resign(pause_s);
  end(why);
}

void Leader::newer_term(std::uint64_t term) {
  if (reign_ && term > reign_->term.number) end("a peer knows a newer leader");
}

void Leader::all_are_new(const char* why) {
  if (reign_->book->second_form()) return;
  spdlog::info("all controllers read the second form of records: {}", why);
  reign_->book->use_second_form();
}

void Leader::resign(std::function<void()> done) {
  election_.abstain();
  if (!leading()) {
    // A load is not worth waiting for: nothing has been written under the term.
    if (reign_) give_up("an orderly end", 0);
    return done();
  }
  reign_->term.resigning = true;
  finish_resigning(steady_now() + c::kResignTime, std::move(done));
}

void Leader::finish_resigning(double until, std::function<void()> done) {
  if (!reign_) return done();
  if (steady_now() < until && !(reign_->writer->idle() && reign_->orders->idle()))
    return resign_timer_.once(c::kResignLook,
                              [this, until, done = std::move(done)] { finish_resigning(until, done); });
  // What is unanswered now is shut out: writes by the removal of the record that they are conditioned on,
  // orders by the successor's higher tokens, as after a crash.
  election_.resign(0, std::move(done));
  end("an orderly end");
}

// ---------------------------------------------------------------- what others say

void Leader::cancelled(const std::vector<std::string>& jobs) {
  if (!leading()) return;
  Cluster& book = *reign_->book;
  for (const auto& id : jobs)
    if (Job* job = book.job(id); job && !job->cancelled)
      book.put_job(JobSpec(job->spec), job->version, true, steady_now());
  react();
}

/// Guards against a cancel that the state service has and we have not seen, since an answer to our watch was
/// lost: a term that is confirmed says nothing of that.
void Leader::peers_heard(double asked_at, double youngest) {
  if (leading() && youngest < std::min(reign_->term.contact, reign_->feed->seen_at()))
    reign_->vouched = std::max(reign_->vouched, asked_at);
}

double Leader::knows_cancels_at() const {
  const Reign& r = *reign_;
  return std::max(std::min(r.term.contact, r.feed->seen_at()), r.vouched);
}

void Leader::report(Report r, Way way, ReportReply reply) { take({std::move(r), way, "", std::move(reply)}); }

void Leader::take(Incoming incoming) {
  if (!reign_) return incoming.reply(503, "");
  if (leading() && resumed()) return handle(incoming);
  // After all controllers ended every worker comes at once: what waits for the load is bounded.
  auto most =
      std::max(static_cast<std::size_t>(settings_.max_connections),
               static_cast<std::size_t>(settings_.mem_mb * 1024 * 1024 * c::kParkedMemory / c::kParkedBytes));
  if (reign_->parked.size() >= most) return incoming.reply(503, "");
  reign_->parked.push_back(std::move(incoming));
}

void Leader::handle(const Incoming& incoming) {
  const Report& r = incoming.report;
  double now = steady_now();
  Cluster& book = *reign_->book;
  // Mail says nothing of whether workers reach us, see check_reach().
  if (incoming.way == Way::Direct) reign_->last_report = now;
  // Without word from the state service we may have been replaced, and cancels go unseen: workers are kept
  // alive only as long as a cancel can still be met.
  if (now - knows_cancels_at() > book.config().keepalive()) return incoming.reply(503, "");
  if (spdlog::should_log(spdlog::level::debug) && !book.machine(r.machine))
    spdlog::debug("machine {} reports for the first time: {} in {}", r.machine, r.type, r.zone);
  // Guards against orders into a cut: each would wait in vain while the launches could go with this answer.
  if (incoming.way == Way::Mail) book.beyond_reach(r.machine, now);
  auto result = book.on_report(r, Cluster::Channel::Report, now);
  if (result.superseded) {
    incoming.reply(503, "");
    return election_.verify();
  }
  reign_->orders->served_by(r.machine, incoming.server);
  book.answered(r.machine, now);
  incoming.reply(200, codec::pack(codec::commands_to_wire(result.token, result.commands, std::nullopt)));
  react();
}

int Leader::machines_up() const {
  if (!leading()) return 0;
  int up = 0;
  for (const auto& [name, m] : reign_->book->machines()) up += m.up && !m.doomed;
  return up;
}

// ---------------------------------------------------------------- batches of serving controllers

/// A batch whose reports are being answered.
struct Leader::OpenBatch {
  ReportReply reply;
  std::size_t open = 0;
  std::vector<serving::ReportAnswer> answers;
  void answer(std::uint64_t id, int status, std::string body) {
    answers.push_back({id, status, std::move(body)});
    if (--open == 0) reply(200, serving::pack(answers));
  }
};

void Leader::batch(serving::ReportBatch batch, ReportReply reply) {
  if (!reign_) return reply(503, "");
  if (batch.from == settings_.label) batch.from.clear();  // workers that wait with ourselves
  bool outermost = !std::exchange(in_batch_, true);
  if (leading())
    for (const auto& outcome : batch.outcomes) reign_->orders->outcome(outcome);
  auto open = std::make_shared<OpenBatch>();
  open->reply = std::move(reply);
  open->open = batch.reports.size() + 1;
  for (const auto& forwarded : batch.reports) {
    auto answer = [open, id = forwarded.id](int status, std::string body) {
      open->answer(id, status, std::move(body));
    };
    auto report = reign_ ? whole_report(forwarded) : std::nullopt;
    if (report)
      take({std::move(*report), Way::Direct, batch.from, answer});
    else
      answer(!reign_ ? 503 : forwarded.body.empty() ? serving::kSendWhole : 400, "");
  }
  if (--open->open == 0) open->reply(200, serving::pack(open->answers));
  if (outermost) in_batch_ = false;
  react();
}

/// What a forwarded report says. No value: it is malformed, or unchanged since one that is not known here.
std::optional<Report> Leader::whole_report(const serving::ForwardedReport& forwarded) {
  auto& known = reign_->whole_reports;
  if (!forwarded.body.empty()) {
    auto parsed = codec::unpack(forwarded.body);
    auto report = parsed ? codec::parse_report(*parsed) : std::nullopt;
    if (report) known[report->machine] = *report;
    return report;
  }
  auto last = known.find(forwarded.machine);
  if (last == known.end() || last->second.session != forwarded.session ||
      last->second.seq != forwarded.same_as || forwarded.number <= forwarded.same_as)
    return std::nullopt;
  Report report = last->second;
  report.seq = forwarded.number;
  return report;
}

// ---------------------------------------------------------------- what follows

void Leader::react() {
  if (!leading() || in_batch_) return;
  Reign& r = *reign_;
  for (const auto& note : r.book->take_notes()) spdlog::info("{}", note);
  for (const auto& detail : r.book->take_details()) spdlog::debug("{}", detail);
  if (!r.book->unknown().empty()) r.feed->look_up_awaited();
  if (resumed()) r.orders->flush();
  r.writer->pump();
  note_settled();
  if (r.book->want_plan() && !plan_timer_.active() && !r.term.resigning) {
    double wait = std::max(0.005, r.last_plan + c::kPassPause - steady_now());
    plan_timer_.once(wait, [this] { run_plan(); });
  }
}

void Leader::run_plan() {
  if (!leading() || reign_->term.resigning) return;
  double now = reign_->last_plan = steady_now();
  // Without the state service nothing can be started; bids would only pile up.
  if (awake() && reign_->term.fresh(now)) reign_->book->plan(now);
  spdlog::debug("placed in {:.1f} ms", 1e3 * (steady_now() - now));
  react();
}

// ---------------------------------------------------------------- time

void Leader::tick() {
  if (!leading()) return;
  Reign& r = *reign_;
  double now = steady_now();
  const bool certain = awake();
  bool away = !r.term.fresh(now);
  if (away != r.state_away) {
    r.state_away = away;
    spdlog::warn(away ? "the state service is away: tasks are kept alive, nothing new is started"
                      : "the state service is back");
  }
  if (certain) {
    ask_forms();
    r.book->tick(now);
    r.leases->tick();
  }
  r.orders->sweep();
  if (now - r.forgot_at > c::kForgetEvery) {
    r.forgot_at = now;
    r.orders->forget_machines();
    std::erase_if(r.whole_reports, [&](const auto& known) { return !r.book->machine(known.first); });
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
  Reign& r = *reign_;
  double now = steady_now();
  if (now - r.last_tick > c::kStoodStill) {
    spdlog::warn(
        "stood still for {:.1f} s: nothing is judged by time until workers and the state service spoke",
        now - r.last_tick);
    r.term.woke_at = now;
    r.last_report = now;
    r.book->stood_still(now);
    election_.renew_now();
  }
  r.last_tick = now;
  return r.term.awake();
}

/// In an outage the state service confirms nothing, and workers that nobody answers lose their tasks.
bool Leader::resumed() { return awake() || steady_now() - reign_->term.woke_at > c::kResumeTime; }

void Leader::ask_forms() {
  Reign& r = *reign_;
  double now = steady_now();
  if (r.book->second_form() || r.asking_forms || now - r.forms_asked_at <= c::kFormsEvery) return;
  r.asking_forms = true;
  r.forms_asked_at = now;
  membership_.read(r.term.guard([this](std::optional<Membership::Forms> forms) {
    reign_->asking_forms = false;
    if (forms && forms->all_new) all_are_new("each has said so");
  }));
}

void Leader::check_reach() {
  // Guards against a leader that has the state service but no worker: with several machines up, no report at
  // all for much longer than an interval means that the network to us is cut. Another must lead before the
  // workers' leases run out. A new leader gives the workers time to find it first.
  Reign& r = *reign_;
  double now = steady_now();
  double patience = c::kUnheardReports * settings_.report_s + 1;
  double since = std::max(r.last_report, r.term.since + c::kOrdersTimeout);
  if (now - since < patience || !r.term.fresh(now) || r.term.resigning) return;
  int up = 0;
  for (const auto& [name, m] : r.book->machines()) up += m.up && !m.doomed;
  if (up < c::kUnheardMachines) return;
  give_up("no worker reaches us", settings_.lease_s / 2);
}

/// Guards against a job called queued long after one that it needs was cancelled, where no leader could store
/// its end meanwhile, for want of a leader or of the state service. All controllers are told how far that is
/// done, by the greetings of peers and, where those are cut, by a record; beyond it they do not answer for
/// such a job.
void Leader::note_settled() {
  Reign& r = *reign_;
  double seen = r.feed->seen_at();
  if (!r.settlement->news(seen) || r.feed->joining()) return;
  settled_at_ = r.settlement->look(seen, r.book->orphans(), !r.book->unknown().empty());
  double now = steady_now();
  if (settled_at_ < 0 || !r.book->awaiting() ||
      now - r.settled_written < c::kSettledShare * settings_.cancel_s)
    return;
  r.settled_written = now;
  state_.txn({{kLeaderKey, r.term.stamp}},
             {{kSettledKey, codec::Json{{"t", wall_now() - (now - settled_at_)}}, 0}}, [](StateReply) {});
}

void Leader::push_views() {
  std::vector<codec::JobView> views;
  Cluster& book = *reign_->book;
  for (const auto& id : book.take_changed())
    if (const Job* job = book.job(id)) {
      int running = book.running(*job);
      views.push_back({id, running ? "running" : "queued", job->done, running, book.reason(*job)});
    }
  if (!views.empty()) hooks_.views(std::move(views));
}

}  // namespace corkmux

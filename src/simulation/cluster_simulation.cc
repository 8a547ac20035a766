#include "cluster_simulation.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "simulation_constants.h"

namespace corkmux::simulation {

using codec::Json;

void ClusterSimulation::History::add(std::string_view text) {
  for (unsigned char c : text) value = (value ^ c) * 1099511628211ull;  // FNV-1a
}

void ClusterSimulation::Recorder::task_placed(const MachineFacts& machine, const SimulatedJob& work,
                                              int index, std::uint64_t attempt) {
  simulation.history_.add(fmt::format("on {:.6f} {} {}/{} {}\n", simulation.simulator_.now(), machine.name,
                                      work.spec.id, index, attempt));
  simulation.checker_.task_placed(machine, work, index, attempt);
  double now = simulation.simulator_.now();
  auto m = simulation.machines_.find(machine.name);
  simulation.occurrences_.young_starts += now < simulation.writes_lag_until_ &&
                                          m != simulation.machines_.end() &&
                                          now - m->second.booted < kRecentBoot;
}
void ClusterSimulation::Recorder::task_done(const SimulatedJob& work, int index) {
  simulation.checker_.task_done(work, index);
  if (std::count(work.done.begin(), work.done.end(), false) == 0 && simulation.users_)
    simulation.simulator_.as(simulation.users_host_, [&] { simulation.users_->job_ended(work.spec.id); });
}
void ClusterSimulation::Recorder::task_removed(const std::string& machine, const SimulatedJob& work,
                                               int index, std::uint64_t attempt, const std::string& why) {
  simulation.history_.add(fmt::format("off {:.6f} {} {}/{} {}\n", simulation.simulator_.now(), machine,
                                      work.spec.id, index, why));
  simulation.checker_.task_removed(machine, work, index, attempt, why);
}
void ClusterSimulation::Recorder::progress_lost(const SimulatedJob& work, const std::string& why,
                                                double seconds) {
  simulation.checker_.progress_lost(work, why, seconds);
}

ClusterSimulation::ClusterSimulation(SimulationPlan plan, std::uint64_t seed)
    : plan_(std::move(plan)),
      simulator_(seed, plan_.skew_s),
      checker_(plan_.teams, plan_.site.cancel_s, [this] { return simulator_.now(); }),
      services_host_(simulator_.host("state", "10.2.0.1", "", "state")),
      users_host_(simulator_.host("users", "10.3.0.1", "", "users")) {
  services_loop_ = std::make_unique<Loop>(services_host_);
  users_loop_ = std::make_unique<Loop>(users_host_);
  simulator_.as(services_host_, [&] {
    state_ = std::make_unique<StateService>(*services_loop_, "10.2.0.1:2379");
    state_->limits.value_bytes = static_cast<std::size_t>(plan_.site.value_kb * 1024);
    state_->limits.transaction_writes = static_cast<std::size_t>(plan_.site.txn_ops);
    state_->request_rate.set(plan_.site.state_rps);
    state_->change_rate.set(plan_.site.state_write_rps);
    state_->latency = [this] {
      return simulator_.uniform(0, 1) < kStateSlowShare ? kStateSlow * simulator_.uniform(0.5, 1.5)
                                                        : kStateQuick * simulator_.uniform(0.4, 1.8);
    };
    registry_ = std::make_unique<JobRegistry>(*services_loop_, plan_.times.gang_peer_s, recorder_,
                                              [this] { return simulator_.now(); });
  });
  simulator_.as(services_host_, [&] {
    std::vector<Capacity> capacity;
    for (const auto& m : plan_.machines) capacity.push_back(m.where);
    cloud_ = std::make_unique<Cloud>(
        *services_loop_, plan_.types, capacity, plan_.site.list_lag_s,
        Cloud::Callbacks{[this](const MachineFacts& f) { boot(f); },
                         [this](const std::string& n) { lose_machine(n, "deleted"); },
                         [this](const std::string& n) { return machine_ip(n) + ":9000"; }},
        "10.2.0.1:8443");
    cloud_->request_rate.set(plan_.site.cloud_rps, 2);
  });
  for (std::size_t i = 0; i < plan_.controllers.size(); ++i) {
    auto p = std::make_unique<Process>();
    p->label = fmt::format("c{}", i + 1), p->zone = plan_.controllers[i];
    simulator_.as(services_host_,
                  [&] { p->listener = state_->add_listener(fmt::format("10.2.0.1:{}", 3000 + i)); });
    addresses_[p->label] = fmt::format("10.0.0.{}:8080", i + 1);
    processes_.push_back(std::move(p));
  }
  for (auto& p : processes_) start(*p);
  double calm = 0;
  for (const auto& f : plan_.faults)
    calm = std::max(calm, f.at_s + f.for_s + f.every_s * (f.times + static_cast<double>(processes_.size())) +
                              std::max(f.back_s, plan_.restart_s));
  checker_.set_faults_end(calm);
  for (const auto& m : plan_.machines)
    for (int i = 0; i < m.initial; ++i) boot(cloud_->add_machine(m.where.type, m.where.zone, m.where.spot));
  simulator_.as(users_host_, [&] {
    users_ = std::make_unique<Users>(*users_loop_, addresses_, checker_, *registry_,
                                     [] { return steady_now() - kEpoch; });
    for (const auto& load : plan_.workloads) {
      streams_.push_back(std::make_unique<Stream>(*users_loop_, load));
      auto& stream = *streams_.back();
      // At the start they come over some seconds, once the controllers are up.
      for (int i = 0; i < load.at_start; ++i)
        users_host_.start(simulator_.uniform(2, 6), [this, &load] { submit(load); });
      stream.next.once(4, [this, &stream] { arm(stream); });
    }
    for (int i = 0; i < 5; ++i)
      users_host_.start(simulator_.uniform(10, plan_.until_s),
                        [this, i] { users_->poll_once(fmt::format("run-9{:05d}", i)); });
  });
  for (const auto& f : plan_.faults) simulator_.at(f.at_s, nullptr, [this, &f] { begin(f); });
  simulator_.at(kProgressInterval, nullptr, [this] { sample_progress(); });
}

ClusterSimulation::~ClusterSimulation() {
  for (auto& p : processes_)
    if (p->controller) simulator_.as(*p->host, [&] { p->controller.reset(), p->loop.reset(); });
}

void ClusterSimulation::run_until(double time) { simulator_.run_until(time); }
void ClusterSimulation::run() {
  simulator_.run_until(plan_.until_s);
  simulator_.as(services_host_, [&] { checker_.finish(); });
}

void ClusterSimulation::note(const std::string& what) {
  events_.push_back(fmt::format("{:7.2f} s  {}", simulator_.now(), what));
  history_.add(events_.back());
}

// ---------------------------------------------------------------- controllers

Settings ClusterSimulation::settings_of(const Process& process) const {
  Settings s = plan_.site;
  s.label = process.label, s.zone = process.zone;
  s.listen = addresses_.at(process.label);
  auto ip = s.listen.substr(0, s.listen.find(':'));
  s.peer_listen = ip + ":8081";
  s.state = fmt::format("10.2.0.1:{}", state_->listener_port(process.listener));
  s.cloud = fmt::format("10.2.0.1:{}", cloud_->port());
  for (const auto& other : processes_) {
    if (other->label == process.label) continue;
    const auto& a = addresses_.at(other->label);
    s.peers.push_back({other->label, other->zone, a.substr(0, a.find(':')) + ":8081"});
  }
  return s;
}

void ClusterSimulation::start(Process& p) {
  auto settings = settings_of(p);
  p.host = &simulator_.host(p.label, settings.peer_listen.substr(0, settings.peer_listen.find(':')), p.zone,
                            "controller");
  p.loop = std::make_unique<Loop>(*p.host);
  simulator_.as(*p.host, [&] {
    p.controller = std::make_unique<Controller>(*p.loop, settings, load_operator(""));
    p.controller->start();
  });
}

/// A machine that is off is silent, unlike a process that has ended on one that is on.
void ClusterSimulation::end(Process& p, bool silent, double back_s) {
  if (!p.controller) return;
  p.host->end(silent);
  simulator_.as(*p.host, [&] { p.controller.reset(), p.loop.reset(); });
  after(back_s * simulator_.uniform(0.9, 1.1), [this, &p] { start(p); });
}

void ClusterSimulation::crash(Process& p, double back_s) {
  end(p, false, back_s > 0 ? back_s : plan_.restart_s);
}

std::vector<ClusterSimulation::Process*> ClusterSimulation::chosen(const Fault& fault) {
  std::vector<Process*> out;
  for (auto& p : processes_)
    if (p->controller) out.push_back(p.get());
  std::shuffle(out.begin(), out.end(), simulator_.rng());
  std::stable_sort(out.begin(), out.end(), [&](const Process* a, const Process* b) {
    return fault.busiest ? a->controller->leading() > b->controller->leading()
                         : a->controller->leading() < b->controller->leading();
  });
  if (out.size() > static_cast<std::size_t>(fault.count)) out.resize(static_cast<std::size_t>(fault.count));
  return out;
}

// ---------------------------------------------------------------- machines and jobs

std::string ClusterSimulation::machine_ip(const std::string& name) const {
  int n = std::stoi(name.substr(2));
  return fmt::format("10.1.{}.{}", n / 200, n % 200 + 1);
}

void ClusterSimulation::boot(const MachineFacts& facts) {
  Machine& m = machines_[facts.name];
  auto ip = machine_ip(facts.name);
  m.host = &simulator_.host(facts.name, ip, facts.zone, "worker");
  m.booted = simulator_.now();
  m.loop = std::make_unique<Loop>(*m.host);
  simulator_.as(*m.host, [&] {
    m.worker = std::make_unique<Worker>(*m.loop, facts, plan_.times, addresses_, *registry_, ip + ":9000");
  });
}

void ClusterSimulation::lose_machine(const std::string& name, const std::string& why) {
  auto it = machines_.find(name);
  if (it == machines_.end()) return;
  Machine& m = it->second;
  simulator_.as(*m.host, [&] { m.worker->terminate(why); });
  m.host->end(true);
  simulator_.as(*m.host, [&] { m.worker.reset(), m.loop.reset(); });
  machines_.erase(it);
}

std::vector<std::string> ClusterSimulation::some_machines(int count, const std::string& zone,
                                                          bool spot_only) {
  std::vector<std::string> out;
  for (const auto& [name, m] : machines_)
    if ((zone.empty() || m.host->zone() == zone) && (!spot_only || m.worker->facts().spot))
      out.push_back(name);
  std::shuffle(out.begin(), out.end(), simulator_.rng());
  if (out.size() > static_cast<std::size_t>(count)) out.resize(static_cast<std::size_t>(count));
  return out;
}

void ClusterSimulation::submit(const Workload& load) {
  auto& rng = simulator_.rng();
  SimulatedJob w;
  w.spec = load.job_template;
  w.spec.id = fmt::format("run-{:06d}", ++next_job_);
  w.spec.tasks = load.tasks[simulator_.below(load.tasks.size())];
  w.spec.image = fmt::format("{}-{}", load.job_template.job_class,
                             simulator_.below(static_cast<std::size_t>(load.images)));
  std::lognormal_distribution<double> spread(0, 0.35);
  double run = load.run_s * std::clamp(spread(rng), 0.4, 2.5);
  for (int i = 0; i < w.spec.tasks; ++i) w.run_s.push_back(run * simulator_.uniform(0.85, 1.15));
  w.spec.estimate_s = w.spec.kind == JobKind::Service ? 0 : run * simulator_.uniform(0.6, 1.5);
  w.always_fails = simulator_.uniform(0, 1) < load.bad_share;
  // Services and jobs with a mistake end by their users; so do some others.
  std::optional<double> cancel_after_s;
  if (w.always_fails || w.spec.kind == JobKind::Service)
    cancel_after_s = simulator_.uniform(40, 80);
  else if (simulator_.uniform(0, 1) < load.cancel_share)
    cancel_after_s = simulator_.uniform(1, 2 * load.run_s);
  users_->submit(std::move(w), cancel_after_s);
}

void ClusterSimulation::arm(Stream& stream) {
  if (stream.load->per_minute <= 0 || simulator_.now() >= plan_.jobs_until_s) return;
  std::exponential_distribution<double> gap(stream.load->per_minute * stream.factor / 60);
  stream.next.once(gap(simulator_.rng()), [this, &stream] { arrivals(stream); });
}
void ClusterSimulation::arrivals(Stream& stream) {
  if (simulator_.now() < plan_.jobs_until_s) submit(*stream.load);
  arm(stream);
}

// ---------------------------------------------------------------- progress

void ClusterSimulation::sample_progress() {
  simulator_.at(simulator_.now() + kProgressInterval, nullptr, [this] { sample_progress(); });
  detect_new_leader();
  checker_.sample_progress(fitting_jobs());
}

/// While heartbeats are held for the next leader they reach every controller as it begins.
void ClusterSimulation::detect_new_leader() {
  if (simulator_.now() < for_next_until_)
    simulator_.at(simulator_.now() + kLeaderDetectionInterval, nullptr, [this] { detect_new_leader(); });
  for (auto& p : processes_) {
    bool led = std::exchange(p->led, p->controller && !p->host->stalled() && p->controller->leading());
    if (led || !p->led) continue;
    ++terms_;
    note(fmt::format("{} leads", p->label));
    std::vector<Host*> all;
    for (auto& other : processes_)
      if (other->controller) all.push_back(other->host);
    occurrences_.copies += simulator_.deliver_kept(all, kUsersPort);
  }
}

std::vector<std::string> ClusterSimulation::fitting_jobs() {
  struct Room {
    const Worker* worker;
    Resources free;
  };
  std::vector<Room> rooms;
  bool computed = false;
  std::map<std::string, bool> known;  // alike jobs fit alike
  std::vector<std::string> out;
  auto fits = [&](const JobSpec& s) {
    auto team =
        std::find_if(plan_.teams.begin(), plan_.teams.end(), [&](const Team& t) { return t.name == s.team; });
    Resources use = checker_.team_usage(s.team);
    use += s.at_once();
    if (!team->allows(use)) return false;
    if (!std::exchange(computed, true))
      for (const auto& entry : machines_) {
        const Machine& m = entry.second;
        bool reached = !m.host->stalled() && !m.faulty && !m.cut;
        reached &= std::any_of(processes_.begin(), processes_.end(), [&](const auto& p) {
          return p->controller && !p->host->stalled() && simulator_.reaches(*m.host, *p->host);
        });
        if (reached) rooms.push_back({m.worker.get(), m.worker->free()});
      }
    int wanted = s.kind == JobKind::Gang ? s.tasks : 1;
    std::map<std::string, int> there;
    for (const auto& r : rooms) {
      const auto& f = r.worker->facts();
      if (!s.allows_type(f.type.name) || (s.zone && *s.zone != f.zone) || (f.spot && !s.spot)) continue;
      int n = s.need.times_in(r.free);
      if (n > 0 && (there[s.one_zone ? f.zone : ""] += n) >= wanted) return true;
    }
    return false;
  };
  for (const auto& open : checker_.waiting_jobs(*registry_)) {
    const JobSpec& s = open.job->spec;
    auto [it, fresh] = known.try_emplace(
        fmt::format("{}/{}/{}", s.job_class, s.team, s.kind == JobKind::Gang ? s.tasks : 1), false);
    if (fresh) it->second = fits(s);
    if (it->second) out.push_back(s.id);
  }
  return out;
}

// ---------------------------------------------------------------- the account

std::vector<std::string> ClusterSimulation::problems() const {
  auto out = checker_.violations();
  auto shares = [&](const char* what, const std::map<std::string, InvariantChecker::JobStatistics>& all) {
    for (const auto& [name, s] : all)
      if (s.served() < plan_.served)
        out.push_back(fmt::format("served: {} {} only {:.2f}", what, name, s.served()));
  };
  shares("class", checker_.by_class());
  shares("team", checker_.by_team());
  for (const auto& [name, s] : checker_.by_class()) {
    // Of too few, chance decides.
    if (s.largest < kLargestCounted) continue;
    if (s.largest_begun < plan_.served * s.largest || s.largest_done < plan_.served * s.largest)
      out.push_back(fmt::format("served: of {} largest jobs of class {} only {} began in time, {} are done",
                                s.largest, name, s.largest_begun, s.largest_done));
  }
  return out;
}

namespace {
struct Formatter : spdlog::formatter {
  void format(const spdlog::details::log_msg& m, spdlog::memory_buf_t& out) override {
    const auto* host = dynamic_cast<const Host*>(Runtime::in_use);
    fmt::format_to(std::back_inserter(out), "{:8.3f} {:<8} {} {}\n", host ? host->simulated_time() : 0,
                   host ? host->name() : "", spdlog::level::to_short_c_str(m.level),
                   std::string_view(m.payload.data(), m.payload.size()));
  }
  std::unique_ptr<spdlog::formatter> clone() const override { return std::make_unique<Formatter>(); }
};

double at_share(const std::vector<double>& sorted, double share) {
  return sorted.empty()
             ? 0
             : sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * sorted.size()))];
}
}  // namespace

Json ClusterSimulation::report() const {
  auto shares = [](const std::map<std::string, InvariantChecker::JobStatistics>& all) {
    Json out = Json::object();
    for (const auto& [name, s] : all)
      out[name] = {{"submitted", s.submitted},
                   {"accepted", s.accepted},
                   {"refused", s.refused},
                   {"given_up", s.given_up},
                   {"started", s.started},
                   {"cancelled", s.cancelled},
                   {"done", s.done},
                   {"served", s.served()},
                   {"wait_s",
                    {{"half", at_share(s.waits, 0.5)},
                     {"nine_in_ten", at_share(s.waits, 0.9)},
                     {"longest", at_share(s.waits, 1)}}}};
    return out;
  };
  return {{"world", plan_.name},
          {"seconds", simulator_.now()},
          {"classes", shares(checker_.by_class())},
          {"teams", shares(checker_.by_team())},
          {"starts", checker_.starts()},
          {"lost_task_seconds", checker_.lost_seconds()},
          {"longest_pause_s", checker_.longest_pause()},
          {"polls", checker_.polls()},
          {"polls_answered", checker_.polls_answered()},
          {"starts_after_cancel", checker_.starts_after_cancel()},
          {"latest_start_after_cancel_s", checker_.latest_start_after_cancel()},
          {"terms", terms_},
          {"state_requests", state_->counters().requests},
          {"state_over_rate", state_->counters().rate_limited},
          {"money", cloud_->cost()},
          {"machines", machines_.size()},
          {"events", events_},
          {"problems", problems()},
          {"history", fmt::format("{:016x}", history_.value)}};
}

std::string ClusterSimulation::report_text() const {
  std::string out = fmt::format("{}: {:.0f} s with {} controllers, {} machines at the end\n", plan_.name,
                                simulator_.now(), processes_.size(), machines_.size());
  for (const auto& e : events_) out += "  " + e + "\n";
  auto table = [&](const char* what, const std::map<std::string, InvariantChecker::JobStatistics>& all) {
    for (const auto& [name, s] : all)
      out += fmt::format(
          "  {} {:<16} {:>4} submitted, {:>4} done, {:>3} cancelled, served {:.2f}; waits {:.1f} s (half), "
          "{:.1f} s (nine in ten)\n",
          what, name, s.submitted, s.done, s.cancelled, s.served(), at_share(s.waits, 0.5),
          at_share(s.waits, 0.9));
  };
  table("class", checker_.by_class());
  table("team ", checker_.by_team());
  out += fmt::format(
      "  {} starts; longest pause in placing while work that fits waited: {:.2f} s; {} requests to the state "
      "service\n",
      checker_.starts(), checker_.longest_pause(), state_->counters().requests);
  out += fmt::format("  {} of {} polls answered; {} requests beyond the state service's rate\n",
                     checker_.polls_answered(), checker_.polls(), state_->counters().rate_limited);
  for (const auto& [why, s] : checker_.lost_seconds())
    if (s > 0) out += fmt::format("  lost to {}: {:.0f} task seconds\n", why, s);
  auto wrong = problems();
  out += wrong.empty() ? "  every rule held, every class and team was served\n" : "";
  for (const auto& w : wrong) out += "  WRONG: " + w + "\n";
  return out;
}

std::unique_ptr<spdlog::formatter> log_formatter() { return std::make_unique<Formatter>(); }

}  // namespace corkmux::simulation

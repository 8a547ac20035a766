#include "scale_test_run.h"

#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <numeric>
#include <random>

#include "scale_test_constants.h"
#include "simulation_constants.h"

namespace corkmux::scale_test {
namespace fs = std::filesystem;
using codec::Json;

namespace {

fs::path make_folder() {
  std::string name = (fs::temp_directory_path() / "corkmux-scale-test-XXXXXX").string();
  if (!::mkdtemp(name.data())) throw std::runtime_error(name + " cannot be made");
  return name;
}

void write_file(const fs::path& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  if (!out.flush()) throw std::runtime_error(path.string() + ": cannot be written");
}

}  // namespace

ScaleTestRun::ScaleTestRun(Loop& loop, ScaleTestPlan plan, Programs programs, std::string plan_file,
                           std::vector<std::string> overrides)
    : loop_(loop),
      plan_(std::move(plan)),
      programs_(std::move(programs)),
      plan_file_(std::move(plan_file)),
      overrides_(std::move(overrides)),
      jobs_(plan_),
      record_(plan_.team_list(), plan_.site.cancel_s, plan_.zone_names().size(), metrics_),
      folder_(make_folder()),
      nobody_(std::make_unique<simulation::MachineObserver>()),
      registry_(loop, plan_.times.gang_peer_s, *nobody_, run_time),
      collector_(loop, "127.0.0.1:0", kMostProcesses + 50,
                 [this](http::Server::ConnectionId id, http::Request r) { serve(id, r); }),
      random_(plan_.seed) {}

ScaleTestRun::~ScaleTestRun() {
  for (auto& c : controllers_) c->process.reset();
  for (auto& h : hosts_) h->process.reset();
  state_.process.reset();
  std::error_code ignored;
  if (failure_.empty()) fs::remove_all(folder_, ignored);
}

void ScaleTestRun::start(std::function<void()> done) {
  done_ = std::move(done);
  state_.log = folder_ / "state.log";
  std::vector<std::string> command{programs_.own, plan_file_,
                                   "--role",      "state",
                                   "--collector", fmt::format("127.0.0.1:{}", collector_.port())};
  command.insert(command.end(), overrides_.begin(), overrides_.end());
  state_.process = std::make_unique<ChildProcess>(command, state_.log);
  sample();
  progress();
  wait_for(
      "the state service", [this] { return state_counts_.port != 0; }, [this] { begin_outside(); });
}

void ScaleTestRun::wait_for(std::string what, std::function<bool()> there, std::function<void()> then) {
  auto until = std::make_shared<double>(run_time() + kUpPatience);
  auto look = std::make_shared<std::function<void()>>();
  *look = [=, this] {
    if (over_) return;
    if (there()) return then();
    if (run_time() > *until) return fail(what + " did not come up");
    loop_.call_later(kEventsEvery, *look);
  };
  (*look)();
}

// ---------------------------------------------------------------- what is started

void ScaleTestRun::begin_outside() {
  std::vector<simulation::Capacity> capacity;
  auto zones = plan_.zone_names();
  for (std::size_t z = 0; z < zones.size(); ++z)
    for (const auto& type : plan_.types())
      capacity.push_back({type.name, zones[z], false, plan_.machines_in(z, type.name)});
  simulation::Cloud::Callbacks hooks;
  hooks.address = [this](const std::string& name) { return machine_addresses_[name]; };
  cloud_ = std::make_unique<simulation::Cloud>(loop_, plan_.types(), capacity, plan_.site.list_lag_s, hooks);
  cloud_->request_rate.set(plan_.site.cloud_rps, 2);
  for (std::size_t z = 0; z < zones.size(); ++z) {
    hosts_.push_back(std::make_unique<Host>());
    for (const auto& type : plan_.types())
      for (int i = 0; i < plan_.machines_in(z, type.name); ++i) {
        auto facts = cloud_->add_machine(type.name, zones[z], false);
        machines_[facts.name] = facts;
        hosts_.back()->to_boot.push_back(facts);
      }
  }
  start_controllers();
  start_hosts();
  wait_for(
      "the workers and a leader",
      [this] {
        return static_cast<int>(machine_addresses_.size()) >= plan_.workers && leader() < controllers_.size();
      },
      [this] { begin_load(); });
}

void ScaleTestRun::start_controllers() {
  for (int i = 0; i < plan_.controllers; ++i) {
    auto ip = fmt::format("127.0.1.{}", i + 1);
    user_addresses_.emplace_back(ip);
    peer_addresses_.emplace_back(ip);
  }
  std::vector<std::string> users, peers;
  for (const auto& a : user_addresses_) users.push_back(a.text());
  for (const auto& a : peer_addresses_) peers.push_back(a.text());
  // Machines are a given of the run: nothing is rented or returned for load.
  write_file(folder_ / "operator.textproto", "manage_fleet: false\n");
  for (std::size_t i = 0; i < users.size(); ++i) {
    auto role = std::make_unique<Role>();
    role->label = fmt::format("c{:02}", i + 1);
    role->log = folder_ / (role->label + ".log");
    write_file(folder_ / (role->label + ".toml"),
               controller_settings(plan_, i, users, peers, fmt::format("127.0.0.1:{}", state_counts_.port),
                                   cloud_->address()));
    controllers_.push_back(std::move(role));
    start_controller(i);
  }
}

void ScaleTestRun::start_controller(std::size_t number) {
  Role& c = *controllers_[number];
  c.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{programs_.controller, "--config", folder_ / (c.label + ".toml"), "--operator",
                               folder_ / "operator.textproto"},
      c.log);
}

void ScaleTestRun::start_hosts() {
  std::string controllers;
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    controllers += (i ? "," : "") + controllers_[i]->label + "=" + user_addresses_[i].text();
  int network = 10 + static_cast<int>(std::random_device{}() % 200);
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    hosts_[i]->log = folder_ / fmt::format("host-{}.log", i);
    std::vector<std::string> command{programs_.own,
                                     plan_file_,
                                     "--role",
                                     "workers",
                                     "--collector",
                                     fmt::format("127.0.0.1:{}", collector_.port()),
                                     "--host",
                                     std::to_string(i),
                                     "--network",
                                     std::to_string(network),
                                     "--controller-addresses",
                                     controllers};
    command.insert(command.end(), overrides_.begin(), overrides_.end());
    hosts_[i]->process = std::make_unique<ChildProcess>(command, hosts_[i]->log);
  }
}

// ---------------------------------------------------------------- what the other processes say

void ScaleTestRun::serve(http::Server::ConnectionId id, const http::Request& request) {
  auto body = codec::unpack(request.body);
  if (request.target == "/host" && body)
    if (auto report = parse_host_status(*body)) return host_status(id, *report);
  if (request.target == "/state" && body) return state_counts_received(id, parse_state_counts(*body));
  collector_.respond(id, {400, "", 0, false});
}

void ScaleTestRun::host_status(http::Server::ConnectionId id, const HostStatus& report) {
  if (report.host < 0 || static_cast<std::size_t>(report.host) >= hosts_.size())
    return collector_.respond(id, {400, "", 0, false});
  Host& host = *hosts_[static_cast<std::size_t>(report.host)];
  host.traffic = report.traffic;
  host.workers = report.workers;
  host.tasks = report.tasks;
  for (const auto& event : report.events)
    if (event.kind == MachineEvent::Kind::Up) machine_addresses_[event.machine] = event.why;
  record_.add(report, machines_, registry_);
  record_.apply();
  HostInstructions instructions = std::exchange(host.instructions, {});
  std::size_t boots = std::min(host.to_boot.size(), kBootsAtOnce);
  auto end = host.to_boot.begin() + static_cast<std::ptrdiff_t>(boots);
  instructions.boot.assign(host.to_boot.begin(), end);
  host.to_boot.erase(host.to_boot.begin(), end);
  collector_.respond(id, {200, codec::pack(to_wire(instructions)), 0, false});
}

void ScaleTestRun::state_counts_received(http::Server::ConnectionId id, StateCounts counts) {
  state_.traffic = counts.traffic;
  state_counts_ = std::move(counts);
  collector_.respond(id, {200, "", 0, false});
}

std::size_t ScaleTestRun::leader() const {
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    if (controllers_[i]->label == state_counts_.leader) return i;
  return controllers_.size();
}

// ---------------------------------------------------------------- the course of the run

void ScaleTestRun::begin_load() {
  began_ = run_time();
  std::map<std::string, std::string> addresses;
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    addresses[controllers_[i]->label] = user_addresses_[i].text();
  users_ = std::make_unique<simulation::Users>(loop_, addresses, record_, registry_);
  metrics_.set_window(began_ + plan_.warm_s, began_ + plan_.for_s);
  submitting_ = true;
  // The balancer probes each second; before its first answer nobody is healthy.
  loop_.call_later(2 * simulation::kReadyEvery, [this] { submit_next(); });
  loop_.call_later(plan_.warm_s, [this] { open_window(); });
  loop_.call_later(plan_.for_s, [this] { close_window(); });
  for (const auto& f : plan_.faults) loop_.call_later(f.at_s, [this, &f] { inject(f); });
}

void ScaleTestRun::submit_next() {
  if (!submitting_ || over_) return;
  int number = ++next_job_;
  std::optional<double> cancel_after_s;
  if (jobs_.cancelled(number))
    cancel_after_s = std::uniform_real_distribution<double>(0, plan_.run_s)(random_);
  users_->submit(jobs_.job(number), cancel_after_s);
  std::exponential_distribution<double> gap(plan_.jobs_per_s());
  loop_.call_later(gap(random_), [this] { submit_next(); });
}

void ScaleTestRun::open_window() {
  leader_at_start_ = leader();
  ask_for_traffic();
  loop_.call_later(kTrafficPatience, [this] {
    window_from_ = run_time();
    for (auto& c : controllers_) read_traffic(*c);
    for (auto* role : roles()) {
      role->most_files_before = std::exchange(role->most_files, 0);
      read_usage(*role, true);
      role->at_start = role->used;
      role->at_start.cpu_s += role->cpu_before;
      role->traffic_at_start = role->traffic;
    }
    state_at_start_ = state_counts_;
  });
}

void ScaleTestRun::close_window() {
  submitting_ = false;
  leader_at_end_ = leader();
  ask_for_traffic();
  loop_.call_later(kTrafficPatience, [this] {
    window_to_ = run_time();
    for (auto& c : controllers_) read_traffic(*c);
    for (auto* role : roles()) {
      read_usage(*role, true);
      role->used.cpu_s += role->cpu_before;
    }
    drain();
  });
}

/// Until every job is over, or the plan's patience is.
void ScaleTestRun::drain() {
  if (over_) return;
  int tasks =
      std::accumulate(hosts_.begin(), hosts_.end(), 0, [](int n, const auto& h) { return n + h->tasks; });
  bool idle = tasks == 0 && record_.checker().waiting_jobs(registry_).empty();
  if (idle || seconds() > plan_.for_s + plan_.drain_s) return finish();
  loop_.call_later(kProgressEvery / 5, [this] { drain(); });
}

void ScaleTestRun::finish() {
  if (std::exchange(over_, true)) return;
  for (const auto& open : record_.checker().waiting_jobs(registry_))
    std::cerr << fmt::format("at the end {} ({}, {} tasks) still waits for {} starts\n", open.job->spec.id,
                             open.job->spec.job_class, open.job->spec.tasks, open.waiting_tasks);
  record_.apply();
  record_.checker().finish();
  done_();
}

void ScaleTestRun::fail(const std::string& why) {
  if (std::exchange(over_, true)) return;
  failure_ = why + fmt::format(" (logs: {})", folder_.string());
  done_();
}

// ---------------------------------------------------------------- faults

void ScaleTestRun::inject(const Fault& f) {
  if (over_) return;
  std::cerr << fmt::format("{:6.1f} s  fault: {} ({})\n", seconds(), Fault::name(f.kind), f.count);
  metrics_.fault(Fault::name(f.kind), run_time());
  std::size_t leading = leader();
  switch (f.kind) {
    case Fault::Kind::LeaderKilled:
      if (leading < controllers_.size()) restart_controller(leading);
      return;
    case Fault::Kind::FollowerKilled:
      return restart_controller((leading + 1) % controllers_.size());
    case Fault::Kind::WorkersGone:
      return lose_machines(f.count, "died", false);
    case Fault::Kind::RackRestarted:
      return lose_machines(f.count, "restarted", true);
    case Fault::Kind::ControllersRestarted:
      for (std::size_t i = 0; i < controllers_.size(); ++i)
        loop_.call_later(kRollEvery * static_cast<double>(i), [this, i] { restart_controller(i); });
      return;
  }
}

void ScaleTestRun::restart_controller(std::size_t number) {
  Role& c = *controllers_[number];
  if (over_ || !c.process) return;
  read_usage(c, false);
  c.cpu_before += c.used.cpu_s;
  c.used.cpu_s = 0;
  c.process.reset();
  ++c.restarts;
  loop_.call_later(kRestartDelay, [this, number] {
    if (!over_) start_controller(number);
  });
}

/// Machines of one zone, which is what a rack or a switch takes down; those that come back have new names, as
/// rented ones have.
void ScaleTestRun::lose_machines(int count, const std::string& why, bool come_back) {
  auto zones = plan_.zone_names();
  std::size_t zone = random_() % static_cast<std::size_t>(plan_.zones);
  std::vector<simulation::MachineFacts> lost;
  for (std::size_t tried = 0; tried < static_cast<std::size_t>(plan_.zones); ++tried, ++zone) {
    zone %= static_cast<std::size_t>(plan_.zones);
    Host& host = *hosts_[zone];
    for (const auto& [name, address] : machine_addresses_) {
      if (static_cast<int>(lost.size()) == count) break;
      if (machines_.at(name).zone != zones[zone]) continue;
      lost.push_back(machines_.at(name));
      host.instructions.lose.push_back(name);
      host.instructions.why_lost = why;
    }
  }
  for (const auto& facts : lost) {
    machine_addresses_.erase(facts.name);
    cloud_->machine_died(facts.name);
  }
  if (!come_back) return;
  loop_.call_later(kRackBack, [this, lost, zones] {
    for (const auto& old : lost) {
      auto facts = cloud_->add_machine(old.type.name, old.zone, false);
      machines_[facts.name] = facts;
      auto at = std::find(zones.begin(), zones.end(), old.zone) - zones.begin();
      hosts_[static_cast<std::size_t>(at)]->to_boot.push_back(facts);
    }
  });
}

// ---------------------------------------------------------------- measuring

std::vector<ScaleTestRun::Role*> ScaleTestRun::roles() {
  std::vector<Role*> out{&state_};
  for (auto& c : controllers_) out.push_back(c.get());
  for (auto& h : hosts_) out.push_back(h.get());
  return out;
}

void ScaleTestRun::read_usage(Role& role, bool count_files) {
  auto usage = role.process ? role.process->usage(count_files) : std::nullopt;
  if (!usage) return;
  role.peak_mb = std::max(role.peak_mb, usage->peak_mb);
  role.most_files = std::max(role.most_files, usage->files);
  role.used = *usage;
}

/// Memory of all processes together, and sockets, while the window is open.
void ScaleTestRun::sample() {
  if (over_) return;
  bool count_files = ++samples_ % 8 == 0;
  double memory = 0;
  if (!window_to_)
    for (auto* role : roles()) {
      read_usage(*role, count_files);
      memory += role->used.now_mb;
    }
  std::ifstream statm("/proc/self/statm");
  double pages = 0;
  statm >> pages >> pages;
  memory += pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
  peak_mb_ = std::max(peak_mb_, memory);
  for (auto* role : roles())
    if (role->process && !role->process->running())
      return fail(fmt::format("a process has ended by itself, see {}", role->log));
  loop_.call_later(kSampleEvery, [this] { sample(); });
}

void ScaleTestRun::ask_for_traffic() {
  for (auto& c : controllers_)
    if (c->process) c->process->signal(SIGUSR1);
}

/// The last line of a controller's log that says what it has sent and served. Counts begin anew with each
/// life.
void ScaleTestRun::read_traffic(Role& role) const {
  std::ifstream log(role.log);
  std::string line, last;
  while (std::getline(log, line))
    if (line.find("traffic [") != std::string::npos) last = line;
  auto at = last.find('{');
  if (at == std::string::npos) return;
  auto parsed = Json::parse(last.substr(at), nullptr, false);
  if (parsed.is_object()) role.traffic = std::move(parsed);
}

void ScaleTestRun::progress() {
  if (over_) return;
  int workers = 0, tasks = 0;
  for (const auto& h : hosts_) workers += h->workers, tasks += h->tasks;
  std::cerr << fmt::format(
      "{:6.1f} s  {} of {} workers, {} tasks on them, {} jobs submitted, {} starts, leader {}\n",
      began_ > 0 ? seconds() : 0, workers, plan_.workers, tasks, next_job_, record_.checker().starts(),
      state_counts_.leader.empty() ? "none" : state_counts_.leader);
  loop_.call_later(kProgressEvery, [this] { progress(); });
}

}  // namespace corkmux::scale_test

#include "scale_test_run.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <iostream>

#include "simulation_constants.h"

namespace corkmux::scale_test {

ScaleTestRun::ScaleTestRun(Loop& loop, ScaleTestPlan plan, Programs programs)
    : loop_(loop),
      plan_(std::move(plan)),
      programs_(std::move(programs)),
      random_(plan_.seed),
      merger_(plan_.team_list(), plan_.site.cancel_s, plan_.zone_names().size(), metrics_),
      registry_(loop, plan_.times.gang_peer_s, unobserved_, run_time),
      collector_(loop, {[this](const HostStatus& status) { return on_host_status(status); },
                        [this](StateCounts counts) { on_state_counts(std::move(counts)); }}),
      state_service_(folder_.file("state.log")),
      controllers_(plan_, folder_, programs_.controller),
      fleet_(loop, plan_, folder_),
      load_(loop, plan_, random_),
      faults_(loop, plan_, {controllers_, fleet_, state_service_, [this] { return leader(); }}, random_),
      sampler_(loop, {[this] { return processes(); },
                      [this](const MeasuredProcess& process) { on_unexpected_exit(process); }}) {}

ScaleTestRun::~ScaleTestRun() {
  controllers_.end();
  fleet_.end();
  state_service_.end();
}

// ---------------------------------------------------------------- start-up

void ScaleTestRun::start(std::function<void()> done) {
  done_ = std::move(done);
  state_service_.start(role_command("state"));
  sampler_.start();
  log_progress();
  wait_for({"the state service", [this] { return state_counts_.port != 0; },
            [this] { start_controllers_and_workers(); }, run_time() + kStartStepTimeout});
}

std::vector<std::string> ScaleTestRun::role_command(const std::string& role) const {
  std::vector<std::string> command{programs_.own};
  command.insert(command.end(), programs_.own_arguments.begin(), programs_.own_arguments.end());
  command.insert(command.end(), {"--role", role, "--collector", collector_.address()});
  return command;
}

void ScaleTestRun::wait_for(StartStep step) {
  if (ended_) return;
  if (step.reached()) return step.next();
  if (run_time() > step.give_up_at) {
    not_run_ = step.what + " did not come up";
    return fail(*not_run_);
  }
  loop_.call_later(kStartCheckInterval, [this, step = std::move(step)] { wait_for(step); });
}

void ScaleTestRun::start_controllers_and_workers() {
  controllers_.start_all(fmt::format("127.0.0.1:{}", state_counts_.port), fleet_.cloud_address());
  fleet_.start_hosts(role_command("workers"), controllers_.user_addresses());
  wait_for({"the workers and a leader",
            [this] { return static_cast<int>(fleet_.known_addresses()) >= plan_.workers && leader(); },
            [this] { begin_load(); }, run_time() + kStartStepTimeout});
}

// ---------------------------------------------------------------- messages of the other processes

std::optional<HostInstructions> ScaleTestRun::on_host_status(const HostStatus& status) {
  auto instructions = fleet_.host_status(status);
  if (!instructions) return std::nullopt;
  merger_.add(status, fleet_.machines(), registry_);
  merger_.apply();
  return instructions;
}

void ScaleTestRun::on_state_counts(StateCounts counts) {
  state_service_.set_traffic(counts.traffic);
  state_counts_ = std::move(counts);
}

void ScaleTestRun::on_unexpected_exit(const MeasuredProcess& process) {
  fail(fmt::format("a process has ended by itself, see {}", process.log()));
}

// ---------------------------------------------------------------- load and measurement

void ScaleTestRun::begin_load() {
  double now = run_time();
  load_began_at_ = now;
  users_ = std::make_unique<simulation::Users>(loop_, controllers_.user_addresses(), merger_, registry_);
  metrics_.set_window({now + plan_.warm_s, now + plan_.for_s});
  // The users' load balancer probes the controllers each second, and no controller counts as healthy before
  // its first response; so the load starts after two probe intervals.
  loop_.call_later(2 * simulation::kProbeInterval, [this] { load_.start(*users_); });
  loop_.call_later(plan_.warm_s, [this] { open_window(); });
  loop_.call_later(plan_.for_s, [this] { close_window(); });
  for (const auto& fault : plan_.faults) loop_.call_later(fault.at_s, [this, &fault] { inject(fault); });
}

void ScaleTestRun::with_traffic(std::function<void()> then) {
  controllers_.request_traffic();
  loop_.call_later(kTrafficLogDelay, [this, then = std::move(then)] {
    controllers_.read_traffic();
    then();
  });
}

void ScaleTestRun::open_window() {
  leader_at_window_open_ = leader();
  with_traffic([this] {
    window_opened_at_ = run_time();
    for (auto* process : processes()) process->open_window();
    state_counts_at_window_open_ = state_counts_;
  });
}

void ScaleTestRun::close_window() {
  load_.stop();
  leader_at_window_close_ = leader();
  with_traffic([this] {
    window_closed_at_ = run_time();
    sampler_.stop_reading();
    for (auto* process : processes()) process->close_window();
    drain();
  });
}

void ScaleTestRun::inject(const Fault& fault) {
  if (ended_) return;
  const char* name = Fault::name(fault.kind);
  std::cerr << fmt::format("{:6.1f} s  fault: {} (count {}, for {:.1f} s, back after {:.1f} s)\n", load_s(),
                           name, fault.count, fault.for_s, fault.back_s);
  fault_log_ += fmt::format("[{:%Y-%m-%d %H:%M:%S}] [fault] {} count={} for_s={:.2f} back_s={:.2f}\n",
                            std::chrono::system_clock::now(), name, fault.count, fault.for_s, fault.back_s);
  metrics_.fault(name, run_time());
  faults_.inject(fault);
}

// ---------------------------------------------------------------- end

void ScaleTestRun::drain() {
  if (ended_) return;
  bool all_ended = fleet_.tasks() == 0 && merger_.checker().waiting_jobs(registry_).empty();
  if (all_ended || load_s() > plan_.for_s + plan_.drain_s) return finish();
  loop_.call_later(kDrainCheckInterval, [this] { drain(); });
}

void ScaleTestRun::finish() {
  if (ended_) return;
  for (const auto& open : merger_.checker().waiting_jobs(registry_))
    std::cerr << fmt::format("at the end {} ({}, {} tasks) still waits for {} starts\n", open.job->spec.id,
                             open.job->spec.job_class, open.job->spec.tasks, open.waiting_tasks);
  merger_.apply();
  merger_.checker().finish();
  note_unsettled();
  if (plan_.must_settle && merger_.checker().confirmed_cancellations(0, kNever) == 0)
    not_run_ = "no job was cancelled while its tasks ran";
  keep_logs_of_violations();
  end();
}

void ScaleTestRun::note_unsettled() {
  const auto waiting = merger_.checker().waiting_jobs(registry_).size();
  if (!plan_.must_settle || (waiting == 0 && fleet_.tasks() == 0)) return;
  unsettled_ = fmt::format("not settled {:.0f} s after the load: {} jobs wait, {} tasks are on machines",
                           plan_.drain_s, waiting, fleet_.tasks());
}

void ScaleTestRun::keep_logs_of_violations() {
  if (merger_.checker().violations().empty() && !unsettled_) return;
  folder_.write("faults.log", fault_log_);
  folder_.keep();
  std::cerr << "logs: " << folder_.path() << "\n";
}

void ScaleTestRun::fail(const std::string& why) {
  if (ended_) return;
  failure_ = why + fmt::format(" (logs: {})", folder_.path());
  folder_.keep();
  end();
}

void ScaleTestRun::end() {
  ended_ = true;
  load_.stop();
  faults_.stop();
  sampler_.stop();
  done_();
}

// ---------------------------------------------------------------- progress and report

std::vector<MeasuredProcess*> ScaleTestRun::processes() {
  std::vector<MeasuredProcess*> processes{&state_service_};
  for (const auto& part : {controllers_.processes(), fleet_.zone_hosts(), fleet_.single_hosts()})
    processes.insert(processes.end(), part.begin(), part.end());
  return processes;
}

double ScaleTestRun::load_s() const { return load_began_at_ ? run_time() - *load_began_at_ : 0; }

void ScaleTestRun::log_progress() {
  if (ended_) return;
  std::cerr << fmt::format(
      "{:6.1f} s  {} of {} workers, {} tasks on them, {} jobs submitted, {} starts, leader {}\n", load_s(),
      fleet_.workers(), plan_.workers, fleet_.tasks(), load_.submitted(), merger_.checker().starts(),
      state_counts_.leader.empty() ? "none" : state_counts_.leader);
  loop_.call_later(kProgressInterval, [this] { log_progress(); });
}

RunReport ScaleTestRun::report() {
  RunResults results;
  results.failure = failure_;
  results.unsettled = unsettled_;
  results.not_run = not_run_;
  if (window_opened_at_ && window_closed_at_) results.window_s = *window_closed_at_ - *window_opened_at_;
  results.leader_changed = leader_at_window_open_ != leader_at_window_close_;
  auto controllers = controllers_.processes();
  for (std::size_t number = 0; number < controllers.size(); ++number)
    (number == leader_at_window_open_ ? results.leader : results.other_controllers)
        .push_back(controllers[number]);
  results.state_service = {&state_service_};
  results.zone_hosts = fleet_.zone_hosts();
  results.single_hosts = fleet_.single_hosts();
  results.state_at_window_open = state_counts_at_window_open_;
  results.state = state_counts_;
  results.peak_memory_mb = sampler_.peak_memory_mb();
  return {plan_, metrics_, merger_.checker(), std::move(results)};
}

}  // namespace corkmux::scale_test

#include "cluster_simulation.h"

#include <fmt/format.h>

#include <utility>

namespace corkmux::simulation {
namespace {

constexpr const char* kServicesIp = "10.2.0.1";
constexpr const char* kUsersIp = "10.3.0.1";
constexpr int kStatePort = 2379;
constexpr int kCloudPort = 8443;
constexpr double kCloudBurst = 2;  // s; the cloud's bucket holds so many seconds of its rate

}  // namespace

ClusterSimulation::ClusterSimulation(SimulationPlan plan, std::uint64_t seed)
    : plan_(std::move(plan)),
      simulator_(seed, plan_.skew_s),
      checker_(plan_.teams, plan_.site.cancel_s, [this] { return simulator_.now(); }),
      history_(checker_, {[this] { return simulator_.now(); },
                          [this](const std::string& machine) { task_placed(machine); },
                          [this](const std::string& job) { job_done(job); }}),
      services_host_(simulator_.add_host("state", kServicesIp, "", HostRole::Services)),
      users_host_(simulator_.add_host("users", kUsersIp, "", HostRole::Users)),
      services_loop_(services_host_),
      users_loop_(users_host_) {
  checker_.set_faults_end(faults_end_s(plan_));
  simulator_.run_as(services_host_, [&] { make_services(); });
  make_cluster();
  simulator_.run_as(users_host_, [&] { make_users(); });
  faults_ = std::make_unique<FaultInjector>(FaultInjector::Targets{.plan = plan_,
                                                                   .simulator = simulator_,
                                                                   .services_host = services_host_,
                                                                   .state = *state_,
                                                                   .cloud = *cloud_,
                                                                   .controllers = *controllers_,
                                                                   .machines = *machines_,
                                                                   .users_host = users_host_,
                                                                   .users = *users_,
                                                                   .arrivals = *arrivals_,
                                                                   .registry = *registry_,
                                                                   .checker = checker_,
                                                                   .leader_detector = *leader_detector_,
                                                                   .history = history_});
  faults_->schedule_plan();
  progress_ = std::make_unique<ProgressSampler>(
      ProgressSampler::Sources{simulator_, plan_.teams, checker_, *registry_, *controllers_, *machines_});
  simulator_.schedule_at(kProgressInterval, nullptr, [this] { sample_progress(); });
}

/// Controllers are destroyed first, while the services that they use still exist.
ClusterSimulation::~ClusterSimulation() { controllers_.reset(); }

void ClusterSimulation::make_services() {
  state_ = std::make_unique<StateService>(services_loop_, fmt::format("{}:{}", kServicesIp, kStatePort));
  state_->limits.value_bytes = static_cast<std::size_t>(plan_.site.value_kb * 1024);
  state_->limits.transaction_writes = static_cast<std::size_t>(plan_.site.txn_ops);
  state_->request_rate.set(plan_.site.state_rps);
  state_->change_rate.set(plan_.site.state_write_rps);
  state_->latency = [this] { return draw_state_latency(); };
  registry_ = std::make_unique<JobRegistry>(services_loop_, plan_.times.gang_peer_s, history_,
                                            [this] { return simulator_.now(); });
  std::vector<Capacity> capacity;
  for (const auto& group : plan_.machines) capacity.push_back(group.capacity);
  Cloud::Callbacks callbacks;
  callbacks.booted = [this](const MachineFacts& facts) { machines_->boot(facts); };
  callbacks.deleted = [this](const std::string& name) { machines_->terminate(name, "deleted"); };
  callbacks.address = MachineFleet::command_address;
  cloud_ = std::make_unique<Cloud>(services_loop_, plan_.types, capacity, plan_.site.list_lag_s,
                                   std::move(callbacks), fmt::format("{}:{}", kServicesIp, kCloudPort));
  cloud_->request_rate.set(plan_.site.cloud_rps, kCloudBurst);
}

double ClusterSimulation::draw_state_latency() {
  return simulator_.uniform(0, 1) < kSlowStateAnswerShare ? kSlowStateAnswer * simulator_.uniform(0.5, 1.5)
                                                          : kStateAnswer * simulator_.uniform(0.4, 1.8);
}

void ClusterSimulation::make_cluster() {
  controllers_ =
      std::make_unique<ControllerFleet>(simulator_, plan_, services_host_, *state_, cloud_->port());
  controllers_->start();
  leader_detector_ = std::make_unique<LeaderDetector>(simulator_, *controllers_, history_);
  machines_ = std::make_unique<MachineFleet>(simulator_, plan_.times, controllers_->addresses(), *registry_);
  for (const auto& group : plan_.machines)
    for (int i = 0; i < group.initial; ++i)
      machines_->boot(cloud_->add_machine(group.capacity.type, group.capacity.zone, group.capacity.spot));
}

void ClusterSimulation::make_users() {
  users_ = std::make_unique<Users>(users_loop_, controllers_->addresses(), checker_, *registry_,
                                   [] { return steady_now() - kSteadyEpoch; });
  arrivals_ = std::make_unique<JobArrivals>(simulator_, plan_, users_host_, users_loop_, *users_);
  arrivals_->start();
}

void ClusterSimulation::run() {
  simulator_.run_until(plan_.until_s);
  simulator_.run_as(services_host_, [&] { checker_.finish(); });
}

void ClusterSimulation::sample_progress() {
  simulator_.schedule_after(kProgressInterval, [this] { sample_progress(); });
  leader_detector_->check();
  checker_.sample_progress(progress_->fitting_jobs());
}

void ClusterSimulation::task_placed(const std::string& machine) {
  const auto* found = machines_->find(machine);
  bool recently_booted = found && simulator_.now() - found->booted_at < kRecentBoot;
  if (recently_booted && faults_->writes_are_late()) ++starts_after_boot_;
}

void ClusterSimulation::job_done(const std::string& job) {
  simulator_.run_as(users_host_, [&] { users_->job_ended(job); });
}

ClusterSimulation::Occurrences ClusterSimulation::occurrences() const {
  return {faults_->cancelled_jobs(), starts_after_boot_, leader_detector_->copies_delivered()};
}

SimulationSummary ClusterSimulation::summary() const {
  return {.plan = plan_.name,
          .seconds = simulator_.now(),
          .controllers = controllers_->size(),
          .machines = machines_->size(),
          .checker = checker_,
          .events = events(),
          .terms = terms(),
          .state_requests = state_->counters().requests,
          .state_requests_over_rate = state_->counters().rate_limited,
          .cost = cloud_->cost(),
          .problems = problems(),
          .history = history_.hash()};
}

codec::Json ClusterSimulation::report() const { return report_json(summary()); }
std::string ClusterSimulation::report_text() const { return simulation::report_text(summary()); }

}  // namespace corkmux::simulation

#include "scale_test_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace corkmux::scale_test {
namespace {

/// The maximum over all gangs of the tasks and of the accelerators that the gang needs.
struct LargestGang {
  double tasks = 0;
  double accelerators = 0;
};

LargestGang largest_gang(const std::vector<JobClass>& classes) {
  LargestGang largest;
  for (const auto& job_class : classes) {
    if (job_class.kind != JobKind::Gang) continue;
    double tasks = *std::max_element(job_class.tasks.begin(), job_class.tasks.end());
    largest.tasks = std::max(largest.tasks, tasks);
    largest.accelerators = std::max(largest.accelerators, tasks * job_class.accelerators);
  }
  return largest;
}

}  // namespace

const char* Fault::name(Kind kind) {
  switch (kind) {
    case Kind::LeaderKilled:
      return "leader_killed";
    case Kind::FollowerKilled:
      return "follower_killed";
    case Kind::WorkersGone:
      return "workers_gone";
    case Kind::LeaderPaused:
      return "leader_paused";
    case Kind::FollowerPaused:
      return "follower_paused";
    case Kind::StateServicePaused:
      return "state_paused";
    case Kind::WorkersPaused:
      return "workers_paused";
    case Kind::RackRestarted:
      return "rack_restarted";
    case Kind::ControllersRestarted:
      return "controllers_restarted";
  }
  return "";
}

double JobClass::mean_tasks() const {
  return std::accumulate(tasks.begin(), tasks.end(), 0.0) / static_cast<double>(tasks.size());
}

double ScaleTestPlan::jobs_per_s() const {
  double all_shares = 0;
  for (const auto& job_class : classes) all_shares += job_class.share;
  double jobs = 0;
  for (const auto& job_class : classes)
    jobs += starts_per_s * job_class.share / all_shares / job_class.mean_tasks();
  return jobs;
}

std::vector<std::string> ScaleTestPlan::zone_names() const {
  std::vector<std::string> names;
  for (int i = 1; i <= zones; ++i) names.push_back(fmt::format("zone-{}", i));
  for (int i = 1; i <= single_workers; ++i) names.push_back(fmt::format("single-{}", i));
  return names;
}

std::vector<MachineType> ScaleTestPlan::types() const {
  MachineType plain;
  plain.name = "plain";
  plain.size = kPlainSize;
  plain.cache_gb = 200;
  plain.fetch_gb_per_s = fetch_gb_per_s;
  plain.price = 1;
  plain.spot_price = 0.5;
  plain.boot_s = 5;
  plain.zones = zone_names();
  MachineType accelerated = plain;
  accelerated.name = "accelerated";
  accelerated.size = kAcceleratedSize;
  accelerated.price = 8;
  accelerated.spot_price = 4;
  return {plain, accelerated};
}

int ScaleTestPlan::share_of_zone(std::size_t zone, int machines) const {
  return machines / zones + (static_cast<int>(zone) < machines % zones ? 1 : 0);
}

int ScaleTestPlan::machines_in(std::size_t zone, const std::string& type) const {
  if (zone >= static_cast<std::size_t>(zones)) return type == "plain" ? 1 : 0;
  int shared = workers - single_workers;
  int all_accelerated = static_cast<int>(std::ceil(accelerators / kAcceleratedSize.gpus));
  int accelerated = share_of_zone(zone, std::min(shared, all_accelerated));
  return type == "plain" ? share_of_zone(zone, shared) - accelerated : accelerated;
}

int ScaleTestPlan::max_workers_in_zone() const {
  return machines_in(0, "plain") + machines_in(0, "accelerated");
}

void ScaleTestPlan::resize_arrays(int tasks) {
  for (auto& job_class : classes)
    if (job_class.kind == JobKind::Array) job_class.tasks = {tasks};
}

std::vector<std::string> ScaleTestPlan::drop_gangs_that_do_not_fit() {
  std::vector<std::string> dropped;
  auto smallest_zone = static_cast<std::size_t>(zones) - 1;
  int accelerated = machines_in(smallest_zone, "accelerated");
  double gpus = accelerated * kAcceleratedSize.gpus;
  double cpus = (machines_in(smallest_zone, "plain") + accelerated) * kPlainSize.cpus;
  for (auto& job_class : classes) {
    if (job_class.kind != JobKind::Gang) continue;
    int smallest = *std::min_element(job_class.tasks.begin(), job_class.tasks.end());
    auto fits = [&](int tasks) {
      return 2 * tasks * task_cpus <= cpus && 2 * tasks * job_class.accelerators <= gpus;
    };
    for (int tasks : job_class.tasks)
      if (!fits(tasks))
        dropped.push_back(fmt::format("gangs of {} of class {} are left out: half of a zone holds fewer",
                                      tasks, job_class.name));
    std::erase_if(job_class.tasks, [&](int tasks) { return !fits(tasks); });
    if (job_class.tasks.empty()) job_class.tasks.push_back(smallest);
  }
  return dropped;
}

std::vector<Team> ScaleTestPlan::team_list() const {
  double fair_cpus = workers * kPlainSize.cpus / teams;
  double fair_gpus = accelerators / teams;
  LargestGang largest = largest_gang(classes);
  std::vector<Team> list;
  for (int i = 1; i <= teams; ++i) {
    Team team;
    team.name = fmt::format("team-{:03}", i);
    team.cpus = fair_cpus * kGuaranteedShare;
    team.cpus_max = std::max(fair_cpus * kQuotaSlack, 2 * largest.tasks * task_cpus);
    team.gpus = fair_gpus * kGuaranteedShare;
    team.gpus_max = std::max(fair_gpus * kQuotaSlack, 2 * largest.accelerators);
    list.push_back(std::move(team));
  }
  return list;
}

}  // namespace corkmux::scale_test

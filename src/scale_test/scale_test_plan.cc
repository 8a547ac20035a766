#include "scale_test_plan.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include "scale_test_constants.h"
#include "toml_reader.h"

namespace corkmux::scale_test {
namespace {

constexpr Resources kPlainSize{32, 0, 128};        // a machine without accelerators
constexpr Resources kAcceleratedSize{32, 8, 256};  // and one with

int count_of(const Reader& reader, const char* name, int least) {
  double value = reader.amount(name, false);
  if (value != std::floor(value) || value > 1e9) reader.fail(name, "not a count");
  if (value < least) reader.fail(name, fmt::format("at least {} is needed", least));
  return static_cast<int>(value);
}

JobClass class_of(const Reader& reader) {
  reader.only({"name", "kind", "priority", "tasks", "share", "accelerators"});
  JobClass out;
  out.name = reader.text("name");
  auto kind = reader.text("kind");
  if (kind == "gang")
    out.kind = JobKind::Gang;
  else if (kind != "array")
    reader.fail("kind", "not array or gang");
  auto priority = reader.text_or("priority", "normal");
  if (priority == "high")
    out.priority = Priority::High;
  else if (priority != "normal")
    reader.fail("priority", "not normal or high");
  for (double n : reader.amounts("tasks")) {
    if (n < 1 || n > 100000) reader.fail("tasks", "not from 1 to 100000");
    out.tasks.push_back(static_cast<int>(n));
  }
  out.share = reader.amount("share", true);
  out.accelerators = reader.amount_or("accelerators", 0);
  return out;
}

Fault fault_of(const Reader& reader) {
  reader.only({"at_s", "kind", "count"});
  Fault out;
  out.at_s = reader.amount("at_s", false);
  out.count = static_cast<int>(reader.amount_or("count", 1));
  auto kind = reader.text("kind");
  for (auto k : {Fault::Kind::LeaderKilled, Fault::Kind::FollowerKilled, Fault::Kind::WorkersGone,
                 Fault::Kind::RackRestarted, Fault::Kind::ControllersRestarted})
    if (kind == Fault::name(k)) {
      out.kind = k;
      return out;
    }
  reader.fail("kind", "no such fault");
}

void read_site(const Reader& top, ScaleTestPlan& plan) {
  auto workers = top.sub("worker_times");
  workers.only({"report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"});
  Settings& site = plan.site;
  site.report_s = workers.amount("report_s", true);
  site.lease_s = workers.amount("lease_s", true);
  site.gang_wait_s = workers.amount("gang_wait_s", true);
  site.gang_peer_s = workers.amount("gang_peer_s", true);
  site.cancel_s = workers.amount("cancel_s", true);
  plan.times = {site.report_s, site.lease_s, site.gang_wait_s, site.gang_peer_s};
  auto state = top.sub("state");
  state.only({"rps", "write_rps", "value_kb", "txn_ops"});
  site.state_rps = state.amount("rps", true);
  site.state_write_rps = state.amount("write_rps", true);
  site.value_kb = state.amount("value_kb", true);
  site.txn_ops = count_of(state, "txn_ops", 2);
  auto cloud = top.sub("cloud");
  cloud.only({"rps", "list_lag_s"});
  site.cloud_rps = cloud.amount("rps", true);
  site.list_lag_s = cloud.amount("list_lag_s", false);
  auto limits = top.sub("controller_limits");
  limits.only({"fd_limit", "mem_mb", "cpu_share"});
  plan.fd_limit = limits.amount("fd_limit", true);
  plan.mem_mb = limits.amount("mem_mb", true);
  plan.cpu_share = limits.amount("cpu_share", true);
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
  double all = 0;
  for (const auto& c : classes) all += c.share;
  double jobs = 0;
  for (const auto& c : classes) jobs += starts_per_s * c.share / all / c.mean_tasks();
  return jobs;
}

std::vector<std::string> ScaleTestPlan::zone_names() const {
  std::vector<std::string> out;
  for (int i = 1; i <= zones; ++i) out.push_back(fmt::format("zone-{}", i));
  for (int i = 1; i <= single_workers; ++i) out.push_back(fmt::format("single-{}", i));
  return out;
}

std::vector<MachineType> ScaleTestPlan::types() const {
  auto everywhere = zone_names();
  return {{"plain", kPlainSize, 200, fetch_gb_per_s, 1, 0.5, 5, everywhere},
          {"accelerated", kAcceleratedSize, 200, fetch_gb_per_s, 8, 4, 5, everywhere}};
}

int ScaleTestPlan::machines_in(std::size_t zone, const std::string& type) const {
  if (zone >= static_cast<std::size_t>(zones)) return type == "plain" ? 1 : 0;
  int shared = workers - single_workers;
  auto share = [&](int all) { return all / zones + (static_cast<int>(zone) < all % zones ? 1 : 0); };
  int accelerated = std::min(shared, static_cast<int>(std::ceil(accelerators / kAcceleratedSize.gpus)));
  return type == "plain" ? share(shared) - share(accelerated) : share(accelerated);
}

int ScaleTestPlan::most_workers_in_zone() const {
  return machines_in(0, "plain") + machines_in(0, "accelerated");
}

void ScaleTestPlan::resize_arrays(int tasks) {
  for (auto& c : classes)
    if (c.kind == JobKind::Array) c.tasks = {tasks};
}

std::vector<std::string> ScaleTestPlan::drop_gangs_that_do_not_fit() {
  std::vector<std::string> said;
  auto last = static_cast<std::size_t>(zones) - 1;  // the smallest of the shared zones
  double gpus = machines_in(last, "accelerated") * kAcceleratedSize.gpus;
  double cpus = (machines_in(last, "plain") + machines_in(last, "accelerated")) * kPlainSize.cpus;
  for (auto& c : classes) {
    if (c.kind != JobKind::Gang) continue;
    auto smallest = *std::min_element(c.tasks.begin(), c.tasks.end());
    std::erase_if(c.tasks, [&](int n) {
      bool fits = 2 * n * task_cpus <= cpus && 2 * n * c.accelerators <= gpus;
      if (!fits)
        said.push_back(
            fmt::format("gangs of {} of class {} are left out: half of a zone holds fewer", n, c.name));
      return !fits;
    });
    if (c.tasks.empty()) c.tasks.push_back(smallest);
  }
  return said;
}

std::vector<Team> ScaleTestPlan::team_list() const {
  double cpus = workers * kPlainSize.cpus / teams, gpus = accelerators / teams;
  double largest = 0, largest_accelerated = 0;
  for (const auto& c : classes) {
    if (c.kind != JobKind::Gang) continue;
    double n = *std::max_element(c.tasks.begin(), c.tasks.end());
    largest = std::max(largest, n);
    largest_accelerated = std::max(largest_accelerated, n * c.accelerators);
  }
  std::vector<Team> out;
  for (int i = 1; i <= teams; ++i) {
    Team t;
    t.name = fmt::format("team-{:03}", i);
    t.cpus = cpus * 0.9, t.cpus_max = std::max(cpus * kQuotaSlack, 2 * largest * task_cpus);
    t.gpus = gpus * 0.9, t.gpus_max = std::max(gpus * kQuotaSlack, 2 * largest_accelerated);
    out.push_back(std::move(t));
  }
  return out;
}

ScaleTestPlan parse_scale_plan(const std::string& text, const std::string& file) {
  auto table = parse_toml(text, file);
  Reader top(file, table);
  top.only(
      {"name",        "seed",         "workers",      "zones",    "single_workers", "teams",
       "controllers", "accelerators", "starts_per_s", "run_s",    "task_cpus",      "warm_s",
       "for_s",       "drain_s",      "cancel_share", "image_gb", "images",         "fetch_gb_per_s",
       "classes",     "faults",       "worker_times", "state",    "cloud",          "controller_limits"});
  ScaleTestPlan plan;
  plan.name = top.text("name");
  plan.seed = static_cast<std::uint64_t>(count_of(top, "seed", 0));
  plan.workers = count_of(top, "workers", 1);
  plan.zones = count_of(top, "zones", 1);
  plan.single_workers = count_of(top, "single_workers", 0);
  plan.teams = count_of(top, "teams", 1);
  plan.controllers = count_of(top, "controllers", 1);
  plan.accelerators = top.amount("accelerators", false);
  plan.starts_per_s = top.amount("starts_per_s", true);
  plan.run_s = top.amount("run_s", true);
  plan.task_cpus = top.amount("task_cpus", true);
  plan.warm_s = top.amount("warm_s", false);
  plan.for_s = top.amount("for_s", true);
  plan.drain_s = top.amount("drain_s", true);
  plan.cancel_share = top.amount_or("cancel_share", 0);
  plan.image_gb = top.amount("image_gb", true);
  plan.images = count_of(top, "images", 1);
  plan.fetch_gb_per_s = top.amount("fetch_gb_per_s", true);
  if (plan.warm_s >= plan.for_s) top.fail("warm_s", "not shorter than for_s");
  if (plan.workers <= plan.single_workers + plan.zones)
    top.fail("workers", "fewer than zones and single_workers");
  top.each("classes", true, [&](const Reader& r) { plan.classes.push_back(class_of(r)); });
  if (plan.classes.empty()) top.fail("classes", "missing or empty");
  top.each("faults", false, [&](const Reader& r) { plan.faults.push_back(fault_of(r)); });
  read_site(top, plan);
  return plan;
}

ScaleTestPlan load_scale_plan(const std::string& file) { return parse_scale_plan(read_file(file), file); }

std::string refusal(const ScaleTestPlan& plan) {
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  double limit = static_cast<double>(files.rlim_cur);
  double sockets = plan.most_workers_in_zone() * kSocketsPerWorker + kSpareSockets;
  if (sockets > limit)
    return fmt::format("{} workers of one zone need {} sockets, a process may have {}: more zones are needed",
                       plan.most_workers_in_zone(), sockets, limit);
  if (plan.fd_limit > limit)
    return fmt::format("controller_limits.fd_limit is {}, a process may have {}", plan.fd_limit, limit);
  double room = kMostUse * plan.workers * kPlainSize.cpus;
  if (plan.running_tasks() * plan.task_cpus > room)
    return fmt::format("{:.0f} tasks that run at once take {:.0f} CPUs, the workers have room for {:.0f}",
                       plan.running_tasks(), plan.running_tasks() * plan.task_cpus, room);
  int processes = plan.controllers + plan.zones + plan.single_workers + 2;
  if (processes > kMostProcesses)
    return fmt::format("{} processes would be started, {} at most are", processes, kMostProcesses);
  double memory =
      static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE));
  double wanted = plan.workers * kWorkerBytes + plan.controllers * kControllerBytes + kOwnBytes;
  if (wanted > kMostMemoryShare * memory)
    return fmt::format("some {:.1f} GB of memory would be taken, half of this machine's is {:.1f}",
                       wanted / 1e9, kMostMemoryShare * memory / 1e9);
  return "";
}

std::string controller_settings(const ScaleTestPlan& plan, std::size_t controller,
                                const std::vector<std::string>& user_addresses,
                                const std::vector<std::string>& peer_addresses, const std::string& state,
                                const std::string& cloud) {
  auto zones = plan.zone_names();
  auto label = [](std::size_t i) { return fmt::format("c{:02}", i + 1); };
  auto zone = [&](std::size_t i) { return zones[i % static_cast<std::size_t>(plan.zones)]; };
  std::string out =
      fmt::format("label = \"{}\"\ndomain = \"{}\"\nbind = \"{}\"\npeer_listen = \"{}\"\n", label(controller),
                  zone(controller), user_addresses[controller], peer_addresses[controller]);
  for (std::size_t i = 0; i < peer_addresses.size(); ++i)
    if (i != controller)
      out += fmt::format("[[others]]\nlabel = \"{}\"\ndomain = \"{}\"\naddr = \"{}\"\n", label(i), zone(i),
                         peer_addresses[i]);
  out += fmt::format("[outside]\ncloud = \"{}\"\nstate = \"{}\"\n", cloud, state);
  std::string names;
  for (const auto& z : zones) names += fmt::format("\"{}\", ", z);
  const Settings& s = plan.site;
  out += fmt::format("[cluster]\ninitial_size = {}\nzones = [{}]\nskew_ms = 5.0\n", plan.controllers, names);
  for (const auto& t : plan.team_list())
    out +=
        fmt::format("[[cluster.teams]]\nname = \"{}\"\ncpus = {}\ncpus_max = {}\ngpus = {}\ngpus_max = {}\n",
                    t.name, t.cpus, t.cpus_max, t.gpus, t.gpus_max);
  for (const auto& c : plan.classes)
    out +=
        fmt::format("[[cluster.objectives]]\nkind = \"wait\"\nclass = \"{}\"\nwithin_s = {}\nshare = 0.9\n",
                    c.name, c.priority == Priority::High ? kUrgentWithin : 30);
  out += fmt::format(
      "[cluster.workers]\nreport_s = {}\nlease_s = {}\ngang_wait_s = {}\ngang_peer_s = {}\ncancel_s = {}\n",
      s.report_s, s.lease_s, s.gang_wait_s, s.gang_peer_s, s.cancel_s);
  out += fmt::format("[cluster.state]\nrps = {}\nwrite_rps = {}\nvalue_kb = {}\ntxn_ops = {}\n", s.state_rps,
                     s.state_write_rps, s.value_kb, s.txn_ops);
  out += fmt::format("[cluster.cloud]\nrps = {}\nlist_lag_s = {}\n", s.cloud_rps, s.list_lag_s);
  out += fmt::format("[cluster.limits]\ncpu_share = {}\nmem_mb = {}\nfd_limit = {:.0f}\n", plan.cpu_share,
                     plan.mem_mb, plan.fd_limit);
  return out;
}

}  // namespace corkmux::scale_test

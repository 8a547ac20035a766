#include "scale_test_plan_parser.h"

#include <fmt/format.h>

#include <cmath>

#include "toml_reader.h"

namespace corkmux::scale_test {
namespace {

constexpr double kMaxCount = 1e9;
constexpr double kMaxTasks = 100000;  // maximum for one job
constexpr int kMinTxnOps = 2;

int read_count(const Reader& reader, const char* name, int least) {
  double value = reader.amount(name, false);
  if (value != std::floor(value) || value > kMaxCount) reader.fail(name, "not a count");
  if (value < least) reader.fail(name, fmt::format("at least {} is needed", least));
  return static_cast<int>(value);
}

JobKind read_job_kind(const Reader& reader) {
  auto kind = reader.text("kind");
  if (kind == "gang") return JobKind::Gang;
  if (kind != "array") reader.fail("kind", "not array or gang");
  return JobKind::Array;
}

Priority read_priority(const Reader& reader) {
  auto priority = reader.text_or("priority", "normal");
  if (priority == "high") return Priority::High;
  if (priority != "normal") reader.fail("priority", "not normal or high");
  return Priority::Normal;
}

JobClass read_class(const Reader& reader) {
  reader.only({"name", "kind", "priority", "tasks", "share", "accelerators"});
  JobClass job_class;
  job_class.name = reader.text("name");
  job_class.kind = read_job_kind(reader);
  job_class.priority = read_priority(reader);
  for (double tasks : reader.amounts("tasks")) {
    if (tasks < 1 || tasks > kMaxTasks) reader.fail("tasks", "not from 1 to 100000");
    job_class.tasks.push_back(static_cast<int>(tasks));
  }
  job_class.share = reader.amount("share", true);
  job_class.accelerators = reader.amount_or("accelerators", 0);
  return job_class;
}

Fault::Kind read_fault_kind(const Reader& reader) {
  auto name = reader.text("kind");
  for (auto kind : {Fault::Kind::LeaderKilled, Fault::Kind::FollowerKilled, Fault::Kind::WorkersGone,
                    Fault::Kind::RackRestarted, Fault::Kind::ControllersRestarted, Fault::Kind::LeaderPaused,
                    Fault::Kind::FollowerPaused, Fault::Kind::StateServicePaused, Fault::Kind::WorkersPaused})
    if (name == Fault::name(kind)) return kind;
  reader.fail("kind", "no such fault");
}

Fault read_fault(const Reader& reader) {
  reader.only({"at_s", "kind", "count", "for_s", "back_s"});
  Fault fault;
  fault.at_s = reader.amount("at_s", false);
  fault.count = static_cast<int>(reader.amount_or("count", 1));
  fault.for_s = reader.amount_or("for_s", fault.for_s);
  fault.back_s = reader.amount_or("back_s", fault.back_s);
  fault.kind = read_fault_kind(reader);
  return fault;
}

void read_fleet(const Reader& top, ScaleTestPlan& plan) {
  plan.name = top.text("name");
  plan.seed = static_cast<std::uint64_t>(read_count(top, "seed", 0));
  plan.workers = read_count(top, "workers", 1);
  plan.zones = read_count(top, "zones", 1);
  plan.single_workers = read_count(top, "single_workers", 0);
  plan.teams = read_count(top, "teams", 1);
  plan.controllers = read_count(top, "controllers", 1);
  plan.accelerators = top.amount("accelerators", false);
}

void read_load(const Reader& top, ScaleTestPlan& plan) {
  plan.starts_per_s = top.amount("starts_per_s", true);
  plan.run_s = top.amount("run_s", true);
  plan.task_cpus = top.amount("task_cpus", true);
  plan.warm_s = top.amount("warm_s", false);
  plan.for_s = top.amount("for_s", true);
  plan.drain_s = top.amount("drain_s", true);
  plan.cancel_share = top.amount_or("cancel_share", 0);
  plan.must_settle = top.flag_or("must_settle", false);
  plan.image_gb = top.amount("image_gb", true);
  plan.images = read_count(top, "images", 1);
  plan.fetch_gb_per_s = top.amount("fetch_gb_per_s", true);
  if (plan.warm_s >= plan.for_s) top.fail("warm_s", "not shorter than for_s");
  if (plan.workers <= plan.single_workers + plan.zones)
    top.fail("workers", "fewer than zones and single_workers");
  top.each("classes", true, [&](const Reader& entry) { plan.classes.push_back(read_class(entry)); });
  if (plan.classes.empty()) top.fail("classes", "missing or empty");
  top.each("faults", false, [&](const Reader& entry) { plan.faults.push_back(read_fault(entry)); });
}

void read_worker_times(const Reader& top, ScaleTestPlan& plan) {
  auto workers = top.sub("worker_times");
  workers.only({"report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"});
  Settings& site = plan.site;
  site.report_s = workers.amount("report_s", true);
  site.lease_s = workers.amount("lease_s", true);
  site.gang_wait_s = workers.amount("gang_wait_s", true);
  site.gang_peer_s = workers.amount("gang_peer_s", true);
  site.cancel_s = workers.amount("cancel_s", true);
  plan.times.heartbeat_s = site.report_s;
  plan.times.lease_s = site.lease_s;
  plan.times.gang_wait_s = site.gang_wait_s;
  plan.times.gang_peer_s = site.gang_peer_s;
}

void read_limits(const Reader& top, ScaleTestPlan& plan) {
  Settings& site = plan.site;
  auto state = top.sub("state");
  state.only({"rps", "write_rps", "value_kb", "txn_ops"});
  site.state_rps = state.amount("rps", true);
  site.state_write_rps = state.amount("write_rps", true);
  site.value_kb = state.amount("value_kb", true);
  site.txn_ops = read_count(state, "txn_ops", kMinTxnOps);
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

ScaleTestPlan parse_scale_plan(const std::string& text, const std::string& file) {
  auto table = parse_toml(text, file);
  Reader top(file, table);
  top.only({"name",      "seed",         "workers",        "zones",        "single_workers",
            "teams",     "controllers",  "accelerators",   "starts_per_s", "run_s",
            "task_cpus", "warm_s",       "for_s",          "drain_s",      "cancel_share",
            "image_gb",  "images",       "fetch_gb_per_s", "must_settle",  "classes",
            "faults",    "worker_times", "state",          "cloud",        "controller_limits"});
  ScaleTestPlan plan;
  read_fleet(top, plan);
  read_load(top, plan);
  read_worker_times(top, plan);
  read_limits(top, plan);
  return plan;
}

ScaleTestPlan load_scale_plan(const std::string& file) { return parse_scale_plan(read_file(file), file); }

}  // namespace corkmux::scale_test

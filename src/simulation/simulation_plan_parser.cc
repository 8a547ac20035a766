#include "simulation_plan_parser.h"

#include <algorithm>

#include "fault_parser.h"
#include "toml_reader.h"

namespace corkmux::simulation {
namespace {

JobKind parse_kind(const Reader& reader) {
  auto kind = reader.text("kind");
  if (kind == "array") return JobKind::Array;
  if (kind == "gang") return JobKind::Gang;
  if (kind == "service") return JobKind::Service;
  reader.fail("kind", "not array, gang or service");
}

Priority parse_priority(const Reader& reader) {
  auto priority = reader.text_or("priority", "normal");
  if (priority == "low") return Priority::Low;
  if (priority == "normal") return Priority::Normal;
  if (priority == "high") return Priority::High;
  if (priority == "production") return Priority::Production;
  reader.fail("priority", "not low, normal, high or production");
}

JobSpec parse_job_template(const Reader& reader) {
  JobSpec spec;
  spec.job_class = reader.text("class");
  spec.team = reader.text("team");
  spec.kind = parse_kind(reader);
  spec.priority = parse_priority(reader);
  spec.need = {reader.amount("cpus", false), reader.amount_or("gpus", 0), reader.amount("memory_gb", false)};
  spec.image_gb = reader.amount_or("image_gb", 1);
  spec.one_zone = reader.flag_or("one_zone", false);
  spec.spread = reader.flag_or("spread", false);
  spec.spot = reader.flag_or("spot", false);
  spec.checkpoint_s = reader.amount_or("checkpoint_s", 0);
  spec.save_s = reader.amount_or("save_s", 0);
  if (reader.has("types")) spec.types = reader.texts("types");
  if (reader.has("zone")) spec.zone = reader.text("zone");
  return spec;
}

Workload parse_workload(const Reader& reader) {
  Workload workload;
  workload.job_template = parse_job_template(reader);
  for (double tasks : reader.amounts("tasks")) {
    if (tasks < 1) reader.fail("tasks", "less than one");
    workload.tasks.push_back(static_cast<int>(tasks));
  }
  workload.images = std::max(1, static_cast<int>(reader.amount_or("images", 1)));
  workload.run_s = reader.amount("run_s", true);
  workload.per_minute = reader.amount_or("per_minute", 0);
  workload.at_start = static_cast<int>(reader.amount_or("at_start", 0));
  workload.cancel_share = reader.amount_or("cancel_share", 0);
  workload.bad_share = reader.amount_or("bad_share", 0);
  return workload;
}

void parse_state_limits(const Reader& state, Settings& site) {
  site.state_rps = state.amount("rps", true);
  site.state_write_rps = state.amount("write_rps", true);
  site.value_kb = state.amount("value_kb", true);
  site.txn_ops = static_cast<int>(state.amount("txn_ops", true));
  site.next.write_rps = state.amount_or("next_write_rps", site.state_write_rps);
  site.next.value_kb = state.amount_or("next_value_kb", site.value_kb);
  site.next.txn_ops = static_cast<int>(state.amount_or("next_txn_ops", site.txn_ops));
}

void parse_worker_times(const Reader& workers, SimulationPlan& plan) {
  plan.times = {workers.amount("report_s", true), workers.amount("lease_s", true),
                workers.amount("gang_wait_s", true), workers.amount("gang_peer_s", true)};
  plan.site.report_s = plan.times.heartbeat_s;
  plan.site.lease_s = plan.times.lease_s;
  plan.site.gang_wait_s = plan.times.gang_wait_s;
  plan.site.gang_peer_s = plan.times.gang_peer_s;
  plan.site.cancel_s = workers.amount("cancel_s", true);
}

Team parse_team(const Reader& reader) {
  return {reader.text("name"), reader.amount_or("cpus", 0), reader.amount_or("cpus_max", 0),
          reader.amount_or("gpus", 0), reader.amount_or("gpus_max", 0)};
}

MachineType parse_machine_type(const Reader& reader, const std::vector<std::string>& zones) {
  MachineType type;
  type.name = reader.text("name");
  type.size = {reader.amount("cpus", true), reader.amount_or("gpus", 0), reader.amount("memory_gb", true)};
  type.cache_gb = reader.amount_or("cache_gb", 100);
  type.fetch_gb_per_s = reader.amount_or("fetch_gb_per_s", 0.5);
  type.price = reader.amount_or("price", 1);
  type.spot_price = reader.amount_or("spot_price", 0.4);
  type.boot_s = reader.amount_or("boot_s", 30);
  type.zones = zones;
  return type;
}

MachineGroup parse_machine_group(const Reader& reader, const std::vector<MachineType>& types) {
  MachineGroup group;
  group.initial = static_cast<int>(reader.amount_or("initial", 0));
  group.capacity.type = reader.text("type");
  group.capacity.zone = reader.text("zone");
  group.capacity.spot = reader.flag_or("spot", false);
  group.capacity.max_machines = static_cast<int>(reader.amount_or("most", group.initial));
  bool known = std::any_of(types.begin(), types.end(),
                           [&](const MachineType& type) { return type.name == group.capacity.type; });
  if (!known) reader.fail("type", "no such machine type");
  return group;
}

void parse_aim(const Reader& reader, Settings& site) {
  auto& aims = site.start_within[reader.text("class")];
  aims.push_back(reader.amount("start_within_s", true));
  std::sort(aims.begin(), aims.end());
}

/// Adds the faults of the named scenario; an empty name selects the first.
void parse_scenario(const Reader& top, const std::string& file, const std::string& scenario,
                    SimulationPlan& plan) {
  bool found = scenario.empty();
  bool first = true;
  top.each("day", false, [&](const Reader& reader) {
    bool wanted = scenario.empty() ? first : reader.text("name") == scenario;
    first = false;
    if (!wanted) return;
    found = true;
    plan.name.append("/").append(reader.text("name"));
    reader.each("faults", false, [&](const Reader& fault) { plan.faults.push_back(parse_fault(fault)); });
  });
  if (!found) throw SettingsError(file + ": no day '" + scenario + "'");
}

}  // namespace

SimulationPlan parse_plan(const std::string& text, const std::string& file, const std::string& scenario) {
  auto table = parse_toml(text, file);
  Reader top(file, table);
  SimulationPlan plan;
  Settings& site = plan.site;
  plan.name = top.text("name");
  plan.until_s = top.amount("until_s", true);
  plan.jobs_until_s = top.amount_or("jobs_until_s", plan.until_s * 0.6);
  plan.served = top.amount_or("served", plan.served);
  plan.restart_s = top.amount_or("restart_s", plan.restart_s);
  plan.controllers = top.texts("controllers");
  plan.zones = top.texts("zones");
  auto state = top.sub("state");
  auto cloud = top.sub("cloud");
  auto workers = top.sub("workers");
  site.max_connections = static_cast<int>(top.amount_or("fd_limit", site.max_connections));
  site.zones = plan.zones;
  parse_state_limits(state, site);
  site.cloud_rps = cloud.amount("rps", true);
  site.list_lag_s = cloud.amount_or("list_lag_s", 0);
  parse_worker_times(workers, plan);
  top.each("teams", true, [&](const Reader& reader) { plan.teams.push_back(parse_team(reader)); });
  site.teams = plan.teams;
  top.each("machine_types", true,
           [&](const Reader& reader) { plan.types.push_back(parse_machine_type(reader, plan.zones)); });
  top.each("machines", true,
           [&](const Reader& reader) { plan.machines.push_back(parse_machine_group(reader, plan.types)); });
  top.each("jobs", true, [&](const Reader& reader) { plan.workloads.push_back(parse_workload(reader)); });
  top.each("aims", false, [&](const Reader& reader) { parse_aim(reader, site); });
  site.guarantee_within = top.amount_or("guarantee_within_s", 10);
  parse_scenario(top, file, scenario, plan);
  return plan;
}

SimulationPlan load_plan(const std::string& file, const std::string& scenario) {
  return parse_plan(read_file(file), file, scenario);
}

std::vector<std::string> scenario_names(const std::string& file) {
  auto table = parse_toml(read_file(file), file);
  std::vector<std::string> names;
  Reader(file, table).each("day", false, [&](const Reader& reader) { names.push_back(reader.text("name")); });
  return names;
}

}  // namespace corkmux::simulation

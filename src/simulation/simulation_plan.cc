#include "simulation_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "toml_reader.h"

namespace corkmux::simulation {
namespace {

JobKind kind_of(const Reader& r) {
  auto kind = r.text("kind");
  if (kind == "array") return JobKind::Array;
  if (kind == "gang") return JobKind::Gang;
  if (kind == "service") return JobKind::Service;
  r.fail("kind", "not array, gang or service");
}
Priority priority_of(const Reader& r) {
  auto p = r.text_or("priority", "normal");
  if (p == "low") return Priority::Low;
  if (p == "normal") return Priority::Normal;
  if (p == "high") return Priority::High;
  if (p == "production") return Priority::Production;
  r.fail("priority", "not low, normal, high or production");
}

Workload load_of(const Reader& r) {
  Workload l;
  JobSpec& s = l.job_template;
  s.job_class = r.text("class"), s.team = r.text("team"), s.kind = kind_of(r), s.priority = priority_of(r);
  s.need = {r.amount("cpus", false), r.amount_or("gpus", 0), r.amount("memory_gb", false)};
  s.image_gb = r.amount_or("image_gb", 1);
  s.one_zone = r.flag_or("one_zone", false), s.spread = r.flag_or("spread", false),
  s.spot = r.flag_or("spot", false);
  s.checkpoint_s = r.amount_or("checkpoint_s", 0), s.save_s = r.amount_or("save_s", 0);
  if (r.has("types")) s.types = r.texts("types");
  if (r.has("zone")) s.zone = r.text("zone");
  for (double n : r.amounts("tasks")) {
    if (n < 1) r.fail("tasks", "less than one");
    l.tasks.push_back(static_cast<int>(n));
  }
  l.images = std::max(1, static_cast<int>(r.amount_or("images", 1)));
  l.run_s = r.amount("run_s", true);
  l.per_minute = r.amount_or("per_minute", 0), l.at_start = static_cast<int>(r.amount_or("at_start", 0));
  l.cancel_share = r.amount_or("cancel_share", 0), l.bad_share = r.amount_or("bad_share", 0);
  return l;
}

Fault fault_of(const Reader& r) {
  Fault f;
  f.at_s = r.amount("at_s", false), f.kind = r.text("kind");
  const auto& kinds = fault_kinds();
  if (std::find(kinds.begin(), kinds.end(), f.kind) == kinds.end()) r.fail("kind", "no such trouble");
  r.only(fault_fields(f.kind));
  f.for_s = r.amount_or("for_s", 0), f.every_s = r.amount_or("every_s", 15);
  f.zone = r.text_or("zone", ""), f.mode = r.text_or("mode", "hold");
  if (f.mode != "hold" && f.mode != "reset" && f.mode != "refuse")
    r.fail("mode", "not hold, reset or refuse");
  f.job_class = r.text_or("class", ""), f.team = r.text_or("team", "");
  if (r.has("zones")) f.zones = r.texts("zones");
  if (f.kind == "zone_cut" && f.zone.empty()) r.fail("zone", "missing");
  if (f.kind == "zone_partition" && f.zones.size() != 2) r.fail("zones", "not two");
  f.count = static_cast<int>(r.amount_or("count", 1)),
  f.txn_ops = static_cast<int>(r.amount_or("txn_ops", 0));
  f.busiest = r.flag_or("busiest", false), f.one_way = r.flag_or("one_way", false);
  f.from_state = r.flag_or("from_state", false), f.from_workers = r.flag_or("from_workers", false);
  f.from_peers = r.flag_or("from_peers", false);
  f.share = r.amount_or("share", 0), f.factor = r.amount_or("factor", 1),
  f.notice_s = r.amount_or("notice_s", 0);
  f.back_s = r.amount_or("back_s", 0), f.times = static_cast<int>(r.amount_or("times", 1));
  f.value_kb = r.amount_or("value_kb", 0), f.write_rps = r.amount_or("write_rps", 0);
  f.hang_s = r.amount_or("hang_s", 0);
  f.at_once = r.flag_or("at_once", false), f.for_next = r.flag_or("for_next", false);
  return f;
}

const std::map<std::string, std::vector<std::string>>& fields_by_kind() {
  static const std::map<std::string, std::vector<std::string>> fields = [] {
    std::map<std::string, std::vector<std::string>> f = {
        {"node_crash", {"count", "busiest", "back_s", "times", "every_s"}},
        {"node_freeze", {"count", "busiest", "for_s"}},
        {"node_down", {"count", "busiest", "for_s"}},
        {"node_roll", {"every_s", "back_s"}},
        {"node_cut",
         {"count", "busiest", "from_state", "from_workers", "from_peers", "one_way", "mode", "for_s"}},
        {"node_slow", {"count", "busiest", "factor", "for_s"}},
        {"peers_refuse", {"one_way", "mode", "for_s"}},
        {"poll_storm", {"factor", "for_s"}},
        {"state_slow", {"factor", "for_s"}},
        {"state_outage", {"for_s"}},
        {"cloud_outage", {"for_s"}},
        {"state_refuses", {"count", "busiest", "for_s"}},
        {"state_limits", {"write_rps", "value_kb", "txn_ops"}},
        {"answers_lost", {"share", "for_s"}},
        {"zone_cut", {"zone", "one_way", "mode", "for_s"}},
        {"zone_partition", {"zones", "one_way", "mode", "for_s"}},
        {"machine_die", {"count", "zone"}},
        {"machine_hang", {"count", "for_s"}},
        {"machine_cut", {"count", "mode", "for_s"}},
        {"machine_sick", {"count", "for_s"}},
        {"machine_deaf", {"count", "share", "zone", "for_s"}},
        {"machine_mute", {"count", "share", "zone", "for_s"}},
        {"spot_taken", {"share", "zone", "notice_s"}},
        {"late_writes", {"share", "for_s", "at_once"}},
        {"late_reports", {"share", "for_s", "for_next"}},
        {"late_orders", {"share", "for_s"}},
        {"late_batches", {"share", "for_s"}},
        {"batches_again", {"share", "for_s"}},
        {"job_burst", {"class", "team", "factor", "for_s"}},
        {"cancel_now", {"count", "hang_s"}},
        {"cancel_at_end", {"share", "for_s"}},
        {"odd_requests", {"for_s"}},
        {"close_looks", {"for_s"}},
    };
    for (auto& [kind, names] : f)
      for (const char* common : {"at_s", "kind"}) names.emplace_back(common);
    return f;
  }();
  return fields;
}

}  // namespace

const std::vector<std::string>& fault_kinds() {
  static const std::vector<std::string> kinds = [] {
    std::vector<std::string> names;
    for (const auto& [kind, fields] : fields_by_kind()) names.push_back(kind);
    return names;
  }();
  return kinds;
}
const std::vector<std::string>& fault_fields(const std::string& kind) { return fields_by_kind().at(kind); }

SimulationPlan parse_plan(const std::string& text, const std::string& file, const std::string& scenario) {
  auto table = parse_toml(text, file);
  Reader top(file, table);
  SimulationPlan p;
  p.name = top.text("name");
  p.until_s = top.amount("until_s", true), p.jobs_until_s = top.amount_or("jobs_until_s", p.until_s * 0.6);
  p.served = top.amount_or("served", p.served), p.restart_s = top.amount_or("restart_s", p.restart_s);
  p.controllers = top.texts("controllers"), p.zones = top.texts("zones");
  auto state = top.sub("state"), cloud = top.sub("cloud"), workers = top.sub("workers");
  Settings& s = p.site;
  s.max_connections = static_cast<int>(top.amount_or("fd_limit", s.max_connections));
  s.zones = p.zones;
  s.state_rps = state.amount("rps", true), s.state_write_rps = state.amount("write_rps", true);
  s.value_kb = state.amount("value_kb", true), s.txn_ops = static_cast<int>(state.amount("txn_ops", true));
  s.next = {state.amount_or("next_write_rps", s.state_write_rps),
            state.amount_or("next_value_kb", s.value_kb),
            static_cast<int>(state.amount_or("next_txn_ops", s.txn_ops))};
  s.cloud_rps = cloud.amount("rps", true), s.list_lag_s = cloud.amount_or("list_lag_s", 0);
  p.times = {workers.amount("report_s", true), workers.amount("lease_s", true),
             workers.amount("gang_wait_s", true), workers.amount("gang_peer_s", true)};
  s.report_s = p.times.heartbeat_s, s.lease_s = p.times.lease_s, s.gang_wait_s = p.times.gang_wait_s;
  s.gang_peer_s = p.times.gang_peer_s, s.cancel_s = workers.amount("cancel_s", true);
  top.each("teams", true, [&](const Reader& r) {
    p.teams.push_back({r.text("name"), r.amount_or("cpus", 0), r.amount_or("cpus_max", 0),
                       r.amount_or("gpus", 0), r.amount_or("gpus_max", 0)});
  });
  s.teams = p.teams;
  top.each("machine_types", true, [&](const Reader& r) {
    p.types.push_back({r.text("name"),
                       {r.amount("cpus", true), r.amount_or("gpus", 0), r.amount("memory_gb", true)},
                       r.amount_or("cache_gb", 100),
                       r.amount_or("fetch_gb_per_s", 0.5),
                       r.amount_or("price", 1),
                       r.amount_or("spot_price", 0.4),
                       r.amount_or("boot_s", 30),
                       p.zones});
  });
  top.each("machines", true, [&](const Reader& r) {
    int initial = static_cast<int>(r.amount_or("initial", 0));
    Machines m{{r.text("type"), r.text("zone"), r.flag_or("spot", false), 0}, initial};
    m.where.max_machines = static_cast<int>(r.amount_or("most", initial));
    if (std::none_of(p.types.begin(), p.types.end(), [&](const auto& t) { return t.name == m.where.type; }))
      r.fail("type", "no such machine type");
    p.machines.push_back(m);
  });
  top.each("jobs", true, [&](const Reader& r) { p.workloads.push_back(load_of(r)); });
  top.each("aims", false, [&](const Reader& r) {
    auto& aims = s.start_within[r.text("class")];
    aims.push_back(r.amount("start_within_s", true));
    std::sort(aims.begin(), aims.end());
  });
  s.guarantee_within = top.amount_or("guarantee_within_s", 10);
  bool found = scenario.empty(), first = true;
  top.each("day", false, [&](const Reader& r) {
    bool wanted = scenario.empty() ? first : r.text("name") == scenario;
    first = false;
    if (!wanted) return;
    found = true;
    p.name += "/" + r.text("name");
    r.each("faults", false, [&](const Reader& f) { p.faults.push_back(fault_of(f)); });
  });
  if (!found) throw SettingsError(file + ": no day '" + scenario + "'");
  return p;
}
SimulationPlan load_plan(const std::string& file, const std::string& scenario) {
  return parse_plan(read_file(file), file, scenario);
}

std::vector<std::string> scenario_names(const std::string& file) {
  auto table = parse_toml(read_file(file), file);
  std::vector<std::string> out;
  Reader(file, table).each("day", false, [&](const Reader& r) { out.push_back(r.text("name")); });
  return out;
}

std::string fault_to_toml(const Fault& f) {
  std::string out = fmt::format("{{ at_s = {}, kind = \"{}\"", f.at_s, f.kind);
  const auto& has = fault_fields(f.kind);
  auto wanted = [&](const char* name) { return std::find(has.begin(), has.end(), name) != has.end(); };
  auto amount = [&](const char* name, double v, double usual) {
    if (v != usual && wanted(name)) out += fmt::format(", {} = {}", name, v);
  };
  auto text = [&](const char* name, const std::string& v, const char* usual) {
    if (v != usual && wanted(name)) out += fmt::format(", {} = \"{}\"", name, v);
  };
  auto flag = [&](const char* name, bool v) {
    if (v && wanted(name)) out += fmt::format(", {} = true", name);
  };
  amount("for_s", f.for_s, 0), amount("every_s", f.every_s, 15);
  amount("count", f.count, 1), amount("share", f.share, 0), amount("factor", f.factor, 1);
  amount("notice_s", f.notice_s, 0), amount("value_kb", f.value_kb, 0), amount("write_rps", f.write_rps, 0);
  amount("txn_ops", f.txn_ops, 0), amount("back_s", f.back_s, 0), amount("times", f.times, 1);
  text("zone", f.zone, ""), text("mode", f.mode, "hold"), text("class", f.job_class, ""),
      text("team", f.team, "");
  if (f.zones.size() == 2 && wanted("zones"))
    out += fmt::format(", zones = [\"{}\", \"{}\"]", f.zones[0], f.zones[1]);
  flag("busiest", f.busiest), flag("from_state", f.from_state), flag("from_workers", f.from_workers);
  flag("from_peers", f.from_peers), flag("one_way", f.one_way);
  amount("hang_s", f.hang_s, 0), flag("at_once", f.at_once), flag("for_next", f.for_next);
  return out + " }";
}

std::vector<Fault> draw_faults(const SimulationPlan& plan, int count, std::uint64_t seed) {
  std::mt19937_64 rng(seed);
  auto uniform = [&](double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng); };
  auto pick = [&](const std::vector<std::string>& v) { return v[rng() % v.size()]; };
  int machines = 0;
  for (const auto& m : plan.machines) machines += m.initial;
  std::vector<Fault> out;
  for (int i = 0; i < count; ++i) {
    Fault f;
    f.kind = pick(fault_kinds());
    f.every_s = 15;
    f.at_s = uniform(plan.until_s * 0.08, plan.until_s * 0.5);
    f.for_s = uniform(1, std::min(45.0, plan.until_s * 0.15));
    f.mode = f.kind == "peers_refuse" ? "refuse" : rng() % 2 ? "hold" : "reset";
    f.busiest = rng() % 2, f.one_way = rng() % 3 == 0;
    f.count = 1 + static_cast<int>(rng() % plan.controllers.size());
    if (f.kind.rfind("machine_", 0) == 0) f.count = 1 + static_cast<int>(rng() % std::max(1, machines / 5));
    if (f.kind == "node_cut") {
      f.count = 1;
      auto which = rng() % 4;
      f.from_state = which == 0, f.from_workers = which == 1, f.from_peers = which == 2;  // else from all
    }
    f.zone = pick(plan.zones);
    if (plan.zones.size() > 1) f.zones = {plan.zones[0], plan.zones[1 + rng() % (plan.zones.size() - 1)]};
    if (f.kind == "zone_partition" && f.zones.size() != 2) f.kind = "zone_cut";
    f.factor = uniform(2, 8);
    // Some are back at once, and some of them end again and again.
    if (f.kind == "node_crash" && rng() % 2) f.back_s = uniform(0.05, 1), f.every_s = uniform(0.3, 3);
    if (f.back_s > 0 && rng() % 2) f.times = 1 + static_cast<int>(rng() % 5);
    bool some = f.kind == "answers_lost" || f.kind == "late_writes" || f.kind == "late_reports" ||
                f.kind == "late_orders" || f.kind == "late_batches" || f.kind == "batches_again";
    f.share = some ? uniform(0.05, 0.4) : uniform(0.2, 0.8);
    f.notice_s = rng() % 2 ? uniform(5, 30) : 0;
    f.at_once = f.for_next = rng() % 2;
    if (f.kind == "cancel_now")
      f.count = 1 + static_cast<int>(rng() % 20), f.hang_s = rng() % 2 * uniform(2, 30);
    if (f.kind == "state_limits") {
      const auto& next = plan.site.next;
      f.write_rps = next.write_rps, f.value_kb = next.value_kb, f.txn_ops = next.txn_ops, f.for_s = 0;
    }
    if (f.kind == "job_burst")
      f.job_class = plan.workloads[rng() % plan.workloads.size()].job_template.job_class;
    out.push_back(std::move(f));
  }
  std::sort(out.begin(), out.end(), [](const Fault& a, const Fault& b) { return a.at_s < b.at_s; });
  return out;
}

}  // namespace corkmux::simulation

// What a scale run says of itself: the account of each role, of users and of the rules.
#include <fmt/format.h>

#include <algorithm>

#include "scale_test_constants.h"
#include "scale_test_run.h"

namespace corkmux::scale_test {
using codec::Json;

namespace {

Json per_second(const Json& now, const Json& before, double seconds) {
  Json out = Json::object();
  for (const auto& entry : now.items()) {
    const auto& kind = entry.key();
    const auto& counts = entry.value();
    auto was = before.value(kind, Json{0, 0, 0});
    auto rate = [&](std::size_t i) { return (counts[i].get<double>() - was[i].get<double>()) / seconds; };
    if (rate(0) > 0) out[kind] = {{"messages", rate(0)}, {"bytes_in", rate(1)}, {"bytes_out", rate(2)}};
  }
  return out;
}

/// Sums of [messages, bytes in, bytes out] by kind.
void add_traffic(Json& sum, const Json& more) {
  for (const auto& [kind, counts] : more.items()) {
    if (!sum.contains(kind)) sum[kind] = {0, 0, 0};
    for (std::size_t i = 0; i < 3; ++i)
      sum[kind][i] = sum[kind][i].get<std::uint64_t>() + counts[i].get<std::uint64_t>();
  }
}

}  // namespace

std::vector<std::string> ScaleTestRun::problems() const {
  if (!failure_.empty()) return {"run: " + failure_};
  auto out = record_.checker().violations();
  auto shares = [&](const char* what,
                    const std::map<std::string, simulation::InvariantChecker::JobStatistics>& all) {
    for (const auto& [name, s] : all)
      if (s.served() < kServed)
        out.push_back(
            fmt::format("served: {} {} only {:.2f} of {} jobs", what, name, s.served(), s.submitted));
  };
  shares("class", record_.checker().by_class());
  shares("team", record_.checker().by_team());
  return out;
}

Json ScaleTestRun::role_account(const std::vector<const Role*>& of) const {
  double seconds = std::max(1e-9, window_to_ - window_from_), cpu = 0, most_cpu = 0, peak = 0;
  int files = 0, files_before = 0;
  Json traffic = Json::object(), before = Json::object();
  for (const auto* role : of) {
    double used = (role->used.cpu_s - role->at_start.cpu_s) / seconds;
    cpu += used;
    most_cpu = std::max(most_cpu, used);
    peak = std::max(peak, role->peak_mb);
    files = std::max(files, role->most_files);
    files_before = std::max(files_before, role->most_files_before);
    if (role->restarts) continue;  // its counts began anew
    add_traffic(traffic, role->traffic);
    add_traffic(before, role->traffic_at_start);
  }
  return {{"processes", of.size()},
          {"cores", cpu},
          {"cores_of_the_busiest", most_cpu},
          {"peak_mb_of_the_largest", peak},
          {"most_open_files_of_one", files},
          {"most_open_files_before_window", files_before},
          {"per_second", per_second(traffic, before, seconds)}};
}

Json ScaleTestRun::state_account() const {
  double seconds = std::max(1e-9, window_to_ - window_from_);
  Json out = role_account({&state_});
  double changes = 0;
  Json kinds = Json::object();
  for (const auto& [kind, count] : state_counts_.changes_by_kind) {
    auto before = state_at_start_.changes_by_kind.find(kind);
    double rate = (count - (before == state_at_start_.changes_by_kind.end() ? 0 : before->second)) / seconds;
    kinds[kind] = rate;
    changes += rate;
  }
  out["changes_per_s"] = changes;
  out["changes_per_s_by_kind_of_key"] = kinds;
  out["changes_per_start"] = changes / std::max(1e-9, metrics_.starts() / seconds);
  out["requests_per_s"] = (state_counts_.served - state_at_start_.served) / seconds;
  out["over_rate"] = state_counts_.over_rate;
  out["keys"] = state_counts_.keys;
  return out;
}

Json ScaleTestRun::account() const {
  std::vector<const Role*> leads, others, hosts, singles;
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    (i == leader_at_start_ ? leads : others).push_back(controllers_[i].get());
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    (i < static_cast<std::size_t>(plan_.zones) ? hosts : singles).push_back(hosts_[i].get());
  Json served = Json::object();
  for (const auto& [name, s] : record_.checker().by_class())
    served[name] = {{"submitted", s.submitted}, {"done", s.done}, {"served", s.served()}};
  double least = 1;
  for (const auto& [name, s] : record_.checker().by_team()) least = std::min(least, s.served());
  return {{"plan", plan_.name},
          {"seed", plan_.seed},
          {"hollow", true},
          {"workers", plan_.workers},
          {"zones", plan_.zones},
          {"controllers", plan_.controllers},
          {"teams", plan_.teams},
          {"running_tasks_wanted", plan_.running_tasks()},
          {"starts_per_s_wanted", plan_.starts_per_s},
          {"jobs_per_s", plan_.jobs_per_s()},
          {"window_s", window_to_ - window_from_},
          {"leader_changed", leader_at_start_ != leader_at_end_},
          {"users", metrics_.to_json()},
          {"roles",
           {{"leader", role_account(leads)},
            {"other_controllers", role_account(others)},
            {"state_service", state_account()},
            {"hollow_workers", role_account(hosts)},
            {"single_workers", role_account(singles)}}},
          {"peak_mb_of_all", peak_mb_},
          {"classes", served},
          {"least_served_team", least},
          {"problems", problems()}};
}

std::string ScaleTestRun::report_text() const {
  auto a = account();
  std::string out =
      fmt::format("{}: {} hollow workers, {} controllers, {} teams; window of {:.0f} s\n", plan_.name,
                  plan_.workers, plan_.controllers, plan_.teams, window_to_ - window_from_);
  for (const auto& [name, r] : a["roles"].items())
    if (r["processes"].get<int>() > 0)
      out += fmt::format(
          "  {:<18} {:>3} processes, {:.3f} cores (busiest {:.3f}), {:.1f} MB, {} open files\n", name,
          r["processes"].get<int>(), r["cores"].get<double>(), r["cores_of_the_busiest"].get<double>(),
          r["peak_mb_of_the_largest"].get<double>(), r["most_open_files_of_one"].get<int>());
  const auto& state = a["roles"]["state_service"];
  const auto& users = a["users"];
  out += fmt::format(
      "  state service: {:.1f} requests and {:.1f} changes a second, {:.2f} changes a start, {} over its "
      "rate\n",
      state["requests_per_s"].get<double>(), state["changes_per_s"].get<double>(),
      state["changes_per_start"].get<double>(), state["over_rate"].get<std::uint64_t>());
  out += fmt::format("  {:.1f} starts a second, at most {} tasks on machines, longest pause {:.2f} s\n",
                     users["starts_per_s"].get<double>(), users["most_tasks_on_machines"].get<int>(),
                     users["longest_pause_s"].get<double>());
  out += fmt::format(
      "  accepted in {:.3f} s (half), {:.3f} s (19 of 20); urgent running in {:.3f} s, {:.3f} s, {:.3f} "
      "within {} s\n",
      users["accepted_in"]["p50_s"].get<double>(), users["accepted_in"]["p95_s"].get<double>(),
      users["urgent_running_in"]["p50_s"].get<double>(), users["urgent_running_in"]["p95_s"].get<double>(),
      users["urgent_running_in"]["share_within_aim"].get<double>(), kUrgentWithin);
  for (const auto& p : users["pauses"])
    out += fmt::format("  {} at {:.1f} s: longest pause {:.2f} s\n", p["fault"].get<std::string>(),
                       p["at_s"].get<double>(), p["longest_pause_s"].get<double>());
  out += fmt::format("  peak memory of all processes together: {:.0f} MB\n", peak_mb_);
  for (const auto& p : problems()) out += "  WRONG: " + p + "\n";
  if (good()) out += "  every rule held, every class and team was served\n";
  return out;
}

}  // namespace corkmux::scale_test

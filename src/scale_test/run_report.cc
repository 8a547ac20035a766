#include "run_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace corkmux::scale_test {
using codec::Json;

namespace {

constexpr double kMinWindowLength = 1e-9;  // s; keeps a rate finite
constexpr std::size_t kTrafficCounts = 3;  // counts per kind: messages, bytes in, bytes out

/// Rates by kind of message, from two readings of [messages, bytes in, bytes out].
Json per_second(const Json& now, const Json& before, double seconds) {
  Json rates = Json::object();
  for (const auto& entry : now.items()) {
    auto earlier = before.value(entry.key(), Json{0, 0, 0});
    std::array<double, kTrafficCounts> rate{};
    for (std::size_t i = 0; i < kTrafficCounts; ++i)
      rate[i] = (entry.value()[i].get<double>() - earlier[i].get<double>()) / seconds;
    if (rate[0] > 0)
      rates[entry.key()] = {{"messages", rate[0]}, {"bytes_in", rate[1]}, {"bytes_out", rate[2]}};
  }
  return rates;
}

void add_traffic(Json& sum, const Json& more) {
  for (const auto& [kind, counts] : more.items()) {
    if (!sum.contains(kind)) sum[kind] = {0, 0, 0};
    for (std::size_t i = 0; i < kTrafficCounts; ++i)
      sum[kind][i] = sum[kind][i].get<std::uint64_t>() + counts[i].get<std::uint64_t>();
  }
}

using Shares = std::map<std::string, simulation::JobStatistics>;

void add_underserved(const char* what, const Shares& shares, std::vector<std::string>& problems) {
  for (const auto& [name, share] : shares)
    if (share.served() < kMinServedShare)
      problems.push_back(
          fmt::format("served: {} {} only {:.2f} of {} jobs", what, name, share.served(), share.submitted));
}

std::string role_lines(const Json& roles) {
  std::string text;
  for (const auto& [name, role] : roles.items())
    if (role["processes"].get<int>() > 0)
      text += fmt::format(
          "  {:<18} {:>3} processes, {:.3f} cores (busiest {:.3f}), {:.1f} MB, {} open files\n", name,
          role["processes"].get<int>(), role["cores"].get<double>(),
          role["cores_of_the_busiest"].get<double>(), role["peak_mb_of_the_largest"].get<double>(),
          role["most_open_files_of_one"].get<int>());
  return text;
}

std::string state_line(const Json& state) {
  return fmt::format(
      "  state service: {:.1f} requests and {:.1f} changes a second, {:.2f} changes a start, {} over its "
      "rate\n",
      state["requests_per_s"].get<double>(), state["changes_per_s"].get<double>(),
      state["changes_per_start"].get<double>(), state["over_rate"].get<std::uint64_t>());
}

std::string user_lines(const Json& users) {
  const auto& accepted = users["accepted_in"];
  const auto& urgent = users["urgent_running_in"];
  std::string text =
      fmt::format("  {:.1f} starts a second, at most {} tasks on machines, longest pause {:.2f} s\n",
                  users["starts_per_s"].get<double>(), users["most_tasks_on_machines"].get<int>(),
                  users["longest_pause_s"].get<double>());
  text += fmt::format(
      "  accepted in {:.3f} s (half), {:.3f} s (19 of 20); urgent running in {:.3f} s, {:.3f} s, {:.3f} "
      "within {} s\n",
      accepted["p50_s"].get<double>(), accepted["p95_s"].get<double>(), urgent["p50_s"].get<double>(),
      urgent["p95_s"].get<double>(), urgent["share_within_aim"].get<double>(), kUrgentWaitObjective);
  for (const auto& pause : users["pauses"])
    text += fmt::format("  {} at {:.1f} s: longest pause {:.2f} s\n", pause["fault"].get<std::string>(),
                        pause["at_s"].get<double>(), pause["longest_pause_s"].get<double>());
  return text;
}

}  // namespace

double RunReport::seconds() const { return std::max(kMinWindowLength, results_.window_s); }

std::vector<std::string> RunReport::problems() const {
  if (results_.failure) return {"run: " + *results_.failure};
  auto problems = checker_.violations();
  if (results_.unsettled) problems.push_back(*results_.unsettled);
  add_underserved("class", checker_.by_class(), problems);
  add_underserved("team", checker_.by_team(), problems);
  return problems;
}

std::optional<std::string> RunReport::not_run() const {
  return checker_.violations().empty() ? results_.not_run : std::nullopt;
}

Json RunReport::role_usage(const RunResults::Processes& processes) const {
  double cores = 0;
  double cores_of_busiest = 0;
  double peak_mb = 0;
  int files = 0;
  int files_before = 0;
  Json traffic = Json::object();
  Json traffic_before = Json::object();
  for (const auto* process : processes) {
    double used = process->window_cpu_s() / seconds();
    cores += used;
    cores_of_busiest = std::max(cores_of_busiest, used);
    peak_mb = std::max(peak_mb, process->peak_memory_mb());
    files = std::max(files, process->max_open_files_in_window());
    files_before = std::max(files_before, process->max_open_files_before_window());
    if (process->restarts() > 0) continue;  // its message counts started at 0 again
    add_traffic(traffic, process->traffic());
    add_traffic(traffic_before, process->traffic_at_window_open());
  }
  return {{"processes", processes.size()},
          {"cores", cores},
          {"cores_of_the_busiest", cores_of_busiest},
          {"peak_mb_of_the_largest", peak_mb},
          {"most_open_files_of_one", files},
          {"most_open_files_before_window", files_before},
          {"per_second", per_second(traffic, traffic_before, seconds())}};
}

Json RunReport::state_service_usage() const {
  const StateCounts& now = results_.state;
  const StateCounts& before = results_.state_at_window_open;
  Json report = role_usage(results_.state_service);
  double changes_per_s = 0;
  Json by_kind = Json::object();
  for (const auto& [kind, count] : now.changes_by_kind) {
    auto earlier = before.changes_by_kind.find(kind);
    auto since = count - (earlier == before.changes_by_kind.end() ? 0 : earlier->second);
    double rate = static_cast<double>(since) / seconds();
    by_kind[kind] = rate;
    changes_per_s += rate;
  }
  double starts_per_s = metrics_.starts() / seconds();
  report["changes_per_s"] = changes_per_s;
  report["changes_per_s_by_kind_of_key"] = by_kind;
  report["changes_per_start"] = changes_per_s / std::max(kMinWindowLength, starts_per_s);
  report["requests_per_s"] = static_cast<double>(now.served - before.served) / seconds();
  report["over_rate"] = now.over_rate;
  report["keys"] = now.keys;
  return report;
}

Json RunReport::to_json() const {
  Json classes = Json::object();
  for (const auto& [name, share] : checker_.by_class())
    classes[name] = {{"submitted", share.submitted}, {"done", share.done}, {"served", share.served()}};
  double least_served = 1;
  for (const auto& [name, share] : checker_.by_team()) least_served = std::min(least_served, share.served());
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
          {"window_s", results_.window_s},
          {"leader_changed", results_.leader_changed},
          {"users", metrics_.to_json()},
          {"roles",
           {{"leader", role_usage(results_.leader)},
            {"other_controllers", role_usage(results_.other_controllers)},
            {"state_service", state_service_usage()},
            {"hollow_workers", role_usage(results_.zone_hosts)},
            {"single_workers", role_usage(results_.single_hosts)}}},
          {"peak_mb_of_all", results_.peak_memory_mb},
          {"classes", classes},
          {"least_served_team", least_served},
          {"problems", problems()}};
}

std::string RunReport::to_text() const {
  auto report = to_json();
  std::string text =
      fmt::format("{}: {} hollow workers, {} controllers, {} teams; window of {:.0f} s\n", plan_.name,
                  plan_.workers, plan_.controllers, plan_.teams, results_.window_s);
  text += role_lines(report["roles"]);
  text += state_line(report["roles"]["state_service"]);
  text += user_lines(report["users"]);
  text += fmt::format("  peak memory of all processes together: {:.0f} MB\n", results_.peak_memory_mb);
  for (const auto& problem : problems()) text += "  WRONG: " + problem + "\n";
  if (good()) text += "  every rule held, every class and team was served\n";
  return text;
}

}  // namespace corkmux::scale_test

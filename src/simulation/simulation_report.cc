#include "simulation_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace corkmux::simulation {

using codec::Json;

namespace {

using StatisticsByName = std::map<std::string, JobStatistics>;

void find_unserved(const char* what, const StatisticsByName& statistics_by_name, double min_served,
                   std::vector<std::string>& problems) {
  for (const auto& [name, statistics] : statistics_by_name)
    if (statistics.served() < min_served)
      problems.push_back(fmt::format("served: {} {} only {:.2f}", what, name, statistics.served()));
}

/// The value that this share of the values does not exceed; 0 if there are no values.
double quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  auto position = static_cast<std::size_t>(share * sorted.size());
  return sorted[std::min(sorted.size() - 1, position)];
}

Json statistics_json(const StatisticsByName& statistics_by_name) {
  Json out = Json::object();
  for (const auto& [name, statistics] : statistics_by_name)
    out[name] = {{"submitted", statistics.submitted},
                 {"accepted", statistics.accepted},
                 {"refused", statistics.refused},
                 {"given_up", statistics.given_up},
                 {"started", statistics.started},
                 {"cancelled", statistics.cancelled},
                 {"done", statistics.done},
                 {"served", statistics.served()},
                 {"wait_s",
                  {{"half", quantile(statistics.waits, 0.5)},
                   {"nine_in_ten", quantile(statistics.waits, 0.9)},
                   {"longest", quantile(statistics.waits, 1)}}}};
  return out;
}

std::string statistics_text(const char* what, const StatisticsByName& statistics_by_name) {
  std::string out;
  for (const auto& [name, statistics] : statistics_by_name)
    out += fmt::format(
        "  {} {:<16} {:>4} submitted, {:>4} done, {:>3} cancelled, served {:.2f}; waits {:.1f} s (half), "
        "{:.1f} s (nine in ten)\n",
        what, name, statistics.submitted, statistics.done, statistics.cancelled, statistics.served(),
        quantile(statistics.waits, 0.5), quantile(statistics.waits, 0.9));
  return out;
}

}  // namespace

std::vector<std::string> find_problems(const InvariantChecker& checker, double min_served) {
  auto problems = checker.violations();
  find_unserved("class", checker.by_class(), min_served, problems);
  find_unserved("team", checker.by_team(), min_served, problems);
  for (const auto& [name, statistics] : checker.by_class()) {
    if (statistics.largest < kMinLargestJobs) continue;
    double required = min_served * statistics.largest;
    if (statistics.largest_begun < required || statistics.largest_done < required)
      problems.push_back(
          fmt::format("served: of {} largest jobs of class {} only {} began in time, {} are done",
                      statistics.largest, name, statistics.largest_begun, statistics.largest_done));
  }
  return problems;
}

Json report_json(const SimulationSummary& summary) {
  const auto& checker = summary.checker;
  return {{"world", summary.plan},
          {"seconds", summary.seconds},
          {"classes", statistics_json(checker.by_class())},
          {"teams", statistics_json(checker.by_team())},
          {"starts", checker.starts()},
          {"lost_task_seconds", checker.lost_seconds()},
          {"longest_pause_s", checker.longest_pause()},
          {"polls", checker.polls()},
          {"polls_answered", checker.polls_answered()},
          {"starts_after_cancel", checker.starts_after_cancel()},
          {"latest_start_after_cancel_s", checker.latest_start_after_cancel()},
          {"terms", summary.terms},
          {"state_requests", summary.state_requests},
          {"state_over_rate", summary.state_requests_over_rate},
          {"money", summary.cost},
          {"machines", summary.machines},
          {"events", summary.events},
          {"problems", summary.problems},
          {"history", fmt::format("{:016x}", summary.history)}};
}

std::string report_text(const SimulationSummary& summary) {
  const auto& checker = summary.checker;
  std::string out = fmt::format("{}: {:.0f} s with {} controllers, {} machines at the end\n", summary.plan,
                                summary.seconds, summary.controllers, summary.machines);
  for (const auto& event : summary.events) out += "  " + event + "\n";
  out += statistics_text("class", checker.by_class());
  out += statistics_text("team ", checker.by_team());
  out += fmt::format(
      "  {} starts; longest pause in placing while work that fits waited: {:.2f} s; {} requests to the state "
      "service\n",
      checker.starts(), checker.longest_pause(), summary.state_requests);
  out += fmt::format("  {} of {} polls answered; {} requests beyond the state service's rate\n",
                     checker.polls_answered(), checker.polls(), summary.state_requests_over_rate);
  for (const auto& [why, seconds] : checker.lost_seconds())
    if (seconds > 0) out += fmt::format("  lost to {}: {:.0f} task seconds\n", why, seconds);
  if (summary.problems.empty()) out += "  every rule held, every class and team was served\n";
  for (const auto& problem : summary.problems) out += "  WRONG: " + problem + "\n";
  return out;
}

}  // namespace corkmux::simulation

#include "controller_settings.h"

#include <fmt/format.h>

namespace corkmux::scale_test {
namespace {

// s from submission to running: the objective for jobs that are not urgent.
constexpr double kNormalWaitObjective = 30;

std::string zone_of(const ScaleTestPlan& plan, std::size_t controller) {
  return plan.zone_names()[controller % static_cast<std::size_t>(plan.zones)];
}

std::string identity(const ScaleTestPlan& plan, std::size_t controller, const RunAddresses& addresses) {
  std::string text = fmt::format("label = \"{}\"\ndomain = \"{}\"\nbind = \"{}\"\npeer_listen = \"{}\"\n",
                                 controller_label(controller), zone_of(plan, controller),
                                 addresses.users[controller], addresses.peers[controller]);
  for (std::size_t peer = 0; peer < addresses.peers.size(); ++peer)
    if (peer != controller)
      text += fmt::format("[[others]]\nlabel = \"{}\"\ndomain = \"{}\"\naddr = \"{}\"\n",
                          controller_label(peer), zone_of(plan, peer), addresses.peers[peer]);
  return text + fmt::format("[outside]\ncloud = \"{}\"\nstate = \"{}\"\n", addresses.cloud, addresses.state);
}

std::string cluster(const ScaleTestPlan& plan) {
  std::string zones;
  for (const auto& zone : plan.zone_names()) zones += fmt::format("\"{}\", ", zone);
  return fmt::format("[cluster]\ninitial_size = {}\nzones = [{}]\nskew_ms = 5.0\n", plan.controllers, zones);
}

std::string teams(const ScaleTestPlan& plan) {
  std::string text;
  for (const auto& team : plan.team_list())
    text +=
        fmt::format("[[cluster.teams]]\nname = \"{}\"\ncpus = {}\ncpus_max = {}\ngpus = {}\ngpus_max = {}\n",
                    team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max);
  return text;
}

std::string objectives(const ScaleTestPlan& plan) {
  std::string text;
  for (const auto& job_class : plan.classes)
    text += fmt::format(
        "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"{}\"\nwithin_s = {}\nshare = 0.9\n",
        job_class.name, job_class.priority == Priority::High ? kUrgentWaitObjective : kNormalWaitObjective);
  return text;
}

std::string limits(const ScaleTestPlan& plan) {
  const Settings& site = plan.site;
  return fmt::format(
             "[cluster.workers]\nreport_s = {}\nlease_s = {}\ngang_wait_s = {}\ngang_peer_s = {}\ncancel_s = "
             "{}\n",
             site.report_s, site.lease_s, site.gang_wait_s, site.gang_peer_s, site.cancel_s) +
         fmt::format("[cluster.state]\nrps = {}\nwrite_rps = {}\nvalue_kb = {}\ntxn_ops = {}\n",
                     site.state_rps, site.state_write_rps, site.value_kb, site.txn_ops) +
         fmt::format("[cluster.cloud]\nrps = {}\nlist_lag_s = {}\n", site.cloud_rps, site.list_lag_s) +
         fmt::format("[cluster.limits]\ncpu_share = {}\nmem_mb = {}\nfd_limit = {:.0f}\n", plan.cpu_share,
                     plan.mem_mb, plan.fd_limit);
}

}  // namespace

std::string controller_label(std::size_t controller) { return fmt::format("c{:02}", controller + 1); }

std::string controller_settings(const ScaleTestPlan& plan, std::size_t controller,
                                const RunAddresses& addresses) {
  return identity(plan, controller, addresses) + cluster(plan) + teams(plan) + objectives(plan) +
         limits(plan);
}

}  // namespace corkmux::scale_test

#include "scaling.h"

#include <algorithm>
#include <cmath>

#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;
namespace {

struct Stock {
  int busy = 0, idle = 0, coming = 0;
  std::map<std::string, int> in_zone;
  std::vector<const Machine*> returnable;
  double want = 0;
  bool spot_fits = false;
};

}  // namespace

ScalingPlan plan_scaling(const Scheduler& cluster, const OperatorChoices& choices,
                         const std::map<std::tuple<std::string, std::string, bool>, double>& refused,
                         double now) {
  ScalingPlan out;
  if (!choices.manage_fleet) return out;
  // Without any unfinished job for several of the usual gaps between jobs, nothing is kept in reserve.
  double patience =
      std::min(choices.idle_return_s, std::max(c::kIdleMinimum, c::kIdleGaps * cluster.arrival_gap()));
  bool quiet = cluster.idle_for(now) > patience;
  double idle_limit = quiet ? patience : choices.idle_return_s;
  std::map<std::string, Stock> stock;
  for (const auto& [name, m] : cluster.machines()) {
    if (m.decommissioning || m.faulty || m.gone_at) continue;
    Stock& s = stock[m.type];
    const auto* t = cluster.type(m.type);
    if (!m.up) {
      // A boot that takes far longer than the catalog says no longer counts as a machine to come.
      if (t && now - m.provisioned_at < 2 * t->boot_s + c::kBootGrace) ++s.coming, ++s.in_zone[m.zone];
      continue;
    }
    ++s.in_zone[m.zone];
    if (m.tasks.empty()) {
      ++s.idle;
      if (now - m.idle_since > idle_limit && cluster.usable(m, now)) s.returnable.push_back(&m);
    } else {
      ++s.busy;
    }
  }
  // Machines for waiting work, on the cheapest type that may run it; types are tried in that order.
  auto types_for = [&](const JobSpec& spec) {
    std::vector<const MachineType*> fit;
    for (const auto& t : cluster.catalog()) {
      if (spec.allows_type(t.name) && spec.need.times_in(t.size) > 0) fit.push_back(&t);
    }
    std::sort(fit.begin(), fit.end(), [&](auto* a, auto* b) {
      return a->price / spec.need.times_in(a->size) < b->price / spec.need.times_in(b->size);
    });
    return fit;
  };
  std::map<std::string, const MachineType*> overflow_to;
  for (const auto& [id, job] : cluster.jobs()) {
    if (!job.ready()) continue;
    auto fit = types_for(job.spec);
    if (fit.empty()) continue;
    Stock& s = stock[fit[0]->name];
    if (job.spec.spot) s.spot_fits = true;
    if (fit.size() > 1) overflow_to[fit[0]->name] = fit[1];
    if (job.queued > 0 && job.not_before <= now)
      s.want += static_cast<double>(job.queued) / job.spec.need.times_in(fit[0]->size);
  }
  auto types = cluster.catalog();
  std::sort(types.begin(), types.end(), [](const auto& a, const auto& b) { return a.price < b.price; });
  for (const auto& t : types) {
    Stock& s = stock[t.name];
    double busy = s.busy + std::ceil(s.want - 1e-9);
    if (busy <= 0) busy = 0;
    int target = static_cast<int>(std::ceil(busy * (1 + choices.headroom_share) - 1e-9)) +
                 (busy > 0 ? choices.headroom_machines : 0);
    int have = s.busy + s.idle + s.coming;
    int missing = target - have;
    if (missing > 0) {
      // Spread over zones, ordinary machines first, then such as the cloud may take back.
      bool asked = false;
      for (bool spot : {false, true}) {
        if (spot && !s.spot_fits) continue;
        std::vector<std::string> zones;
        for (const auto& z : t.zones) {
          auto r = refused.find({t.name, z, spot});
          if (r == refused.end() || r->second <= now) zones.push_back(z);
        }
        if (zones.empty()) continue;
        std::map<std::string, int> add;
        auto in_zone = s.in_zone;
        for (int i = 0; i < std::min(missing, c::kMaxScaleOut); ++i) {
          auto z = *std::min_element(zones.begin(), zones.end(),
                                     [&](const auto& a, const auto& b) { return in_zone[a] < in_zone[b]; });
          ++add[z];
          ++in_zone[z];
        }
        for (const auto& [z, n] : add) out.scale_out.push_back({t.name, z, spot, n});
        asked = true;
        break;
      }
      // What cannot be had of this type is wanted of the next that may run the work.
      if (!asked)
        if (auto o = overflow_to.find(t.name); o != overflow_to.end() && o->second->price > t.price)
          stock[o->second->name].want += missing / (1 + choices.headroom_share);
    } else if (int spare = quiet ? 0 : 1; missing < -spare) {
      int surplus = -missing - spare;
      std::sort(s.returnable.begin(), s.returnable.end(),
                [](auto* a, auto* b) { return a->idle_since < b->idle_since; });
      for (const auto* m : s.returnable) {
        if (surplus-- <= 0) break;
        out.scale_in.push_back(m->name);
      }
    }
  }
  return out;
}

}  // namespace corkmux

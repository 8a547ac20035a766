#include "reserved_capacity.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

#include "mutation.h"
#include "scheduler_constants.h"

namespace corkmux {
namespace c = constants;

double ReservedCapacity::decayed(const Group& g, double now) {
  return g.served * std::exp(-std::max(0.0, now - g.served_at) / c::kServiceWindow);
}

void ReservedCapacity::served(const std::string& job_class, const std::string& team, double now) {
  for (auto [groups, name] : {std::pair{&classes_, &job_class}, {&teams_, &team}}) {
    if (groups->size() >= c::kReservationGroupsRemembered && !groups->count(*name)) continue;
    Group& g = (*groups)[*name];
    g.served = decayed(g, now) + 1;
    g.served_at = now;
  }
}

/// 0 to 1. A group that is served enough, or that nothing of waits, wants nothing.
double ReservedCapacity::wanted(Group& g, double now) {
  if (!g.waits || g.has > 1e-9)
    g.idle_since = -1;
  else if (g.idle_since < 0)
    g.idle_since = now;
  const double done = decayed(g, now);
  // Guards against a flood that counts as in arrears because of its own length: whoever has more than is kept
  // has its floor, and is what the floor is kept against.
  const bool enough = g.has > c::kReservationUsageCap || done >= c::kServedShareTarget * (done + g.unserved);
  if (g.unserved == 0 || enough) {
    g.shut_out = false;
    return 0;
  }
  // Whoever gets nothing at all gets a little soon; it stays until enough is served, not until some of it
  // runs.
  g.shut_out |= g.idle_since >= 0 && now - g.idle_since >= c::kStarvedAfter;
  const double late = (g.ends_s / g.unserved - c::kDeficitFrom) / (c::kDeficitFull - c::kDeficitFrom);
  return std::clamp(late, g.shut_out ? 1.0 / c::kReservationTiers : 0.0, 1.0);
}

void ReservedCapacity::look(const std::vector<Waiting>& waiting, double now) {
  if (now - looked_at_ < c::kReservationInterval) return;
  double passed = looked_at_ < 0 ? 0 : std::min(now - looked_at_, 2 * c::kReservationInterval);
  looked_at_ = now;
  for (auto* groups : {&classes_, &teams_})
    for (auto& [name, g] : *groups) g.unserved = g.ends_s = 0, g.waits = false;
  for (const auto& w : waiting)
    for (auto [g, has] : {std::pair{&classes_[*w.job_class], w.class_has}, {&teams_[*w.team], w.team_has}}) {
      g->waits = true, g->has = has;
      if (w.ends_s < c::kDeficitFrom && w.waited_s < c::kStarvedAfter) continue;
      ++g->unserved, g->ends_s += w.ends_s;
    }
  double most = 0;
  for (auto* groups : {&classes_, &teams_})
    for (auto& [name, g] : *groups) {
      // Slower than what it follows, and slower down than up, or it would come and go with each job.
      g.level = std::clamp(wanted(g, now), g.level - passed / c::kReservationFall,
                           g.level + passed / c::kReservationRise);
      most = std::max(most, g.level);
    }
  // What was served so long ago that it no longer counts is forgotten.
  for (auto* groups : {&classes_, &teams_})
    std::erase_if(*groups, [&](const auto& e) {
      return !e.second.waits && e.second.level <= 0 && decayed(e.second, now) < 0.01;
    });
  if (mutation_enabled("nothing is kept for who is in arrears")) most = 0;
  reservation_tiers_ = static_cast<int>(std::ceil(most * c::kReservationTiers - 1e-9));
}

bool ReservedCapacity::holds(const std::string& job_class, const std::string& team) const {
  if (reservation_tiers_ == 0) return false;
  auto starving = [](const std::map<std::string, Group>& groups, const std::string& name) {
    auto g = groups.find(name);
    return g != groups.end() && g->second.level > 0;
  };
  // A team's floor is not for what floods the fleet, of whichever team: it would fill what others were kept.
  auto own = classes_.find(job_class);
  const bool floods = own != classes_.end() && own->second.has > c::kReservationUsageCap;
  return starving(classes_, job_class) || (starving(teams_, team) && !floods);
}

int ReservedCapacity::reservation_tier(const std::string& machine) {
  std::uint64_t h = 1469598103934665603ull;  // FNV-1a: the same on every controller and in every life
  for (unsigned char b : machine) h = (h ^ b) * 1099511628211ull;
  h ^= h >> 29;  // names differ in their last bytes only
  int reservation_tier =
      static_cast<int>(h % static_cast<std::uint64_t>(std::lround(1 / c::kReservationTierShare)));
  return reservation_tier < c::kReservationTiers ? reservation_tier + 1 : 0;
}

std::vector<std::string> ReservedCapacity::starving() const {
  std::vector<std::string> out;
  for (const auto& [name, g] : classes_)
    if (g.level > 0) out.push_back("class " + name);
  for (const auto& [name, g] : teams_)
    if (g.level > 0) out.push_back("team " + name);
  return out;
}

}  // namespace corkmux

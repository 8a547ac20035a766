#include "reserved_capacity.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "mutation.h"

namespace corkmux {
namespace c = constants;
namespace {

constexpr double kRounding = 1e-9;
constexpr double kNegligibleJobs = 0.01;  // served so long ago that it no longer counts

/// FNV-1a: the same on every controller and in every process.
std::uint64_t stable_hash(const std::string& text) {
  constexpr std::uint64_t kOffsetBasis = 1469598103934665603ull;
  constexpr std::uint64_t kPrime = 1099511628211ull;
  std::uint64_t hash = kOffsetBasis;
  for (unsigned char byte : text) hash = (hash ^ byte) * kPrime;
  return hash;
}

}  // namespace

double ReservedCapacity::decayed_served(const Group& group, double now) {
  return group.served * std::exp(-std::max(0.0, now - group.served_at) / c::kServiceWindow);
}

void ReservedCapacity::count_served(Groups& groups, const std::string& name, double now) {
  if (groups.size() >= c::kReservationGroupsRemembered && !groups.contains(name)) return;
  Group& group = groups[name];
  group.served = decayed_served(group, now) + 1;
  group.served_at = now;
}

void ReservedCapacity::served(const std::string& job_class, const std::string& team, double now) {
  count_served(classes_, job_class, now);
  count_served(teams_, team, now);
}

/// 0 to 1. A group that is served enough, or that nothing of waits, has none.
double ReservedCapacity::target_deficit(Group& group, double now) {
  if (!group.waits || group.share_used > kRounding)
    group.idle_since.reset();
  else if (!group.idle_since)
    group.idle_since = now;
  const double done = decayed_served(group, now);
  // Guards against a flood that counts as in deficit because of its own length: whoever uses more than is
  // reserved has its share, and is what machines are reserved against.
  const bool enough =
      group.share_used > c::kReservationUsageCap || done >= c::kServedShareTarget * (done + group.unserved);
  if (group.unserved == 0 || enough) {
    group.starved = false;
    return 0;
  }
  // Whoever gets nothing at all gets a little soon; it stays until enough is served, not until some of it
  // runs.
  group.starved |= group.idle_since && now - *group.idle_since >= c::kStarvedAfter;
  const double late = (group.ends_s / group.unserved - c::kDeficitFrom) / (c::kDeficitFull - c::kDeficitFrom);
  return std::clamp(late, group.starved ? 1.0 / c::kReservationTiers : 0.0, 1.0);
}

void ReservedCapacity::count_waiting(Group& group, const WaitingJob& job, double share_used) {
  group.waits = true;
  group.share_used = share_used;
  if (job.ends_s < c::kDeficitFrom && job.waited_s < c::kStarvedAfter) return;
  ++group.unserved;
  group.ends_s += job.ends_s;
}

void ReservedCapacity::update_deficits(Groups& groups, double passed_s, double now) {
  for (auto& [name, group] : groups) {
    // Slower than what it follows, and slower down than up, or it would come and go with each job.
    const double lowest = group.deficit - passed_s / c::kReservationFall;
    const double highest = group.deficit + passed_s / c::kReservationRise;
    group.deficit = std::clamp(target_deficit(group, now), lowest, highest);
  }
}

double ReservedCapacity::largest_deficit(const Groups& groups) {
  double largest = 0;
  for (const auto& [name, group] : groups) largest = std::max(largest, group.deficit);
  return largest;
}

void ReservedCapacity::update(const std::vector<WaitingJob>& waiting, double now) {
  if (updated_at_ && now - *updated_at_ < c::kReservationInterval) return;
  const double passed_s = updated_at_ ? std::min(now - *updated_at_, 2 * c::kReservationInterval) : 0;
  updated_at_ = now;
  for (Groups* groups : {&classes_, &teams_})
    for (auto& [name, group] : *groups) {
      group.waits = false;
      group.unserved = 0;
      group.ends_s = 0;
    }
  for (const auto& job : waiting) {
    count_waiting(classes_[*job.job_class], job, job.class_share);
    count_waiting(teams_[*job.team], job, job.team_share);
  }
  update_deficits(classes_, passed_s, now);
  update_deficits(teams_, passed_s, now);
  double largest = std::max(largest_deficit(classes_), largest_deficit(teams_));
  for (Groups* groups : {&classes_, &teams_})
    std::erase_if(*groups, [&](const auto& entry) {
      const Group& group = entry.second;
      return !group.waits && group.deficit <= 0 && decayed_served(group, now) < kNegligibleJobs;
    });
  if (mutation_enabled("nothing is kept for who is in arrears")) largest = 0;
  reservation_tiers_ = static_cast<int>(std::ceil(largest * c::kReservationTiers - kRounding));
}

bool ReservedCapacity::in_deficit(const Groups& groups, const std::string& name) {
  auto group = groups.find(name);
  return group != groups.end() && group->second.deficit > 0;
}

bool ReservedCapacity::is_starving(const std::string& job_class, const std::string& team) const {
  if (reservation_tiers_ == 0) return false;
  if (in_deficit(classes_, job_class)) return true;
  // What is reserved for a team is not for what floods the fleet, of whichever team: it would fill what was
  // reserved for others.
  auto own_class = classes_.find(job_class);
  const bool floods = own_class != classes_.end() && own_class->second.share_used > c::kReservationUsageCap;
  return !floods && in_deficit(teams_, team);
}

int ReservedCapacity::reservation_tier(const std::string& machine) {
  std::uint64_t hash = stable_hash(machine);
  hash ^= hash >> 29;  // names differ in their last bytes only
  const auto groups = static_cast<std::uint64_t>(std::lround(1 / c::kReservationTierShare));
  const int group = static_cast<int>(hash % groups);
  return group < c::kReservationTiers ? group + 1 : 0;
}

std::vector<std::string> ReservedCapacity::starving() const {
  std::vector<std::string> names;
  for (const auto& [name, group] : classes_)
    if (group.deficit > 0) names.push_back("class " + name);
  for (const auto& [name, group] : teams_)
    if (group.deficit > 0) names.push_back("team " + name);
  return names;
}

}  // namespace corkmux

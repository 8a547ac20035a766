#include "reserved_capacity.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "mutation.h"

namespace corkmux {
namespace c = constants;
namespace {

constexpr double kRounding = 1e-9;
constexpr double kNegligibleJobs = 0.01;  // fewer decayed served jobs than this no longer count

/// FNV-1a, which gives the same value on every controller and in every process.
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

/// The deficit that the group's waiting jobs indicate, 0 to 1; 0 if the group is served enough or has no
/// waiting jobs.
double ReservedCapacity::target_deficit(Group& group, double now) {
  if (!group.has_waiting_jobs || group.share_used > kRounding)
    group.idle_since.reset();
  else if (!group.idle_since)
    group.idle_since = now;
  const double done = decayed_served(group, now);
  // Prevents a flood of jobs from counting as in deficit because of the length of its own queue: a group that
  // uses more than kReservationUsageCap has its share, and machines are reserved against just such groups.
  const bool enough =
      group.share_used > c::kReservationUsageCap || done >= c::kServedShareTarget * (done + group.unserved);
  if (group.unserved == 0 || enough) {
    group.starved = false;
    return 0;
  }
  // A group of which nothing runs gets one tier after kStarvedAfter. It keeps the tier until enough of its
  // jobs are served, not only until some of them run.
  group.starved |= group.idle_since && now - *group.idle_since >= c::kStarvedAfter;
  const double deficit = (group.expected_end_s / group.unserved - c::kDeficitStartTime) /
                         (c::kFullDeficitTime - c::kDeficitStartTime);
  return std::clamp(deficit, group.starved ? 1.0 / c::kReservationTiers : 0.0, 1.0);
}

void ReservedCapacity::count_waiting(Group& group, const WaitingJob& job, double share_used) {
  group.has_waiting_jobs = true;
  group.share_used = share_used;
  if (job.expected_end_s < c::kDeficitStartTime && job.waited_s < c::kStarvedAfter) return;
  ++group.unserved;
  group.expected_end_s += job.expected_end_s;
}

void ReservedCapacity::update_deficits(Groups& groups, double passed_s, double now) {
  for (auto& [name, group] : groups) {
    // The deficit follows its target slowly, and falls more slowly than it rises; otherwise reservations
    // would come and go with each job.
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
      group.has_waiting_jobs = false;
      group.unserved = 0;
      group.expected_end_s = 0;
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
      return !group.has_waiting_jobs && group.deficit <= 0 && decayed_served(group, now) < kNegligibleJobs;
    });
  if (mutation_enabled("no machines are kept for starving classes and teams")) largest = 0;
  reservation_tiers_ = static_cast<int>(std::ceil(largest * c::kReservationTiers - kRounding));
}

bool ReservedCapacity::in_deficit(const Groups& groups, const std::string& name) {
  auto group = groups.find(name);
  return group != groups.end() && group->second.deficit > 0;
}

bool ReservedCapacity::is_starving(const std::string& job_class, const std::string& team) const {
  if (reservation_tiers_ == 0) return false;
  if (in_deficit(classes_, job_class)) return true;
  // Machines reserved for a team are not for a class that already uses more than kReservationUsageCap: the
  // class would fill the machines that were reserved for others.
  auto own_class = classes_.find(job_class);
  const bool exceeds_usage_cap =
      own_class != classes_.end() && own_class->second.share_used > c::kReservationUsageCap;
  return !exceeds_usage_cap && in_deficit(teams_, team);
}

int ReservedCapacity::reservation_tier(const std::string& machine) {
  std::uint64_t hash = stable_hash(machine);
  hash ^= hash >> 29;  // mixes the bits: machine names differ only in their last bytes
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

#include "quota_reclaim.h"

#include <algorithm>
#include <numeric>

namespace corkmux {
namespace {

using Place = QuotaReclaimInput::Place;
using PreemptionUnit = QuotaReclaimInput::PreemptionUnit;

std::size_t index_of(int position) { return static_cast<std::size_t>(position); }

Resources total_need(const PreemptionUnit& unit) {
  Resources total;
  for (std::size_t i = 0; i < unit.members.size(); ++i) total += unit.need;
  return total;
}

/// How many claimed tasks fit, kept up as units are taken and put back.
class ClaimedCapacity {
 public:
  /// `zone`: the only one whose places count; none: all do.
  ClaimedCapacity(const QuotaReclaimInput& input, std::optional<int> zone)
      : input_(input), zone_(zone), over_guarantee_(input.over_guarantee) {
    for (const auto& place : input.places) free_.push_back(place.free);
    for (std::size_t i = 0; i < free_.size(); ++i) fitting_tasks_ += tasks_fitting(static_cast<int>(i));
  }

  bool enough() const { return fitting_tasks_ >= input_.tasks; }

  /// Whether its team stays at or above its guarantee without it.
  bool allowed(const PreemptionUnit& unit) const {
    constexpr double kRounding = 1e-6;
    const Resources total = total_need(unit);
    const Resources& left = over_guarantee_[index_of(unit.team)];
    return total.cpus <= left.cpus + kRounding && total.gpus <= left.gpus + kRounding;
  }

  /// Whether stopping it frees anything where the claim could use it.
  bool frees_usable_place(const PreemptionUnit& unit) const {
    return std::any_of(unit.members.begin(), unit.members.end(), [&](int place) { return usable(place); });
  }

  void take(const PreemptionUnit& unit) {
    for (int place : unit.members) {
      fitting_tasks_ -= tasks_fitting(place);
      free_[index_of(place)] += unit.need;
      fitting_tasks_ += tasks_fitting(place);
    }
    over_guarantee_[index_of(unit.team)] -= total_need(unit);
  }

  void put_back(const PreemptionUnit& unit) {
    for (int place : unit.members) {
      fitting_tasks_ -= tasks_fitting(place);
      free_[index_of(place)] -= unit.need;
      fitting_tasks_ += tasks_fitting(place);
    }
    over_guarantee_[index_of(unit.team)] += total_need(unit);
  }

 private:
  bool usable(int position) const {
    const Place& place = input_.places[index_of(position)];
    return place.open && (!zone_ || place.zone == *zone_);
  }
  int tasks_fitting(int position) const {
    return usable(position) ? input_.need.times_in(free_[index_of(position)]) : 0;
  }

  const QuotaReclaimInput& input_;
  std::optional<int> zone_;
  std::vector<Resources> free_;
  std::vector<Resources> over_guarantee_;
  int fitting_tasks_ = 0;
};

/// All units, those that lose least first.
std::vector<int> units_by_loss(const QuotaReclaimInput& input) {
  std::vector<int> order(input.units.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](int left, int right) {
    const double left_lost = input.units[index_of(left)].lost;
    const double right_lost = input.units[index_of(right)].lost;
    return left_lost != right_lost ? left_lost < right_lost : left < right;
  });
  return order;
}

/// Guards against stopping more than the claim needs: what was taken on the way and is not missed goes back,
/// the dearest first. Room only grows with what is stopped, so one walk leaves none that could be left out.
void put_back_unneeded(const QuotaReclaimInput& input, ClaimedCapacity& capacity, std::vector<int>& taken) {
  for (auto it = taken.rbegin(); it != taken.rend();) {
    const PreemptionUnit& unit = input.units[index_of(*it)];
    capacity.put_back(unit);
    if (capacity.enough()) {
      it = std::make_reverse_iterator(taken.erase(std::next(it).base()));
    } else {
      capacity.take(unit);
      ++it;
    }
  }
}

std::optional<std::vector<int>> choose_in_zone(const QuotaReclaimInput& input, std::optional<int> zone) {
  ClaimedCapacity capacity(input, zone);
  std::vector<int> taken;
  for (int position : units_by_loss(input)) {
    if (capacity.enough()) break;
    const PreemptionUnit& unit = input.units[index_of(position)];
    if (!capacity.allowed(unit) || !capacity.frees_usable_place(unit)) continue;
    capacity.take(unit);
    taken.push_back(position);
  }
  if (!capacity.enough()) return std::nullopt;
  put_back_unneeded(input, capacity, taken);
  return taken;
}

double total_lost(const QuotaReclaimInput& input, const std::vector<int>& units) {
  double lost = 0;
  for (int position : units) lost += input.units[index_of(position)].lost;
  return lost;
}

}  // namespace

std::optional<std::vector<int>> choose_reclaim(const QuotaReclaimInput& input) {
  if (!input.one_zone) return choose_in_zone(input, std::nullopt);
  int zones = 0;
  for (const auto& place : input.places) zones = std::max(zones, place.zone + 1);
  std::optional<std::vector<int>> cheapest;
  double least_lost = 0;
  for (int zone = 0; zone < zones; ++zone) {
    auto units = choose_in_zone(input, zone);
    if (!units) continue;
    const double lost = total_lost(input, *units);
    if (cheapest && lost >= least_lost) continue;
    cheapest = std::move(units);
    least_lost = lost;
  }
  return cheapest;
}

}  // namespace corkmux

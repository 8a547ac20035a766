#include "quota_reclaim.h"

#include <algorithm>
#include <numeric>

namespace corkmux {
namespace {

using CandidateMachine = QuotaReclaimInput::CandidateMachine;
using PreemptionUnit = QuotaReclaimInput::PreemptionUnit;

std::size_t index_of(int position) { return static_cast<std::size_t>(position); }

Resources total_need(const PreemptionUnit& unit) {
  Resources total;
  for (std::size_t i = 0; i < unit.members.size(); ++i) total += unit.need;
  return total;
}

/// Counts how many claimed tasks fit, updated as units are taken and put back.
class ClaimedCapacity {
 public:
  /// `zone`: the only zone whose machines count; nullopt: all zones.
  ClaimedCapacity(const QuotaReclaimInput& input, std::optional<int> zone)
      : input_(input), zone_(zone), over_guarantee_(input.over_guarantee) {
    for (const auto& machine : input.machines) {
      free_.push_back(machine.free);
      task_slots_.push_back(machine.task_slots);
    }
    for (std::size_t i = 0; i < free_.size(); ++i)
      fitting_tasks_ += claimed_tasks_fitting(static_cast<int>(i));
  }

  bool enough() const { return fitting_tasks_ >= input_.tasks; }

  /// Whether the unit's team stays at or above its guarantee without the unit.
  bool allowed(const PreemptionUnit& unit) const {
    constexpr double kRounding = 1e-6;
    const Resources total = total_need(unit);
    const Resources& left = over_guarantee_[index_of(unit.team)];
    return total.cpus <= left.cpus + kRounding && total.gpus <= left.gpus + kRounding;
  }

  /// Whether stopping the unit frees capacity on a machine that the claim may use.
  bool frees_usable_capacity(const PreemptionUnit& unit) const {
    return std::any_of(unit.members.begin(), unit.members.end(),
                       [&](int machine) { return usable(machine); });
  }

  void take(const PreemptionUnit& unit) {
    for (int machine : unit.members) {
      fitting_tasks_ -= claimed_tasks_fitting(machine);
      free_[index_of(machine)] += unit.need;
      ++task_slots_[index_of(machine)];
      fitting_tasks_ += claimed_tasks_fitting(machine);
    }
    over_guarantee_[index_of(unit.team)] -= total_need(unit);
  }

  void put_back(const PreemptionUnit& unit) {
    for (int machine : unit.members) {
      fitting_tasks_ -= claimed_tasks_fitting(machine);
      free_[index_of(machine)] -= unit.need;
      --task_slots_[index_of(machine)];
      fitting_tasks_ += claimed_tasks_fitting(machine);
    }
    over_guarantee_[index_of(unit.team)] += total_need(unit);
  }

 private:
  bool usable(int position) const {
    const CandidateMachine& machine = input_.machines[index_of(position)];
    return machine.usable && (!zone_ || machine.zone == *zone_);
  }
  int claimed_tasks_fitting(int position) const {
    if (!usable(position)) return 0;
    return tasks_fitting(input_.need, free_[index_of(position)], task_slots_[index_of(position)]);
  }

  const QuotaReclaimInput& input_;
  std::optional<int> zone_;
  std::vector<Resources> free_;
  std::vector<int> task_slots_;
  std::vector<Resources> over_guarantee_;
  int fitting_tasks_ = 0;
};

/// The indices of all units, those that lose the least work first.
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

/// Avoids stopping more than the claim needs: puts back each taken unit without which the claim still fits,
/// those that lose the most work first. Free capacity only grows with each stopped unit, so after one pass no
/// remaining unit could be left out.
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
    if (!capacity.allowed(unit) || !capacity.frees_usable_capacity(unit)) continue;
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
  for (const auto& machine : input.machines) zones = std::max(zones, machine.zone + 1);
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

#include "quota_reclaim.h"

#include <algorithm>
#include <numeric>

namespace corkmux {
namespace {

/// How many claimed tasks fit, kept up as units are taken and put back.
class FreeCapacity {
 public:
  FreeCapacity(const QuotaReclaimInput& in, int zone) : in_(in), zone_(zone), beyond_(in.beyond) {
    for (const auto& p : in.places) free_.push_back(p.free);
    for (std::size_t i = 0; i < free_.size(); ++i) fits_ += count(static_cast<int>(i));
  }
  bool enough() const { return fits_ >= in_.tasks; }
  bool allowed(const QuotaReclaimInput::PreemptionUnit& u) const {
    Resources all = total(u);
    const Resources& left = beyond_[static_cast<std::size_t>(u.team)];
    constexpr double kRounding = 1e-6;
    return all.cpus <= left.cpus + kRounding && all.gpus <= left.gpus + kRounding;
  }
  void take(const QuotaReclaimInput::PreemptionUnit& u) { change(u, 1); }
  void put_back(const QuotaReclaimInput::PreemptionUnit& u) { change(u, -1); }
  /// Whether stopping it frees anything where the claim could use it.
  bool touches(const QuotaReclaimInput::PreemptionUnit& u) const {
    return std::any_of(u.members.begin(), u.members.end(), [&](int m) { return usable(m); });
  }

 private:
  static Resources total(const QuotaReclaimInput::PreemptionUnit& u) {
    Resources all;
    for (std::size_t i = 0; i < u.members.size(); ++i) all += u.need;
    return all;
  }
  bool usable(int place) const {
    const auto& p = in_.places[static_cast<std::size_t>(place)];
    return p.open && (zone_ < 0 || p.zone == zone_);
  }
  int count(int place) const {
    return usable(place) ? in_.need.times_in(free_[static_cast<std::size_t>(place)]) : 0;
  }
  void change(const QuotaReclaimInput::PreemptionUnit& u, int sign) {
    for (int m : u.members) {
      fits_ -= count(m);
      Resources& f = free_[static_cast<std::size_t>(m)];
      sign > 0 ? f += u.need : f -= u.need;
      fits_ += count(m);
    }
    Resources& left = beyond_[static_cast<std::size_t>(u.team)];
    sign > 0 ? left -= total(u) : left += total(u);
  }
  const QuotaReclaimInput& in_;
  int zone_;
  std::vector<Resources> free_, beyond_;
  int fits_ = 0;
};

std::optional<std::vector<int>> choose_in(const QuotaReclaimInput& in, int zone) {
  FreeCapacity room(in, zone);
  std::vector<int> order(in.units.size()), taken;
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](int a, int b) {
    const auto &x = in.units[static_cast<std::size_t>(a)], &y = in.units[static_cast<std::size_t>(b)];
    return x.lost != y.lost ? x.lost < y.lost : a < b;
  });
  for (int i : order) {
    if (room.enough()) break;
    const auto& u = in.units[static_cast<std::size_t>(i)];
    if (!room.allowed(u) || !room.touches(u)) continue;
    room.take(u);
    taken.push_back(i);
  }
  if (!room.enough()) return std::nullopt;
  // Guards against stopping more than the claim needs: what was taken on the way and is not missed goes back,
  // the dearest first. Room only grows with what is stopped, so one walk leaves none that could be left out.
  for (auto it = taken.rbegin(); it != taken.rend();) {
    const auto& u = in.units[static_cast<std::size_t>(*it)];
    room.put_back(u);
    if (room.enough()) {
      it = std::make_reverse_iterator(taken.erase(std::next(it).base()));
    } else {
      room.take(u);
      ++it;
    }
  }
  return taken;
}

}  // namespace

std::optional<std::vector<int>> choose_reclaim(const QuotaReclaimInput& in) {
  if (!in.one_zone) return choose_in(in, -1);
  int zones = 0;
  for (const auto& p : in.places) zones = std::max(zones, p.zone + 1);
  std::optional<std::vector<int>> best;
  double least = 0;
  for (int z = 0; z < zones; ++z) {
    auto here = choose_in(in, z);
    if (!here) continue;
    double lost = 0;
    for (int i : *here) lost += in.units[static_cast<std::size_t>(i)].lost;
    if (!best || lost < least) best = std::move(here), least = lost;
  }
  return best;
}

}  // namespace corkmux

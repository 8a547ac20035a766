#include "random_process_faults.h"

#include <algorithm>
#include <array>
#include <random>

namespace corkmux::scale_test {
namespace {

using Kind = Fault::Kind;

// A controller comes back within a fraction of a second or after the leader lease has expired.
constexpr double kMinBack = 0.05;     // s
constexpr double kMaxFastBack = 0.9;  // s
constexpr double kMaxSlowBack = 6;    // s
constexpr double kMinPause = 0.3;     // s
// Pauses of controllers and of the state service, as a share of a worker's lease.
constexpr double kMaxPauseOfLease = 1.5;
// s; a paused machine cannot end its tasks, so the pause is within the reserve of cancel_s.
constexpr double kMaxWorkerPause = 2;
constexpr int kMaxSeries = 4;          // kills of leaders in a row
constexpr double kSeriesInterval = 4;  // s at most between two of them
constexpr int kMaxMachinesLost = 4;

constexpr std::array kKinds{Kind::LeaderKilled,   Kind::LeaderKilled,       Kind::FollowerKilled,
                            Kind::WorkersGone,    Kind::RackRestarted,      Kind::LeaderPaused,
                            Kind::FollowerPaused, Kind::StateServicePaused, Kind::WorkersPaused};

class FaultGenerator {
 public:
  explicit FaultGenerator(const ScaleTestPlan& plan) : plan_(plan), random_(plan.seed) {}

  /// Appends one fault, or a series of kills of leaders.
  void draw(std::vector<Fault>& faults) {
    Fault fault;
    fault.kind = kKinds[random_() % kKinds.size()];
    fault.at_s = uniform(plan_.warm_s, plan_.for_s);
    fault.back_s = coin() ? uniform(kMinBack, kMaxFastBack) : uniform(kMaxFastBack, kMaxSlowBack);
    fault.count = one_to(kMaxMachinesLost);
    double max_pause_s = kMaxPauseOfLease * plan_.site.lease_s;
    if (fault.kind == Kind::WorkersPaused) max_pause_s = kMaxWorkerPause;
    fault.for_s = uniform(kMinPause, max_pause_s);
    int times = fault.kind == Kind::LeaderKilled && coin() ? one_to(kMaxSeries) : 1;
    for (; times > 0; --times) {
      faults.push_back(fault);
      fault.at_s += uniform(0, kSeriesInterval);
    }
  }

 private:
  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  int one_to(int most) { return 1 + static_cast<int>(random_() % static_cast<unsigned>(most)); }
  bool coin() { return random_() % 2 == 0; }

  const ScaleTestPlan& plan_;
  std::mt19937_64 random_;
};

}  // namespace

std::vector<Fault> draw_faults(const ScaleTestPlan& plan, int count) {
  FaultGenerator generator(plan);
  std::vector<Fault> faults;
  for (int i = 0; i < count; ++i) generator.draw(faults);
  std::sort(faults.begin(), faults.end(),
            [](const Fault& left, const Fault& right) { return left.at_s < right.at_s; });
  return faults;
}

}  // namespace corkmux::scale_test

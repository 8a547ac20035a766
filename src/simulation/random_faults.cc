#include "random_faults.h"

#include <algorithm>
#include <random>
#include <string>

namespace corkmux::simulation {
namespace {

bool concerns_machines(FaultKind kind) {
  switch (kind) {
    case FaultKind::MachinePartition:
    case FaultKind::MachineMessagesLost:
    case FaultKind::MachineDeath:
    case FaultKind::MachineHang:
    case FaultKind::MachineRequestsLost:
    case FaultKind::MachineFaulty:
      return true;
    default:
      return false;
  }
}

/// Whether `share` is a share of messages. A cluster tolerates a smaller share of lost messages than of lost
/// machines or jobs.
bool share_is_of_messages(FaultKind kind) {
  switch (kind) {
    case FaultKind::StateAnswersLost:
    case FaultKind::WritesLate:
    case FaultKind::HeartbeatsRepeated:
    case FaultKind::CommandsRepeated:
    case FaultKind::FanInBatchesLate:
    case FaultKind::FanInBatchesRepeated:
      return true;
    default:
      return false;
  }
}

/// Draws every field for every kind, used or not, in the order of the steps of draw(), which fixes what a
/// seed draws.
class FaultGenerator {
 public:
  FaultGenerator(const SimulationPlan& plan, std::uint64_t seed) : plan_(plan), rng_(seed) {
    for (const auto& group : plan.machines) initial_machines_ += group.initial;
  }

  Fault draw() {
    Fault fault;
    fault.kind = fault_kinds()[below(fault_kinds().size())].kind;
    draw_times(fault);
    draw_mode(fault);
    draw_count(fault);
    draw_zones(fault);
    fault.factor = uniform(2, 8);
    draw_restarts(fault);
    fault.share = share_is_of_messages(fault.kind) ? uniform(0.05, 0.4) : uniform(0.2, 0.8);
    fault.notice_s = coin() ? uniform(5, 30) : 0;
    fault.at_once = coin();
    fault.for_next = fault.at_once;
    draw_kind_specifics(fault);
    return fault;
  }

 private:
  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(rng_); }
  std::size_t below(std::size_t count) { return rng_() % count; }
  int one_to(std::size_t most) { return 1 + static_cast<int>(below(most)); }
  bool coin() { return below(2) == 1; }

  void draw_times(Fault& fault) {
    fault.at_s = uniform(plan_.until_s * 0.08, plan_.until_s * 0.5);
    fault.for_s = uniform(1, std::min(45.0, plan_.until_s * 0.15));
  }
  void draw_mode(Fault& fault) {
    if (fault.kind == FaultKind::PeersRefuse)
      fault.mode = PartitionMode::Refuse;
    else
      fault.mode = coin() ? PartitionMode::Hold : PartitionMode::Reset;
    fault.busiest = coin();
    fault.one_way = below(3) == 0;
  }
  void draw_count(Fault& fault) {
    fault.count = one_to(plan_.controllers.size());
    if (concerns_machines(fault.kind))
      fault.count = one_to(static_cast<std::size_t>(std::max(1, initial_machines_ / 5)));
    if (fault.kind != FaultKind::ControllerPartition) return;
    fault.count = 1;
    auto from = below(4);  // 3: from all hosts
    fault.from_state = from == 0;
    fault.from_workers = from == 1;
    fault.from_peers = from == 2;
  }
  void draw_zones(Fault& fault) {
    fault.zone = plan_.zones[below(plan_.zones.size())];
    if (plan_.zones.size() > 1)
      fault.zones = {plan_.zones[0], plan_.zones[1 + below(plan_.zones.size() - 1)]};
    if (fault.kind == FaultKind::ZonePartition && fault.zones.size() != 2)
      fault.kind = FaultKind::ZoneIsolation;
  }
  /// Some controllers restart at once, and some of these crash repeatedly.
  void draw_restarts(Fault& fault) {
    if (fault.kind == FaultKind::ControllerCrash && coin()) {
      fault.back_s = uniform(0.05, 1);
      fault.every_s = uniform(0.3, 3);
    }
    if (fault.back_s && coin()) fault.times = one_to(5);
  }
  void draw_kind_specifics(Fault& fault) {
    if (fault.kind == FaultKind::CancelRunningJobs) {
      fault.count = one_to(20);
      bool hangs = coin();
      double hang_s = uniform(2, 30);
      if (hangs) fault.hang_s = hang_s;
    }
    if (fault.kind == FaultKind::StateLimits) {
      const auto& next = plan_.site.next;
      if (next.write_rps > 0) fault.write_rps = next.write_rps;
      if (next.value_kb > 0) fault.value_kb = next.value_kb;
      if (next.txn_ops > 0) fault.txn_ops = next.txn_ops;
      fault.for_s = 0;
    }
    if (fault.kind == FaultKind::JobBurst)
      fault.job_class = plan_.workloads[below(plan_.workloads.size())].job_template.job_class;
  }

  const SimulationPlan& plan_;
  std::mt19937_64 rng_;
  int initial_machines_ = 0;
};

}  // namespace

std::vector<Fault> draw_faults(const SimulationPlan& plan, int count, std::uint64_t seed) {
  FaultGenerator source(plan, seed);
  std::vector<Fault> faults;
  for (int i = 0; i < count; ++i) faults.push_back(source.draw());
  std::sort(faults.begin(), faults.end(),
            [](const Fault& left, const Fault& right) { return left.at_s < right.at_s; });
  return faults;
}

}  // namespace corkmux::simulation

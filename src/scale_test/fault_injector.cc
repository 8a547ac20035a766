#include "fault_injector.h"

namespace corkmux::scale_test {

void FaultInjector::inject(const Fault& fault) {
  switch (fault.kind) {
    case Fault::Kind::LeaderKilled:
      return kill_leader();
    case Fault::Kind::FollowerKilled:
      return kill_follower();
    case Fault::Kind::WorkersGone:
      return lose_machines({fault.count, "died", false});
    case Fault::Kind::RackRestarted:
      return lose_machines({fault.count, "restarted", true});
    case Fault::Kind::ControllersRestarted:
      return restart_all_controllers();
  }
}

void FaultInjector::kill_leader() {
  if (auto leader = targets_.leader()) restart_controller(*leader);
}

void FaultInjector::kill_follower() {
  auto leader = targets_.leader();
  std::size_t after_leader = leader ? *leader + 1 : 1;
  restart_controller(after_leader % targets_.controllers.size());
}

void FaultInjector::restart_all_controllers() {
  for (std::size_t number = 0; number < targets_.controllers.size(); ++number)
    loop_.call_later(kRollingRestartInterval * static_cast<double>(number),
                     [this, number] { restart_controller(number); });
}

void FaultInjector::restart_controller(std::size_t number) {
  if (stopped_ || !targets_.controllers.kill_for_restart(number)) return;
  loop_.call_later(kRestartDelay, [this, number] {
    if (!stopped_) targets_.controllers.start(number);
  });
}

void FaultInjector::lose_machines(const HollowFleet::MachineLoss& loss) {
  std::size_t zone = random_() % static_cast<std::size_t>(plan_.zones);
  targets_.fleet.lose_machines(zone, loss);
}

}  // namespace corkmux::scale_test

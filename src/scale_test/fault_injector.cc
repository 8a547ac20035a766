#include "fault_injector.h"

#include <signal.h>

namespace corkmux::scale_test {

void FaultInjector::inject(const Fault& fault) {
  switch (fault.kind) {
    case Fault::Kind::LeaderKilled:
      return restart_controller(targets_.leader(), fault.back_s);
    case Fault::Kind::FollowerKilled:
      return restart_controller(follower(), fault.back_s);
    case Fault::Kind::WorkersGone:
      return lose_machines({fault.count, "died", false});
    case Fault::Kind::RackRestarted:
      return lose_machines({fault.count, "restarted", true});
    case Fault::Kind::ControllersRestarted:
      return restart_all_controllers();
    case Fault::Kind::LeaderPaused:
      return pause_controller(targets_.leader(), fault.for_s);
    case Fault::Kind::FollowerPaused:
      return pause_controller(follower(), fault.for_s);
    case Fault::Kind::StateServicePaused:
      return pause(targets_.state_service, fault.for_s);
    case Fault::Kind::WorkersPaused:
      return pause_workers(fault.for_s);
  }
}

std::optional<std::size_t> FaultInjector::follower() const {
  auto leader = targets_.leader();
  return (leader ? *leader + 1 : 1) % targets_.controllers.size();
}

void FaultInjector::restart_all_controllers() {
  for (std::size_t number = 0; number < targets_.controllers.size(); ++number)
    loop_.call_later(kRollingRestartInterval * static_cast<double>(number),
                     [this, number] { restart_controller(number, kRestartDelay); });
}

void FaultInjector::restart_controller(std::optional<std::size_t> number, double back_s) {
  if (stopped_ || !number || !targets_.controllers.kill_for_restart(*number)) return;
  loop_.call_later(back_s, [this, number = *number] {
    if (!stopped_) targets_.controllers.start(number);
  });
}

void FaultInjector::pause_controller(std::optional<std::size_t> number, double for_s) {
  if (number) pause(*targets_.controllers.processes()[*number], for_s);
}

/// A process that is killed and restarted during its pause runs on; SIGCONT has no effect on it.
void FaultInjector::pause(MeasuredProcess& process, double for_s) {
  process.signal(SIGSTOP);
  loop_.call_later(for_s, [&process] { process.signal(SIGCONT); });
}

void FaultInjector::pause_workers(double for_s) {
  auto hosts = targets_.fleet.zone_hosts();
  pause(*hosts[random_() % hosts.size()], for_s);
}

void FaultInjector::lose_machines(const HollowFleet::MachineLoss& loss) {
  std::size_t zone = random_() % static_cast<std::size_t>(plan_.zones);
  targets_.fleet.lose_machines(zone, loss);
}

}  // namespace corkmux::scale_test

#include "leader_detector.h"

#include <fmt/format.h>

namespace corkmux::simulation {

LeaderDetector::LeaderDetector(EventSimulator& simulator, const ControllerFleet& controllers,
                               HistoryRecorder& history)
    : simulator_(simulator), controllers_(controllers), history_(history), led_(controllers.size()) {}

void LeaderDetector::check_often_until(double time) {
  often_until_ = time;
  check();
}

void LeaderDetector::check() {
  if (simulator_.now() < often_until_)
    simulator_.schedule_after(kLeaderDetectionInterval, [this] { check(); });
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    const auto& process = *controllers_.processes()[i];
    bool leads = process.responsive() && process.leading();
    bool begins = leads && !led_[i];
    led_[i] = leads;
    if (!begins) continue;
    ++terms_;
    history_.note(fmt::format("{} leads", process.label()));
    std::vector<Host*> hosts;
    for (const auto* running : controllers_.running()) hosts.push_back(&running->host());
    copies_delivered_ += simulator_.network().deliver_retained(hosts, kUserPort);
  }
}

}  // namespace corkmux::simulation

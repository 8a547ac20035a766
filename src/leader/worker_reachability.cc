#include "worker_reachability.h"

#include <algorithm>

#include "heartbeat_fanin_constants.h"

namespace corkmux {

WorkerReachability::WorkerReachability(const Settings& settings, double term_since)
    : max_silence_s_(kHeartbeatIntervals * settings.report_s + 1),
      grace_until_(term_since + constants::kCommandTimeout),
      last_heartbeat_at_(term_since) {}

bool WorkerReachability::silent(double now) const {
  return now - std::max(last_heartbeat_at_, grace_until_) >= max_silence_s_;
}

bool WorkerReachability::unreachable(double now, int machines_up) const {
  return silent(now) && machines_up >= kMinMachines;
}

}  // namespace corkmux

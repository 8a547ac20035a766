// Heartbeats for tests that need a running worker without tasks.
#pragma once
#include <cstdint>
#include <string>

#include "heartbeat.h"

namespace corkmux::test {

/// The heartbeat of an idle machine of type "m" in zone "a".
inline Heartbeat heartbeat_of(const std::string& machine, std::uint64_t worker_epoch, std::uint64_t seq) {
  Heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.address = "127.0.0.1:1";
  heartbeat.type = "m";
  heartbeat.zone = "a";
  heartbeat.worker_epoch = worker_epoch;
  heartbeat.seq = seq;
  return heartbeat;
}

}  // namespace corkmux::test

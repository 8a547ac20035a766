// Unit tests of the parts of the leader's state other than the scheduler.
#include <gtest/gtest.h>

#include "heartbeat_delta_cache.h"
#include "parked_heartbeats.h"
#include "stall_detector.h"
#include "test_heartbeat.h"
#include "worker_reachability.h"

namespace corkmux {
namespace {

using Error = HeartbeatDeltaCache::Error;

Heartbeat heartbeat_of(const std::string& machine, std::uint64_t seq) {
  return test::heartbeat_of(machine, 7, seq);
}

fanin::ForwardedHeartbeat with_body(codec::Json body) { return {1, fanin::FullHeartbeat{codec::pack(body)}}; }

/// The wire form of heartbeat_of().
fanin::ForwardedHeartbeat full(const Heartbeat& heartbeat) {
  return with_body({{"host", heartbeat.machine},
                    {"address", heartbeat.address},
                    {"build", heartbeat.type},
                    {"room", heartbeat.zone},
                    {"watch", heartbeat.worker_epoch},
                    {"tick", heartbeat.seq}});
}

fanin::ForwardedHeartbeat delta(const Heartbeat& same_as, std::uint64_t number) {
  return {1, fanin::HeartbeatDelta{same_as.machine, same_as.worker_epoch, same_as.seq, number}};
}

TEST(HeartbeatDeltaCache, ADeltaWithoutAStoredHeartbeatNeedsTheFullOne) {
  HeartbeatDeltaCache cache;
  auto completed = cache.complete(delta(heartbeat_of("n-1", 3), 4));
  ASSERT_TRUE(std::holds_alternative<Error>(completed));
  EXPECT_EQ(std::get<Error>(completed), Error::FullHeartbeatRequired);
}

TEST(HeartbeatDeltaCache, ABodyThatIsNotAHeartbeatIsMalformed) {
  HeartbeatDeltaCache cache;
  auto completed = cache.complete(with_body({{"nothing", "of a heartbeat"}}));
  ASSERT_TRUE(std::holds_alternative<Error>(completed));
  EXPECT_EQ(std::get<Error>(completed), Error::Malformed);
}

TEST(HeartbeatDeltaCache, ADeltaRepeatsTheFullHeartbeatUnderItsOwnNumber) {
  HeartbeatDeltaCache cache;
  auto known = heartbeat_of("n-1", 3);
  ASSERT_TRUE(std::holds_alternative<Heartbeat>(cache.complete(full(known))));
  auto completed = cache.complete(delta(known, 9));
  ASSERT_TRUE(std::holds_alternative<Heartbeat>(completed));
  EXPECT_EQ(std::get<Heartbeat>(completed), heartbeat_of("n-1", 9));
}

TEST(HeartbeatDeltaCache, ADeltaOfAnotherEpochOrNumberNeedsTheFullHeartbeat) {
  HeartbeatDeltaCache cache;
  auto known = heartbeat_of("n-1", 3);
  ASSERT_TRUE(std::holds_alternative<Heartbeat>(cache.complete(full(known))));
  auto restarted = known;
  restarted.worker_epoch = 8;
  for (const auto& forwarded :
       {delta(restarted, 9), delta(heartbeat_of("n-1", 4), 9), delta(known, 3), delta(known, 2)}) {
    auto completed = cache.complete(forwarded);
    ASSERT_TRUE(std::holds_alternative<Error>(completed));
    EXPECT_EQ(std::get<Error>(completed), Error::FullHeartbeatRequired);
  }
}

TEST(StallDetector, OnlyALongPauseIsAStall) {
  StallDetector detector(100);
  EXPECT_FALSE(detector.check(101.9));
  auto stalled = detector.check(104);
  ASSERT_TRUE(stalled);
  EXPECT_NEAR(*stalled, 2.1, 1e-9);
  EXPECT_FALSE(detector.check(104.25));
  detector.reset(200);
  EXPECT_FALSE(detector.check(201));
}

TEST(WorkerReachability, IsLostOnlyAfterTheGraceOfANewTermAndWithSeveralMachines) {
  Settings settings;
  settings.report_s = 4;
  WorkerReachability reachability(settings, 100);
  EXPECT_FALSE(reachability.unreachable(107, 10)) << "a new leader waits for its workers to find it";
  EXPECT_TRUE(reachability.unreachable(130, 3));
  EXPECT_FALSE(reachability.unreachable(130, 2)) << "two machines may just be down";
  reachability.heartbeat_received(126);
  EXPECT_FALSE(reachability.unreachable(132, 3));
  EXPECT_TRUE(reachability.unreachable(133, 3));
}

TEST(ParkedHeartbeats, AreBoundedAndTakenInOrder) {
  Settings settings;
  settings.max_connections = 2;
  settings.mem_mb = 0;
  ParkedHeartbeats parked(settings);
  EXPECT_TRUE(parked.empty());
  for (std::uint64_t seq : {1, 2}) {
    EXPECT_FALSE(parked.full());
    parked.add({heartbeat_of("n-1", seq), HeartbeatRoute::Direct, "", {}});
  }
  EXPECT_TRUE(parked.full());
  auto taken = parked.take_all();
  ASSERT_EQ(taken.size(), 2u);
  EXPECT_EQ(taken[0].heartbeat.seq, 1u);
  EXPECT_EQ(taken[1].heartbeat.seq, 2u);
  EXPECT_TRUE(parked.empty());
}

}  // namespace
}  // namespace corkmux

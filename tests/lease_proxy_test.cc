// Tests that a lease proxy renews a lease only while a stored record names the worker, and that it sends no
// command except to stop tasks of jobs that are over.
#include "lease_proxy.h"

#include <gtest/gtest.h>

#include "lease_proxy_record.h"
#include "state_service.h"

namespace corkmux {
namespace {

struct LeaseProxyTest : ::testing::Test {
  Loop loop;
  simulation::StateService state{loop};
  StateClient client{loop, state.address()};
  std::unique_ptr<LeaseProxy> lease_proxy;
  Heartbeat heartbeat;
  void SetUp() override {
    Settings settings;
    settings.label = "one";
    settings.lease_s = 8;
    settings.value_kb = 8;
    settings.next = {500, 2, 4};
    lease_proxy = std::make_unique<LeaseProxy>(loop, settings, client);
    heartbeat.machine = "n-1";
    heartbeat.fencing_token = 41;
    heartbeat.worker_epoch = 1;
    heartbeat.tasks.push_back({"run-1", 0, 7, TaskState::Running, ExitReason::None, false});
  }
  std::pair<int, codec::Json> renew() {
    int status = 0;
    codec::Json body;
    lease_proxy->renew(heartbeat, [&](std::optional<std::string> commands) {
      status = commands ? 200 : 503;
      if (auto unpacked = commands ? codec::unpack(*commands) : std::nullopt) body = *unpacked;
    });
    double until = steady_now() + 20;
    while (!status && steady_now() < until) loop.run_once();
    return {status, body};
  }
  void put(const codec::Json& record) {
    bool done = false;
    client.transaction({}, {{"a/run-1", record, 0}}, [&](StateReply) { done = true; });
    while (!done) loop.run_once();
  }
};

TEST_F(LeaseProxyTest, AnswersWithTheWorkersOwnFencingTokenOnceItsRecordIsStored) {
  put({{"j", 1}, {"c", 0}});
  auto [status, body] = renew();
  EXPECT_EQ(status, 200);
  EXPECT_EQ(body["baton"], 41);
  EXPECT_TRUE(body["orders"].empty());
  EXPECT_EQ(parse_lease_proxy_record(state.values().at("k/one")).machines, std::vector<std::string>{"n-1"});
}

// Guards against records that no transaction can write: it may have 64 KiB, whatever its records may have.
TEST_F(LeaseProxyTest, AllRecordsFitIntoOneTransaction) {
  Settings settings;
  settings.label = "one";
  settings.next = {500, 16, 12};
  LeaseProxyRecords records(settings, client);
  std::set<std::string> machines;
  std::size_t bytes = 0;
  for (int i = 0; bytes + 20 < records.capacity(); ++i) {
    const std::string name = "n-" + std::to_string(100000 + i);
    machines.insert(name);
    bytes += LeaseProxyRecords::bytes_of(name);
  }
  const codec::Json all(std::vector<std::string>(machines.begin(), machines.end()));
  constexpr std::size_t kFieldsOfRecord = 200;  // bytes of key, condition and other fields of a record
  EXPECT_LE(all.dump().size() + 12 * kFieldsOfRecord, 64u * 1024);
}

TEST_F(LeaseProxyTest, PassesOnTheLatestTermSoThatLateCommandsOfFormerLeadersAreRefused) {
  put({{"j", 1}, {"c", 0}});
  lease_proxy->term_changed(7);
  lease_proxy->term_changed(0);
  EXPECT_EQ(renew().second["baton"], lowest_token(7));
  heartbeat.fencing_token = lowest_token(7) + 5;
  EXPECT_EQ(renew().second["baton"], lowest_token(7) + 5);
}

TEST_F(LeaseProxyTest, IgnoresATermThatNobodyCanClaim) {
  put({{"j", 1}, {"c", 0}});
  lease_proxy->term_changed(~std::uint64_t{0});
  EXPECT_EQ(renew().second["baton"], 41);
}

TEST_F(LeaseProxyTest, StopsTasksOfACancelledJob) {
  put({{"j", 1}, {"c", 1}});
  auto [status, body] = renew();
  EXPECT_EQ(status, 200);
  ASSERT_EQ(body["orders"].size(), 1u);
  EXPECT_EQ(body["orders"][0]["verb"], "halt");
}

// A zone of a large cluster has about 300 machines; a proxy that holds only part of them lets the leases of
// the others expire. The names go into records of 2 KiB, all written in one transaction.
TEST_F(LeaseProxyTest, RenewsAsManyLeasesAsItsRecordsCanName) {
  put({{"j", 1}, {"c", 0}});
  int renewed = 0;
  for (int i = 0; i < 700; ++i) {
    heartbeat.machine = "n-" + std::to_string(100000 + i);
    renewed += renew().first == 200;
  }
  EXPECT_GE(renewed, 500);
  EXPECT_LT(renewed, 700);
  std::set<std::string> named;
  for (const auto& [key, value] : state.values()) {
    if (key.rfind("k/", 0) != 0) continue;
    EXPECT_LE(value.dump().size(), 2u * 1024) << key;
    for (const auto& name : parse_lease_proxy_record(value).machines) named.insert(name);
  }
  EXPECT_EQ(static_cast<int>(named.size()), renewed);
}

TEST_F(LeaseProxyTest, DoesNotAnswerWithoutARecord) {
  put({{"j", 1}, {"c", 0}});
  state.faults.unavailable = true;
  EXPECT_EQ(renew().first, 503);
  EXPECT_EQ(state.values().count("k/one"), 0u);
}

// Guards against turning away workers, which would then try controllers on the other side of the partition:
// heartbeats that arrive during a write wait for the next write, however many arrive at once.
TEST_F(LeaseProxyTest, AllWorkersOfAZoneThatArriveAtOnceAreAnswered) {
  put({{"j", 1}, {"c", 0}});
  int answered = 0, refused = 0;
  for (int i = 0; i < 300; ++i) {
    heartbeat.machine = "n-" + std::to_string(100000 + i);
    lease_proxy->renew(heartbeat,
                       [&](std::optional<std::string> commands) { ++(commands ? answered : refused); });
    if (i % 50 == 0) loop.run_once();
  }
  double until = steady_now() + 20;
  while (answered + refused < 300 && steady_now() < until) loop.run_once();
  EXPECT_EQ(answered, 300);
}

// Guards against a heartbeat that is never answered: a late answer of the leader releases a worker whose next
// heartbeat already waits here.
TEST_F(LeaseProxyTest, AWorkerReleasedWhileItWaitsIsStillAnswered) {
  put({{"j", 1}, {"c", 0}});
  ASSERT_EQ(renew().first, 200);  // a record without the next machine is stored
  int first = 0, second = 0;
  heartbeat.machine = "n-2";
  lease_proxy->renew(heartbeat, [&](std::optional<std::string> commands) { first = commands ? 200 : 503; });
  heartbeat.machine = "n-3";
  lease_proxy->renew(heartbeat, [&](std::optional<std::string> commands) { second = commands ? 200 : 503; });
  lease_proxy->release("n-3");
  double until = steady_now() + 20;
  while ((!first || !second) && steady_now() < until) loop.run_once();
  EXPECT_EQ(first, 200);
  EXPECT_EQ(second, 200);
}

// Guards against tasks started a second time: a process may restart within a fraction of a second, before the
// leader has read the record of its former incarnation. A worker that the former incarnation answered must
// stay named until that answer no longer counts.
TEST_F(LeaseProxyTest, ANewIncarnationStillNamesWorkersThatTheFormerOneAnswered) {
  put({{"j", 1}, {"c", 0}});
  heartbeat.machine = "n-1";
  ASSERT_EQ(renew().first, 200);
  SetUp();  // the next incarnation
  heartbeat.machine = "n-2";
  ASSERT_EQ(renew().first, 200);
  EXPECT_EQ(parse_lease_proxy_record(state.values().at("k/one")).machines,
            (std::vector<std::string>{"n-1", "n-2"}));
}

// A delayed write of a former incarnation must not be applied after the new incarnation has written its
// record and answered.
TEST_F(LeaseProxyTest, ALateWriteOfAFormerIncarnationDoesNotReplaceTheRecordsOfThisOne) {
  put({{"j", 1}, {"c", 0}});
  state.faults.held_prefix = "k/";
  lease_proxy->renew(heartbeat, [](const std::optional<std::string>&) {});
  double until = steady_now() + 20;
  while (!state.holds_transactions() && steady_now() < until) loop.run_once();
  ASSERT_TRUE(state.holds_transactions());
  state.faults.held_prefix.clear();
  auto former = std::move(lease_proxy);  // the former incarnation has ended and receives no answer
  SetUp();
  heartbeat.machine = "n-2";
  ASSERT_EQ(renew().first, 200);
  EXPECT_EQ(state.release_held(), std::vector<int>{409});
  EXPECT_EQ(parse_lease_proxy_record(state.values().at("k/one")).machines, std::vector<std::string>{"n-2"});
}

}  // namespace
}  // namespace corkmux

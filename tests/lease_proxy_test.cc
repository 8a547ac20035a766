// A lease proxy renews only under a record that names the worker, and gives no command but to stop what is
// over.
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

TEST_F(LeaseProxyTest, StopsTasksOfACancelledJob) {
  put({{"j", 1}, {"c", 1}});
  auto [status, body] = renew();
  EXPECT_EQ(status, 200);
  ASSERT_EQ(body["orders"].size(), 1u);
  EXPECT_EQ(body["orders"][0]["verb"], "halt");
}

// A zone of a grown site has some 300 machines; a proxy that holds only part of them lets the others' leases
// run out.
// A zone in records of 2 KiB, all written in one transaction.
TEST_F(LeaseProxyTest, HoldsAsManyWorkersAsItsRecordsHaveRoomFor) {
  put({{"j", 1}, {"c", 0}});
  int kept = 0;
  for (int i = 0; i < 700; ++i) {
    heartbeat.machine = "n-" + std::to_string(100000 + i);
    kept += renew().first == 200;
  }
  EXPECT_GE(kept, 500);
  EXPECT_LT(kept, 700);
  std::set<std::string> named;
  for (const auto& [key, value] : state.values()) {
    if (key.rfind("k/", 0) != 0) continue;
    EXPECT_LE(value.dump().size(), 2u * 1024) << key;
    for (const auto& name : parse_lease_proxy_record(value).machines) named.insert(name);
  }
  EXPECT_EQ(static_cast<int>(named.size()), kept);
}

TEST_F(LeaseProxyTest, DoesNotAnswerWithoutARecord) {
  put({{"j", 1}, {"c", 0}});
  state.faults.unavailable = true;
  EXPECT_EQ(renew().first, 503);
  EXPECT_EQ(state.values().count("k/one"), 0u);
}

// Guards against sending workers on, into the cut: those that come while a record is being written wait for
// the next one, however many come at once.
TEST_F(LeaseProxyTest, AllOfAZoneThatComeAtOnceAreAnswered) {
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

// An answer of the leader that comes late after all releases a worker whose next report already waits here.
TEST_F(LeaseProxyTest, AWorkerReleasedWhileItWaitsIsAnsweredAllTheSame) {
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

// A process may be back within a fraction of a second. A worker that its former incarnation answered must
// stay named until that answer no longer counts, or the leader may start its tasks a second time: it may look
// too seldom to have seen the former incarnation's record.
TEST_F(LeaseProxyTest, ANewIncarnationGoesOnNamingWhomTheFormerAnswered) {
  put({{"j", 1}, {"c", 0}});
  heartbeat.machine = "n-1";
  ASSERT_EQ(renew().first, 200);
  SetUp();  // the next incarnation
  heartbeat.machine = "n-2";
  ASSERT_EQ(renew().first, 200);
  EXPECT_EQ(parse_lease_proxy_record(state.values().at("k/one")).machines,
            (std::vector<std::string>{"n-1", "n-2"}));
}

// A write of a former incarnation, held up on the way, is applied after the new one has written and answered.
TEST_F(LeaseProxyTest, ALateWriteOfAFormerIncarnationDoesNotReplaceWhatEntitlesThisOne) {
  put({{"j", 1}, {"c", 0}});
  state.faults.held_prefix = "k/";
  lease_proxy->renew(heartbeat, [](const std::optional<std::string>&) {});
  double until = steady_now() + 20;
  while (!state.holds_transactions() && steady_now() < until) loop.run_once();
  ASSERT_TRUE(state.holds_transactions());
  state.faults.held_prefix.clear();
  auto former = std::move(lease_proxy);  // it ended; nobody hears the answer
  SetUp();
  heartbeat.machine = "n-2";
  ASSERT_EQ(renew().first, 200);
  EXPECT_EQ(state.release_held(), std::vector<int>{409});
  EXPECT_EQ(parse_lease_proxy_record(state.values().at("k/one")).machines, std::vector<std::string>{"n-2"});
}

}  // namespace
}  // namespace corkmux

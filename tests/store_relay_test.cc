// Tests the relay between controllers that reach only the state store: every message arrives once, records
// are bounded in size and rate, and a message that cannot be sent is given up at once.
#include "store_relay.h"

#include <gtest/gtest.h>

#include "state_service.h"

namespace corkmux {
namespace {

using codec::Json;

struct StoreRelayTest : ::testing::Test {
  Loop loop;
  simulation::StateService state{loop};
  StateClient client{loop, state.address()};
  std::vector<Json> delivered;
  std::unique_ptr<StoreRelay> near, far;
  std::string answer_with;
  void SetUp() override {
    Settings settings;
    settings.value_kb = 8;
    settings.state_write_rps = 500;
    settings.next = {500, 8, 12};
    auto echo = [this](std::string body, LeaderReplyCallback reply) {
      delivered.push_back(*codec::unpack(body));
      reply(LeaderReply::answered(answer_with.empty() ? body : answer_with));
    };
    settings.label = "near";
    near = std::make_unique<StoreRelay>(loop, settings, client, echo);
    settings.label = "far";
    far = std::make_unique<StoreRelay>(loop, settings, client, echo);
  }
  static Json heartbeat_of(int i) {
    return {{"host", "n-" + std::to_string(i)}, {"parts", std::string(300, 'x')}};
  }
  /// Sends a heartbeat from `near` to `far` and returns the reply; no value: none within run_until's time.
  std::optional<LeaderReply> request(const Json& heartbeat) {
    std::optional<LeaderReply> replied;
    near->request("far", codec::pack(heartbeat), [&](const LeaderReply& reply) { replied = reply; });
    run_until([&] { return replied.has_value(); });
    return replied;
  }
  void run_until(const std::function<bool()>& condition) {
    double until = steady_now() + 30;
    while (!condition() && steady_now() < until) loop.run_once();
  }
};

TEST_F(StoreRelayTest, RelaysHeartbeatsOfAWholeZoneAndTheirAnswersInRecordsThatFit) {
  far->accept_requests(true);
  int answered = 0, wrong = 0;
  for (int i = 0; i < 200; ++i)
    near->request("far", codec::pack(heartbeat_of(i)), [&, i](const LeaderReply& reply) {
      ++answered;
      auto echo = codec::unpack(reply.body());
      wrong += !reply.is_answered() || !echo || *echo != heartbeat_of(i);
    });
  run_until([&] { return answered == 200; });
  EXPECT_EQ(answered, 200);
  EXPECT_EQ(wrong, 0);
  EXPECT_EQ(delivered.size(), 200u);
  std::size_t records = 0;
  for (const auto& [key, value] : state.values()) {
    if (key.rfind("m/", 0) != 0) continue;
    ++records;
    EXPECT_LE(value.dump().size(), 8u * 1024) << key;
  }
  EXPECT_LE(records, 16u);  // kStoreRelaySlots each way, however many messages were sent
}

// Between controllers that read the compact encoding, a heartbeat takes a fraction of its size and loses
// nothing.
TEST_F(StoreRelayTest, IsCompactBetweenControllersThatReadIt) {
  state.put("v/far", {{"f", 2}});
  far->accept_requests(true);
  Json full = {{"host", "n-000231"}, {"address", "10.1.0.232:9000"},
               {"build", "g8"},      {"room", "b"},
               {"lendable", true},   {"watch", 3},
               {"tick", 88},         {"baton", 4194345},
               {"warningS", 12.5},   {"parts", Json::array()}};
  for (int i = 0; i < 8; ++i)
    full["parts"].push_back(
        {{"part", "run-000412/" + std::to_string(i)}, {"try", 4194320}, {"phase", "running"}});
  full["parts"].push_back(
      {{"part", "run-000399/7"}, {"try", 5}, {"phase", "ended"}, {"cause", "halted"}, {"kept", true}});
  Json command_batch = {{"baton", 4194346},
                        {"orders",
                         {{{"verb", "launch"}, {"part", "run-000412/9"}, {"try", 7}},
                          {{"verb", "halt"}, {"part", "run-000412/1"}, {"try", 4194320}, {"mercyS", 10}},
                          {{"verb", "clear"}, {"part", "run-000399/7"}, {"try", 5}}}}};
  answer_with = codec::pack(command_batch);
  // The first request may be sent before `near` has read that `far` reads the compact encoding.
  for (int n = 0; n < 3; ++n) {
    Json answer;
    bool answered = false;
    near->request("far", codec::pack(full), [&](const LeaderReply& reply) {
      answer = codec::unpack(reply.body()).value_or(Json());
      answered = true;
    });
    run_until([&] { return answered; });
    EXPECT_EQ(answer, command_batch);
    ASSERT_EQ(delivered.size(), n + 1u);
    auto sent = codec::parse_heartbeat(full), got = codec::parse_heartbeat(delivered.back());
    ASSERT_TRUE(sent && got);
    EXPECT_EQ(got->machine, sent->machine);
    EXPECT_EQ(got->address, sent->address);
    EXPECT_EQ(got->fencing_token, sent->fencing_token);
    EXPECT_EQ(got->notice_s, sent->notice_s);
    ASSERT_EQ(got->tasks.size(), sent->tasks.size());
    int saved = 0, running = 0;
    for (const auto& task : got->tasks) {
      saved += task.saved ? 1 : 0;
      running += task.state == TaskState::Running ? 1 : 0;
    }
    EXPECT_EQ(saved, 1);
    EXPECT_EQ(running, 8);
  }
  EXPECT_LT(codec::compact_heartbeat(full).dump().size() * 2, full.dump().size());
}

// A controller that does not lead takes no heartbeats from other controllers, also if these assume that it
// leads.
TEST_F(StoreRelayTest, OnlyALeaderIsDeliveredRequests) {
  auto reply = request(heartbeat_of(1));
  ASSERT_TRUE(reply);
  EXPECT_TRUE(reply->is_unanswered());
  EXPECT_TRUE(delivered.empty());
}

// The worker that sent a heartbeat waits 4 s: during an outage of the state store, the request must fail at
// once.
TEST_F(StoreRelayTest, GivesUpWhenTheStateServiceIsAway) {
  far->accept_requests(true);
  state.faults.unavailable = true;
  auto reply = request(heartbeat_of(1));
  ASSERT_TRUE(reply);
  EXPECT_TRUE(reply->is_unanswered());
  EXPECT_TRUE(delivered.empty());
}

}  // namespace
}  // namespace corkmux

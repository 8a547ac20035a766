// Tests the exchange between controllers: every cancel is sent once, all of them again to a new incarnation,
// and a malformed message neither ends a controller nor is accepted as valid.
#include "peer_exchange.h"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <set>

#include "loop_test.h"

namespace corkmux {
namespace {

using codec::Json;

struct PeerExchangeTest : LoopTest {
  struct Controller {
    std::multiset<std::string> cancelled;
    double acknowledged_at = kLongAgo;
    double barrier_at = kLongAgo;
    std::unique_ptr<CancelGossip> cancel_gossip;
    std::unique_ptr<FanInMembership> membership;
    std::unique_ptr<PeerExchange> peers;
  };
  Controller requester;
  Controller responder;
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
  void start(Controller& one, const std::string& label, std::vector<PeerAddress> others, double mem_mb = 56) {
    Settings settings;
    settings.label = label;
    settings.peer_listen = "127.0.0.1:0";
    settings.cancel_s = 30;
    settings.mem_mb = mem_mb;
    settings.peers = std::move(others);
    PeerExchange::Callbacks callbacks;
    callbacks.state_age = [] { return 0.0; };
    callbacks.newer_term = [](std::uint64_t) {};
    callbacks.view = [](const codec::JobView&) {};
    CancelGossip::Callbacks gossip;
    gossip.cancelled = [&one](const std::vector<std::string>& jobs) {
      one.cancelled.insert(jobs.begin(), jobs.end());
    };
    gossip.all_acknowledged = [&one](double requested_at, double) { one.acknowledged_at = requested_at; };
    callbacks.dependency_barrier_at = [&one] { return one.barrier_at; };
    one.cancel_gossip = std::make_unique<CancelGossip>(settings, gossip);
    one.membership = std::make_unique<FanInMembership>(settings, [](const std::vector<std::string>&) {});
    one.peers =
        std::make_unique<PeerExchange>(loop, settings, *one.cancel_gossip, *one.membership, callbacks);
  }
  void pair(double mem_mb = 56) {
    start(responder, "responder", {}, mem_mb);
    start(requester, "requester",
          {{"responder", "a", "127.0.0.1:" + std::to_string(responder.peers->port())}});
    requester.peers->start();
  }
  static std::string id(int n) { return "run-" + std::to_string(100000 + n); }
  http::Result sync(const Json& body) {
    http::Client client(loop, "127.0.0.1:" + std::to_string(responder.peers->port()), 1, 4);
    http::Result result;
    bool done = false;
    client.request("POST", "/peer/sync", codec::pack(body), 5, [&](http::Result reply) {
      result = std::move(reply);
      done = true;
    });
    wait_for([&] { return done; });
    return result;
  }
};

// 2,000 cancels at once, as when many users cancel their jobs during an outage: each is received, sent once,
// and the peer still acknowledges.
TEST_F(PeerExchangeTest, ThousandsOfCancelsAreSentOnceEachAndStayAcknowledged) {
  pair();
  for (int i = 0; i < 2000; ++i) responder.cancel_gossip->accept(id(i));
  ASSERT_TRUE(wait_for([&] { return requester.cancelled.size() >= 2000; }));
  double since = steady_now();
  ASSERT_TRUE(wait_for([&] { return requester.acknowledged_at > since; }));
  EXPECT_EQ(requester.cancelled.size(), 2000u);
  for (int i = 0; i < 2000; ++i) EXPECT_EQ(requester.cancelled.count(id(i)), 1u);
  responder.cancel_gossip->accept(id(2000));
  EXPECT_TRUE(wait_for([&] { return requester.cancelled.count(id(2000)) == 1; }));
}

TEST_F(PeerExchangeTest, APeerThatDroppedACancelForLackOfCapacityDoesNotAcknowledge) {
  pair(0);  // capacity of 500 cancels
  ASSERT_TRUE(wait_for([&] { return requester.acknowledged_at > 0; }));
  for (int i = 0; i < 700; ++i) responder.cancel_gossip->accept(id(i));
  double since = steady_now();
  EXPECT_FALSE(wait_for([&] { return requester.acknowledged_at > since; }, 3));
}

// A former version sends no acknowledgement: it gets at most as many cancels as it accepts, and a flag if
// there are more.
TEST_F(PeerExchangeTest, AFormerVersionGetsAnUnnumberedList) {
  pair();
  for (int i = 0; i < 3; ++i) responder.cancel_gossip->accept(id(i));
  auto few = *codec::unpack(sync({{"label", "old"}, {"term", 0}}).body);
  EXPECT_EQ(few["cancels"].size(), 3u);
  EXPECT_FALSE(few.contains("overflow"));
  for (int i = 3; i < 700; ++i) responder.cancel_gossip->accept(id(i));
  auto many = *codec::unpack(sync({{"label", "old"}, {"term", 0}}).body);
  EXPECT_EQ(many["cancels"].size(), 500u);
  EXPECT_TRUE(many["overflow"]);
}

TEST_F(PeerExchangeTest, AllCancelsOfANewIncarnationAreRequested) {
  pair();
  for (int i = 0; i < 5; ++i) responder.cancel_gossip->accept(id(i));
  ASSERT_TRUE(wait_for([&] { return requester.cancelled.size() == 5; }));
  auto numbered = [&](std::uint64_t told, std::uint64_t by) {
    return (*codec::unpack(sync({{"label", "x"}, {"told", told}, {"told_by", by}}).body))["cancels"].size();
  };
  auto boot = (*codec::unpack(sync({{"label", "x"}}).body))["boot"].get<std::uint64_t>();
  EXPECT_EQ(numbered(3, boot), 2u);
  EXPECT_EQ(numbered(3, boot + 1), 5u);  // numbers of another incarnation are not valid
  EXPECT_EQ(numbered(1000, boot), 0u);
}

TEST_F(PeerExchangeTest, AReceivedDependencyBarrierIsNeverLaterThanTheOriginal) {
  pair();
  responder.barrier_at = steady_now() - 7;
  ASSERT_TRUE(wait_for([&] { return requester.peers->dependency_barrier_at() > 0; }));
  EXPECT_LE(requester.peers->dependency_barrier_at(), responder.barrier_at + 0.001);
  EXPECT_GT(requester.peers->dependency_barrier_at(), responder.barrier_at - 3);
}

TEST_F(PeerExchangeTest, MalformedMessagesAreNeitherTrustedNorFatal) {
  pair();
  const std::vector<Json> malformed = {
      Json::array({1, 2}),
      Json("text"),
      Json(nullptr),
      {{"label", 7}, {"term", "high"}, {"state_age", Json::array()}, {"told", -4}, {"told_by", "x"}},
      {{"label", "responder"},
       {"term", 1.5},
       {"state_age", nullptr},
       {"jobs", {{1, 2, 3, 4, 5}, "x", {"run-1", "done"}}}},
      {{"label", "responder"}, {"jobs", {{"run-1", "queued", "a", 1, ""}, {"run-1", "queued", 1.5, 1, ""}}}}};
  for (const auto& body : malformed) {
    int status = sync(body).status;
    EXPECT_TRUE(status == 200 || status == 400) << body;
  }
  // An answer with malformed cancels: the valid ones are received, and the answer acknowledges nothing.
  http::Server malformed_peer(
      loop, "127.0.0.1:0", 8, [&malformed_peer](http::Server::ConnectionId c, http::Request) {
        malformed_peer.respond(c, {200,
                                   codec::pack(Json{{"boot", 1},
                                                    {"label", "malformed_peer"},
                                                    {"told", "many"},
                                                    {"settled_age", -1},
                                                    {"overflow", "no"},
                                                    {"cancels", {3, "sheet 7", "run-000001", nullptr}}}),
                                   0, false});
      });
  Controller receiver;
  start(receiver, "receiver",
        {{"malformed_peer", "a", "127.0.0.1:" + std::to_string(malformed_peer.port())}});
  receiver.peers->start();
  ASSERT_TRUE(wait_for([&] { return receiver.cancelled.contains("run-000001"); }));
  EXPECT_FALSE(wait_for([&] { return receiver.acknowledged_at > 0; }, 2));
  EXPECT_LT(receiver.peers->dependency_barrier_at(), 0);
  EXPECT_EQ(receiver.cancelled.size(), receiver.cancelled.count("run-000001"));
}

// Guards against renamed or missing fields, which former versions read.
TEST(SyncMessage, ARequestKeepsItsWireFormat) {
  SyncRequest request;
  request.status = {"c1", 7, 0.5, "c2", 4, true, FanInAnnouncement{4, 2, {"c1", "c3"}}, 1.5};
  request.acknowledged = CancelAcknowledgement{9, 12};
  request.views = {{"run-1", "running", 3, 2, "why"}};
  Json expected = {{"label", "c1"},
                   {"boot", 7u},
                   {"state_age", 0.5},
                   {"leader", "c2"},
                   {"term", 4u},
                   {"serves", true},
                   {"serving", {{"term", 4u}, {"number", 2u}, {"labels", {"c1", "c3"}}}},
                   {"settled_age", 1.5},
                   {"told", 12u},
                   {"told_by", 9u},
                   {"jobs", Json::array({Json::array({"run-1", "running", 3, 2, "why"})})}};
  EXPECT_EQ(pack(request), codec::pack(expected));
}

TEST(SyncMessage, AnAnswerKeepsItsWireFormat) {
  SyncAnswer answer;
  answer.status.label = "c1";
  answer.status.incarnation = 7;
  answer.status.state_age = 0.5;
  answer.status.takes_batches = true;
  Json expected = {{"label", "c1"}, {"boot", 7u},     {"state_age", 0.5},         {"leader", ""},
                   {"term", 0u},    {"serves", true}, {"cancels", Json::array()}, {"told", 3u}};
  answer.last_cancel = 3;
  EXPECT_EQ(pack(answer), codec::pack(expected));
  answer.cancels = {"run-000001"};
  answer.cancels_lost = true;
  expected["cancels"] = {"run-000001"};
  expected["overflow"] = true;
  EXPECT_EQ(pack(answer), codec::pack(expected));
}

}  // namespace
}  // namespace corkmux

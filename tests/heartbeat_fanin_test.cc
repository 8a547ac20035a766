// Heartbeat fan-in: sharding of workers, batches and malformed ones, and how a fan-in member handles a leader
// that is late, refuses, changes, or cannot complete a delta.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "command_delivery.h"
#include "fanin_policy.h"
#include "heartbeat_fanin_constants.h"
#include "heartbeat_forwarder.h"
#include "loop_test.h"
#include "peer_exchange.h"
#include "worker_sharding.h"

namespace corkmux::fanin {
namespace {

const auto kAllUsable = [](const std::string&) { return true; };

std::string worker(int n) { return "n-" + std::to_string(100000 + n); }

// ---------------------------------------------------------------- sharding

TEST(WorkerSharding, AMemberThatLeavesMovesOnlyItsShard) {
  std::vector<FanInMember> all = {{"c1", "a"}, {"c2", "a"}, {"c3", "a"}, {"c4", "a"}};
  WorkerSharding before(all), after({all.begin(), all.end() - 1});
  std::map<std::string, int> share;
  for (int n = 0; n < 4000; ++n) {
    auto owner_before = before.owner_of(worker(n), "a", kAllUsable);
    auto owner_after = after.owner_of(worker(n), "a", kAllUsable);
    ASSERT_TRUE(owner_before);
    ++share[*owner_before];
    if (owner_before != "c4") {
      EXPECT_EQ(owner_before, owner_after);
    }
  }
  for (const auto& [label, count] : share) EXPECT_NEAR(count, 1000, 120) << label;
}

TEST(WorkerSharding, AMemberOfTheWorkersZoneIsPreferred) {
  WorkerSharding sharding({{"c1", "a"}, {"c2", "b"}, {"c3", "c"}});
  for (int n = 0; n < 100; ++n) {
    EXPECT_EQ(sharding.owner_of(worker(n), "b", kAllUsable), "c2");
    EXPECT_NE(sharding.owner_of(worker(n), "b", [](const std::string& label) { return label != "c2"; }),
              "c2");
    EXPECT_TRUE(sharding.owner_of(worker(n), "elsewhere", kAllUsable));
  }
  EXPECT_EQ(sharding.owner_of(worker(1), "b", [](const std::string&) { return false; }), std::nullopt);
  EXPECT_EQ(WorkerSharding().owner_of(worker(1), "b", kAllUsable), std::nullopt);
}

TEST(FanInPolicy, AFleetThatGrowsAndShrinksMovesNoWorkers) {
  FanInPolicy policy(1000);
  EXPECT_FALSE(policy.update(200));
  EXPECT_FALSE(policy.update(250)) << "half of the sockets are not too many yet";
  EXPECT_TRUE(policy.update(251));
  EXPECT_TRUE(policy.update(180));
  EXPECT_FALSE(policy.update(175));
  EXPECT_FALSE(policy.update(240));
  policy.set_initial(true);
  EXPECT_TRUE(policy.update(200)) << "a new leader continues from the decision of the former one";
}

// ---------------------------------------------------------------- batches

/// The body of a full heartbeat; none: it is a delta.
std::optional<std::string> full_body(const ForwardedHeartbeat& forwarded) {
  const auto* full = std::get_if<FullHeartbeat>(&forwarded.heartbeat);
  if (!full) return std::nullopt;
  return full->body;
}

TEST(FanInMessages, AreParsedAsTheyWerePacked) {
  HeartbeatBatch batch{"c1",
                       {{7, FullHeartbeat{"bytes"}}, {8, HeartbeatDelta{"n-1", 2, 40, 41}}},
                       {{9, WorkerReply::from_wire(409, true, "r")}}};
  auto parsed = parse_heartbeats(pack(batch));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->malformed, 0);
  EXPECT_EQ(parsed->message.from, "c1");
  EXPECT_EQ(full_body(parsed->message.heartbeats[0]), "bytes");
  const auto& delta = std::get<HeartbeatDelta>(parsed->message.heartbeats[1].heartbeat);
  EXPECT_EQ(delta.machine, "n-1");
  EXPECT_EQ(delta.worker_epoch, 2u);
  EXPECT_EQ(delta.base_seq, 40u);
  EXPECT_EQ(delta.seq, 41u);
  EXPECT_EQ(parsed->message.outcomes[0].reply.wire_status(), 409);
  EXPECT_EQ(parsed->message.outcomes[0].reply.kind(), WorkerReply::Kind::Refused);
  auto command_batch = parse_commands(pack(ForwardedCommandBatch{"c2", {{1, "n-1", "127.0.0.1:9", "o"}}}));
  ASSERT_TRUE(command_batch);
  EXPECT_EQ(command_batch->message.commands[0].address, "127.0.0.1:9");
}

// During an upgrade, controllers of both versions parse one another's messages.
TEST(FanInMessages, HaveAStableWireFormat) {
  auto wire = [](const std::string& message) { return codec::unpack(message)->dump(); };
  HeartbeatBatch batch{
      "c1",
      {{7, FullHeartbeat{"bytes"}}, {8, HeartbeatDelta{"n-1", 2, 40, 41}}},
      {{9, WorkerReply::from_wire(500, true, "r")}, {10, WorkerReply::from_wire(0, false, "")}}};
  EXPECT_EQ(wire(pack(batch)), R"({"from":"c1","outcomes":[[9,500,true,"r"],[10,0,false,""]],)"
                               R"("reports":[[7,"bytes"],[8,"n-1",2,40,41]]})");
  std::vector<HeartbeatAnswer> answers = {{1, LeaderReply::answered("commands")},
                                          {2, LeaderReply::malformed()},
                                          {3, LeaderReply::unavailable()},
                                          {4, FullHeartbeatRequired()}};
  EXPECT_EQ(wire(pack(answers)), R"([[1,200,"commands"],[2,400,""],[3,503,""],[4,428,""]])");
  EXPECT_EQ(wire(pack(ForwardedCommandBatch{"c2", {{1, "n-1", "127.0.0.1:9", "o"}}})),
            R"({"from":"c2","orders":[[1,"n-1","127.0.0.1:9","o"]]})");
}

TEST(FanInMessages, AnAnswerHasTheStatusOfTheLeader) {
  auto answers = parse_answers(
      codec::pack({{1, 200, "commands"}, {2, 428, ""}, {3, 503, ""}, {4, 0, ""}, {5, 600, ""}}));
  ASSERT_TRUE(answers);
  ASSERT_EQ(answers->size(), 4u) << "600 is not an HTTP status";
  EXPECT_TRUE(std::get<LeaderReply>((*answers)[0].content).is_answered());
  EXPECT_EQ(std::get<LeaderReply>((*answers)[0].content).body(), "commands");
  EXPECT_TRUE(std::holds_alternative<FullHeartbeatRequired>((*answers)[1].content));
  EXPECT_EQ(std::get<LeaderReply>((*answers)[2].content).wire_status(), 503);
  EXPECT_TRUE(std::get<LeaderReply>((*answers)[3].content).is_unanswered());
}

TEST(WorkerReply, OnlyARequestThatWasNotSentIsUnsent) {
  using Kind = WorkerReply::Kind;
  EXPECT_EQ(WorkerReply::from_wire(200, true, "").kind(), Kind::Executed);
  EXPECT_EQ(WorkerReply::from_wire(409, true, "").kind(), Kind::Refused);
  EXPECT_EQ(WorkerReply::from_wire(0, true, "").kind(), Kind::Unanswered);
  EXPECT_EQ(WorkerReply::from_wire(503, true, "").kind(), Kind::Unanswered);
  EXPECT_EQ(WorkerReply::from_wire(0, false, "").kind(), Kind::Unsent);
}

TEST(FanInMessages, OnlyMalformedEntriesAreSkipped) {
  codec::Json message = {{"from", "c1"},
                         {"reports",
                          {{1, "good"},
                           {-1, "negative"},
                           {2},
                           {3, ""},
                           {4, std::string(500, 'x'), 1, 2, 3},
                           {5, "n-1", 1, "two", 3},
                           "text",
                           {6, "n-1", 1, 2, 3}}},
                         {"outcomes", {{1, 9999, true, ""}, {2, 200, "yes", ""}, {3, 200, true, "body"}}}};
  auto parsed = parse_heartbeats(codec::pack(message));
  ASSERT_TRUE(parsed);
  ASSERT_EQ(parsed->message.heartbeats.size(), 2u);
  EXPECT_EQ(parsed->message.heartbeats[1].id, 6u);
  ASSERT_EQ(parsed->message.outcomes.size(), 1u);
  EXPECT_EQ(parsed->malformed, 8);
}

TEST(FanInMessages, OtherMessagesAreRejected) {
  for (const codec::Json& other : {codec::Json(1), codec::Json::array(), codec::Json{{"from", 1}},
                                   codec::Json{{"reports", codec::Json::array()}}}) {
    EXPECT_FALSE(parse_heartbeats(codec::pack(other)));
    EXPECT_FALSE(parse_commands(codec::pack(other)));
  }
  EXPECT_FALSE(parse_heartbeats("\xc1"));
  EXPECT_FALSE(parse_answers(codec::pack({{"from", "c1"}})));
}

// ---------------------------------------------------------------- HeartbeatForwarder and CommandDelivery

class HeartbeatForwarderTest : public LoopTest {
 protected:
  struct Post {
    std::string to;
    HeartbeatBatch batch;
    std::function<void(http::Result)> done;
  };
  HeartbeatForwarderTest()
      : forwarder_(loop, "c1", [this](const std::string& to, std::string body, auto done) {
          posts_.push_back({to, parse_heartbeats(body)->message, std::move(done)});
        }) {
    forwarder_.leader_changed("c9");
  }
  static Heartbeat heartbeat(const std::string& machine, std::uint64_t number) {
    Heartbeat heartbeat;
    heartbeat.machine = machine;
    heartbeat.worker_epoch = 1;
    heartbeat.seq = number;
    heartbeat.fencing_token = 5;
    return heartbeat;
  }
  void forward(const std::string& machine, std::uint64_t number) {
    forwarder_.forward(
        heartbeat(machine, number), machine + " full",
        [this, machine](const LeaderReply& reply) { statuses_[machine].push_back(reply.wire_status()); });
  }
  /// Answers a batch: each of its heartbeats with that status on the wire.
  void answer(std::size_t post, int status) {
    auto answers = codec::Json::array();
    // In reverse order: answers are matched by id, not by position.
    const auto& heartbeats = posts_[post].batch.heartbeats;
    std::for_each(heartbeats.rbegin(), heartbeats.rend(), [&](const ForwardedHeartbeat& forwarded) {
      answers.push_back({forwarded.id, status, "answer"});
    });
    posts_[post].done({200, codec::pack(answers), true});
  }
  std::deque<Post> posts_;
  std::map<std::string, std::vector<int>> statuses_;
  HeartbeatForwarder forwarder_;
};

TEST_F(HeartbeatForwarderTest, ManyHeartbeatsAreSentInOneMessage) {
  for (int n = 0; n < 50; ++n) forward(worker(n), 1);
  ASSERT_TRUE(wait_for([&] { return !posts_.empty(); }));
  EXPECT_EQ(posts_[0].to, "c9");
  EXPECT_EQ(posts_[0].batch.heartbeats.size(), 50u);
  EXPECT_TRUE(statuses_.empty()) << "no worker is answered before the leader answers";
  answer(0, 200);
  EXPECT_EQ(statuses_.size(), 50u);
}

TEST_F(HeartbeatForwarderTest, AnUnchangedHeartbeatIsSentAsADelta) {
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  answer(0, 200);
  forward("n-1", 2);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 2; }));
  const auto& forwarded = posts_[1].batch.heartbeats[0];
  ASSERT_FALSE(full_body(forwarded));
  const auto& delta = std::get<HeartbeatDelta>(forwarded.heartbeat);
  EXPECT_EQ(delta.machine, "n-1");
  EXPECT_EQ(delta.base_seq, 1u);
  EXPECT_EQ(delta.seq, 2u);
}

TEST_F(HeartbeatForwarderTest, ADeltaThatTheLeaderCannotCompleteIsSentInFull) {
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  answer(0, 200);
  forward("n-1", 2);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 2; }));
  answer(1, 428);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 3; }));
  EXPECT_EQ(full_body(posts_[2].batch.heartbeats[0]), "n-1 full");
  EXPECT_EQ(statuses_["n-1"].size(), 1u) << "the second is not answered yet";
  answer(2, 200);
  EXPECT_EQ(statuses_["n-1"], (std::vector<int>{200, 200}));
}

TEST_F(HeartbeatForwarderTest, ANewLeaderGetsFullHeartbeats) {
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  answer(0, 200);
  forwarder_.leader_changed("");
  forward("n-1", 2);
  EXPECT_FALSE(wait_for([&] { return posts_.size() > 1; }, 0.3)) << "there is no leader";
  forwarder_.leader_changed("c8");
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 2; }));
  EXPECT_EQ(posts_[1].to, "c8");
  EXPECT_EQ(full_body(posts_[1].batch.heartbeats[0]), "n-1 full");
}

TEST_F(HeartbeatForwarderTest, ARefusedBatchIsRetriedWhileTheWorkerWaits) {
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  posts_[0].done({503, "", true});
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 2; }));
  posts_[1].done({0, "", false, "connection refused"});
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 3; }));
  EXPECT_TRUE(statuses_.empty());
  answer(2, 200);
  EXPECT_EQ(statuses_["n-1"], std::vector<int>{200});
}

TEST_F(HeartbeatForwarderTest, WithoutALeaderInTimeTheHeartbeatIsRefused) {
  forwarder_.leader_changed("");
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return !statuses_.empty(); }));
  EXPECT_EQ(statuses_["n-1"], std::vector<int>{503});
}

/// The leader may have processed the batch: the member neither answers for it nor sends the heartbeats again.
TEST_F(HeartbeatForwarderTest, AnUnansweredBatchIsNeverAnsweredForTheLeader) {
  forward("n-1", 1);
  forward("n-2", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  posts_[0].done({0, "", true, "no answer in time"});
  EXPECT_EQ(statuses_["n-1"], std::vector<int>{0});
  EXPECT_EQ(statuses_["n-2"], std::vector<int>{0});
  EXPECT_FALSE(wait_for([&] { return posts_.size() > 1; }, 0.4));
}

TEST_F(HeartbeatForwarderTest, AnAnswerOfAFormerLeaderRenewsNoLease) {
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  forwarder_.leader_changed("c8");
  answer(0, 200);
  EXPECT_EQ(statuses_["n-1"], std::vector<int>{0});
}

// Guards against an outcome that is never sent, and with it all outcomes behind it: a worker's heartbeat may
// have 64 KiB, a batch has 48 KiB.
TEST_F(HeartbeatForwarderTest, AnOutcomeTooLongForABatchIsSentAsUnknown) {
  forwarder_.add_outcome({77, WorkerReply::from_wire(200, true, std::string(60 * 1024, 'x'))});
  forwarder_.add_outcome({78, WorkerReply::from_wire(200, true, "body")});
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  ASSERT_EQ(posts_[0].batch.outcomes.size(), 2u);
  EXPECT_EQ(posts_[0].batch.outcomes[0].reply.kind(), WorkerReply::Kind::Unanswered);
  EXPECT_EQ(posts_[0].batch.outcomes[1].reply.kind(), WorkerReply::Kind::Executed);
}

TEST_F(HeartbeatForwarderTest, OutcomesAreSentWithHeartbeats) {
  forwarder_.add_outcome({77, WorkerReply::from_wire(200, true, "body")});
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  ASSERT_EQ(posts_[0].batch.outcomes.size(), 1u);
  EXPECT_EQ(posts_[0].batch.outcomes[0].id, 77u);
  EXPECT_EQ(posts_[0].batch.heartbeats.size(), 1u);
}

TEST_F(HeartbeatForwarderTest, ABatchIsBounded) {
  for (int n = 0; n < 30; ++n)
    forwarder_.forward(heartbeat(worker(n), 1), std::string(10000, 'x'), [](const LeaderReply&) {});
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 2; }));
  for (const auto& post : posts_) {
    EXPECT_LE(pack(post.batch).size(), 64u * 1024);
    EXPECT_LT(post.batch.heartbeats.size(), 6u);
  }
  std::vector<int> refused;
  for (int n = 0; n < 500; ++n)
    forwarder_.forward(heartbeat(worker(n), 2), std::string(10000, 'x'),
                       [&](const LeaderReply& reply) { refused.push_back(reply.wire_status()); });
  EXPECT_FALSE(refused.empty());
  EXPECT_EQ(std::set<int>(refused.begin(), refused.end()), std::set<int>{503});
}

class CommandDeliveryTest : public HeartbeatForwarderTest {
 protected:
  CommandDeliveryTest()
      : delivery_(loop, 100, [this](CommandOutcome outcome) { outcomes_.push_back(std::move(outcome)); }) {}
  std::vector<CommandOutcome> outcomes_;
  CommandDelivery delivery_;
};

TEST_F(CommandDeliveryTest, EachWorkersReplyIsReturnedUnderItsId) {
  http::Server* worker_side = nullptr;
  http::Server server(loop, "127.0.0.1:0", 4, [&](http::Server::ConnectionId id, http::Request request) {
    worker_side->respond(id, {request.body == "late" ? 409 : 200, "said " + request.body, 0, false});
  });
  worker_side = &server;
  auto address = "127.0.0.1:" + std::to_string(server.port());
  EXPECT_TRUE(delivery_.deliver(
      {"c9", {{1, "n-1", address, "a"}, {2, "n-2", address, "late"}, {3, "n-3", "127.0.0.1:1", "c"}}}));
  ASSERT_TRUE(wait_for([&] { return outcomes_.size() == 3; }));
  std::map<std::uint64_t, WorkerReply> by_id;
  for (const auto& outcome : outcomes_) by_id.emplace(outcome.id, outcome.reply);
  EXPECT_EQ(by_id.at(1).wire_status(), 200);
  EXPECT_EQ(by_id.at(1).body(), "said a");
  EXPECT_EQ(by_id.at(2).wire_status(), 409);
  EXPECT_EQ(by_id.at(3).wire_status(), 0);
  EXPECT_EQ(by_id.at(3).kind(), WorkerReply::Kind::Unsent)
      << "a refused connection: the worker cannot have received the commands";
}

TEST_F(CommandDeliveryTest, ATooLargeBatchIsRefusedAsAWhole) {
  ForwardedCommandBatch batch{"c9", {}};
  for (std::uint64_t n = 0; n <= constants::kMaxDeliveriesInFlight; ++n)
    batch.commands.push_back({n, worker(static_cast<int>(n)), "127.0.0.1:1", ""});
  EXPECT_FALSE(delivery_.deliver(batch));
  EXPECT_FALSE(wait_for([&] { return !outcomes_.empty(); }, 0.2));
}

// ---------------------------------------------------------------- requests from peers

class PeerRequestsTest : public HeartbeatForwarderTest {
 protected:
  PeerRequestsTest() {
    Settings settings;
    settings.label = "c1";
    settings.peer_listen = "127.0.0.1:0";
    settings.cancel_s = 30;
    settings.peers = {{"c2", "a", "127.0.0.1:1"}};
    PeerExchange::Callbacks callbacks;
    callbacks.state_age = [] { return 0.0; };
    callbacks.newer_term = [](std::uint64_t) {};
    callbacks.dependency_barrier_at = [] { return kLongAgo; };
    callbacks.heartbeats = [this](HeartbeatBatch batch, PeerExchange::BatchReplyCallback reply) {
      taken_ += batch.heartbeats.size();
      reply(std::vector<HeartbeatAnswer>());
    };
    callbacks.commands = [this](const ForwardedCommandBatch&) { return ++command_batches_ == 1; };
    cancel_gossip_ = std::make_unique<CancelGossip>(settings, CancelGossip::Callbacks{});
    membership_ = std::make_unique<FanInMembership>(
        settings, [this](const std::vector<std::string>& members) { members_ = members; });
    peers_ = std::make_unique<PeerExchange>(loop, settings, *cancel_gossip_, *membership_, callbacks);
    peers_->leader_changed("c1", 3);
  }
  int post(const std::string& path, const std::string& body) {
    http::Client client(loop, "127.0.0.1:" + std::to_string(peers_->port()), 1, 4);
    std::optional<int> status;
    client.request("POST", path, body, 5, [&](http::Result result) { status = result.status; });
    wait_for([&] { return status.has_value(); });
    return *status;
  }
  std::size_t taken_ = 0;
  int command_batches_ = 0;
  std::vector<std::string> members_;
  std::unique_ptr<CancelGossip> cancel_gossip_;
  std::unique_ptr<FanInMembership> membership_;
  std::unique_ptr<PeerExchange> peers_;
};

TEST_F(PeerRequestsTest, AcceptsBatchesOfPeersOnly) {
  EXPECT_EQ(post("/peer/reports", pack(HeartbeatBatch{"c2", {{1, FullHeartbeat{"x"}}}, {}})), 200);
  EXPECT_EQ(post("/peer/reports", pack(HeartbeatBatch{"stranger", {{1, FullHeartbeat{"x"}}}, {}})), 400);
  EXPECT_EQ(post("/peer/reports", "junk"), 400);
  EXPECT_EQ(post("/peer/reports", std::string(70000, 'x')), 413);
  EXPECT_EQ(post("/peer/orders", pack(ForwardedCommandBatch{"stranger", {}})), 400);
  EXPECT_EQ(taken_, 1u);
  EXPECT_EQ(command_batches_, 0);
}

TEST_F(PeerRequestsTest, AControllerThatDoesNotLeadTakesNoHeartbeats) {
  peers_->leader_changed("c2", 4);
  EXPECT_EQ(post("/peer/reports", pack(HeartbeatBatch{"c2", {}, {}})), 503);
}

TEST_F(PeerRequestsTest, CommandsBeyondCapacityAreRefused) {
  EXPECT_EQ(post("/peer/orders", pack(ForwardedCommandBatch{"c2", {}})), 200);
  EXPECT_EQ(post("/peer/orders", pack(ForwardedCommandBatch{"c2", {}})), 503);
}

TEST_F(PeerRequestsTest, TheNewestAnnouncementOfFanInMembersCounts) {
  auto announce = [&](std::uint64_t term, std::uint64_t number, codec::Json labels) {
    post("/peer/sync", codec::pack({{"label", "c2"},
                                    {"serving", {{"term", term}, {"number", number}, {"labels", labels}}}}));
  };
  announce(4, 2, {"c1", "c2", "stranger"});
  EXPECT_EQ(members_, (std::vector<std::string>{"c1", "c2"}))
      << "a label that the settings do not name is not a member";
  announce(4, 1, codec::Json::array());
  EXPECT_EQ(members_.size(), 2u) << "older than the current announcement";
  announce(3, 9, codec::Json::array());
  EXPECT_EQ(members_.size(), 2u) << "of a former leader";
  announce(4, 3, "junk");
  EXPECT_EQ(members_.size(), 2u);
  announce(5, 1, codec::Json::array());
  EXPECT_TRUE(members_.empty());
}

}  // namespace
}  // namespace corkmux::fanin

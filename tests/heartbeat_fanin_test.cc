// Workers served by all controllers: who serves whom, batches and hostile ones, and what a serving controller
// does when the leader is late, refuses, changes or forgets.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "command_delivery.h"
#include "fanin_policy.h"
#include "heartbeat_fanin_constants.h"
#include "heartbeat_forwarder.h"
#include "peer_exchange.h"
#include "worker_sharding.h"

namespace corkmux::fanin {
namespace {

const auto kAnyone = [](const std::string&) { return true; };

std::string worker(int n) { return "n-" + std::to_string(100000 + n); }

// ---------------------------------------------------------------- who serves whom

TEST(WorkerSharding, OneThatGoesMovesOnlyItsShare) {
  std::vector<FanInMember> all = {{"c1", "a"}, {"c2", "a"}, {"c3", "a"}, {"c4", "a"}};
  WorkerSharding before(all), after({all.begin(), all.end() - 1});
  std::map<std::string, int> share;
  for (int n = 0; n < 4000; ++n) {
    auto was = before.owner_of(worker(n), "a", kAnyone);
    auto is = after.owner_of(worker(n), "a", kAnyone);
    ASSERT_TRUE(was);
    ++share[*was];
    if (was != "c4") {
      EXPECT_EQ(was, is);
    }
  }
  for (const auto& [label, count] : share) EXPECT_NEAR(count, 1000, 120) << label;
}

TEST(WorkerSharding, AControllerOfTheWorkersZoneGoesFirst) {
  WorkerSharding serving({{"c1", "a"}, {"c2", "b"}, {"c3", "c"}});
  for (int n = 0; n < 100; ++n) {
    EXPECT_EQ(serving.owner_of(worker(n), "b", kAnyone), "c2");
    EXPECT_NE(serving.owner_of(worker(n), "b", [](const std::string& l) { return l != "c2"; }), "c2");
    EXPECT_TRUE(serving.owner_of(worker(n), "elsewhere", kAnyone));
  }
  EXPECT_EQ(serving.owner_of(worker(1), "b", [](const std::string&) { return false; }), std::nullopt);
  EXPECT_EQ(WorkerSharding().owner_of(worker(1), "b", kAnyone), std::nullopt);
}

TEST(FanInPolicy, AFleetThatBreathesMovesNobody) {
  FanInPolicy decision(1000);
  EXPECT_FALSE(decision.update(200));
  EXPECT_FALSE(decision.update(250)) << "half of the sockets are not too many yet";
  EXPECT_TRUE(decision.update(251));
  EXPECT_TRUE(decision.update(180));
  EXPECT_FALSE(decision.update(175));
  EXPECT_FALSE(decision.update(240));
  decision.start_from(true);
  EXPECT_TRUE(decision.update(200)) << "a new leader goes on as the one before";
}

// ---------------------------------------------------------------- batches

TEST(Batches, SayWhatWentIn) {
  HeartbeatBatch batch{"c1", {{7, "bytes", "", 0, 0, 0}, {8, "", "n-1", 2, 40, 41}}, {{9, 409, true, "r"}}};
  auto parsed = parse_heartbeats(pack(batch));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->malformed, 0);
  EXPECT_EQ(parsed->message.from, "c1");
  EXPECT_EQ(parsed->message.heartbeats[0].body, "bytes");
  EXPECT_EQ(parsed->message.heartbeats[1].machine, "n-1");
  EXPECT_EQ(parsed->message.heartbeats[1].same_as, 40u);
  EXPECT_EQ(parsed->message.heartbeats[1].number, 41u);
  EXPECT_EQ(parsed->message.outcomes[0].status, 409);
  auto command_batch = parse_commands(pack(ForwardedCommandBatch{"c2", {{1, "n-1", "127.0.0.1:9", "o"}}}));
  ASSERT_TRUE(command_batch);
  EXPECT_EQ(command_batch->message.commands[0].address, "127.0.0.1:9");
}

TEST(Batches, AMalformedEntryCostsOnlyItself) {
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

TEST(Batches, WhatIsNoBatchIsNone) {
  for (const codec::Json& junk : {codec::Json(1), codec::Json::array(), codec::Json{{"from", 1}},
                                  codec::Json{{"reports", codec::Json::array()}}}) {
    EXPECT_FALSE(parse_heartbeats(codec::pack(junk)));
    EXPECT_FALSE(parse_commands(codec::pack(junk)));
  }
  EXPECT_FALSE(parse_heartbeats("\xc1"));
  EXPECT_FALSE(parse_answers(codec::pack({{"from", "c1"}})));
}

// ---------------------------------------------------------------- the serving side

class Forwarding : public ::testing::Test {
 protected:
  struct Post {
    std::string to;
    HeartbeatBatch batch;
    std::function<void(http::Result)> done;
  };
  Forwarding()
      : forwarder_(loop_, "c1", [this](const std::string& to, std::string body, auto done) {
          posts_.push_back({to, parse_heartbeats(body)->message, std::move(done)});
        }) {
    forwarder_.leader_changed("c9");
  }
  static Heartbeat heartbeat(const std::string& machine, std::uint64_t number) {
    Heartbeat r;
    r.machine = machine, r.worker_epoch = 1, r.seq = number, r.fencing_token = 5;
    return r;
  }
  void forward(const std::string& machine, std::uint64_t number) {
    forwarder_.forward(heartbeat(machine, number), machine + " whole",
                       [this, machine](int status, std::string) { statuses_[machine].push_back(status); });
  }
  bool wait_for(std::function<bool()> condition, double at_most = 20) {
    double until = steady_now() + at_most;
    Timer tick(loop_);
    tick.every(0.005, [] {});
    bool met = false;
    while (!(met = condition()) && steady_now() < until) loop_.run_once();
    return met;
  }
  /// Answers that post: each of its reports with that status.
  void answer(std::size_t post, int status) {
    std::vector<HeartbeatAnswer> answers;
    // In another order than they came: an answer belongs to whom it names.
    for (auto r = posts_[post].batch.heartbeats.rbegin(); r != posts_[post].batch.heartbeats.rend(); ++r)
      answers.push_back({r->id, status, "answer"});
    posts_[post].done({200, pack(answers), true});
  }
  Loop loop_;
  std::deque<Post> posts_;
  std::map<std::string, std::vector<int>> statuses_;
  HeartbeatForwarder forwarder_;
};

TEST_F(Forwarding, ManyReportsGoInOneMessage) {
  for (int n = 0; n < 50; ++n) forward(worker(n), 1);
  ASSERT_TRUE(wait_for([&] { return !posts_.empty(); }));
  EXPECT_EQ(posts_[0].to, "c9");
  EXPECT_EQ(posts_[0].batch.heartbeats.size(), 50u);
  EXPECT_TRUE(statuses_.empty()) << "nobody is answered before the leader";
  answer(0, 200);
  EXPECT_EQ(statuses_.size(), 50u);
}

TEST_F(Forwarding, WhatHasNotChangedGoesAsItsNumber) {
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  answer(0, 200);
  forward("n-1", 2);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 2; }));
  const auto& entry = posts_[1].batch.heartbeats[0];
  EXPECT_TRUE(entry.body.empty());
  EXPECT_EQ(entry.machine, "n-1");
  EXPECT_EQ(entry.same_as, 1u);
  EXPECT_EQ(entry.number, 2u);
}

TEST_F(Forwarding, WhatTheLeaderCannotCompleteIsSentWhole) {
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  answer(0, 200);
  forward("n-1", 2);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 2; }));
  answer(1, kFullHeartbeatRequired);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 3; }));
  EXPECT_EQ(posts_[2].batch.heartbeats[0].body, "n-1 whole");
  EXPECT_EQ(statuses_["n-1"].size(), 1u) << "the second is not answered yet";
  answer(2, 200);
  EXPECT_EQ(statuses_["n-1"], (std::vector<int>{200, 200}));
}

TEST_F(Forwarding, ANewLeaderHearsEverythingWhole) {
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  answer(0, 200);
  forwarder_.leader_changed("");
  forward("n-1", 2);
  EXPECT_FALSE(wait_for([&] { return posts_.size() > 1; }, 0.3)) << "nobody leads";
  forwarder_.leader_changed("c8");
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 2; }));
  EXPECT_EQ(posts_[1].to, "c8");
  EXPECT_FALSE(posts_[1].batch.heartbeats[0].body.empty());
}

TEST_F(Forwarding, ALeaderThatRefusesIsTriedAgainWhileTheWorkerWaits) {
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

TEST_F(Forwarding, WithoutALeaderInTimeTheWorkerIsSentOn) {
  forwarder_.leader_changed("");
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return !statuses_.empty(); }));
  EXPECT_EQ(statuses_["n-1"], std::vector<int>{503});
}

/// The leader may have taken it: neither its answer is made up nor the report sent once more.
TEST_F(Forwarding, AnUnansweredBatchIsNeverAnsweredForTheLeader) {
  forward("n-1", 1);
  forward("n-2", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  posts_[0].done({0, "", true, "no answer in time"});
  EXPECT_EQ(statuses_["n-1"], std::vector<int>{0});
  EXPECT_EQ(statuses_["n-2"], std::vector<int>{0});
  EXPECT_FALSE(wait_for([&] { return posts_.size() > 1; }, 0.4));
}

TEST_F(Forwarding, AnAnswerOfAFormerLeaderRenewsNothing) {
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  forwarder_.leader_changed("c8");
  answer(0, 200);
  EXPECT_EQ(statuses_["n-1"], std::vector<int>{0});
}

TEST_F(Forwarding, OutcomesGoWithTheReports) {
  forwarder_.add_outcome({77, 200, true, "body"});
  forward("n-1", 1);
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 1; }));
  ASSERT_EQ(posts_[0].batch.outcomes.size(), 1u);
  EXPECT_EQ(posts_[0].batch.outcomes[0].id, 77u);
  EXPECT_EQ(posts_[0].batch.heartbeats.size(), 1u);
}

TEST_F(Forwarding, ABatchIsBounded) {
  for (int n = 0; n < 30; ++n)
    forwarder_.forward(heartbeat(worker(n), 1), std::string(10000, 'x'), [](int, std::string) {});
  ASSERT_TRUE(wait_for([&] { return posts_.size() == 2; }));
  for (const auto& p : posts_) {
    EXPECT_LE(pack(p.batch).size(), 64u * 1024);
    EXPECT_LT(p.batch.heartbeats.size(), 6u);
  }
  std::vector<int> refused;
  for (int n = 0; n < 500; ++n)
    forwarder_.forward(heartbeat(worker(n), 2), std::string(10000, 'x'),
                       [&](int status, std::string) { refused.push_back(status); });
  EXPECT_FALSE(refused.empty());
  EXPECT_EQ(std::set<int>(refused.begin(), refused.end()), std::set<int>{503});
}

class Delivering : public Forwarding {
 protected:
  Delivering() : delivery_(loop_, 100, [this](CommandOutcome o) { outcomes_.push_back(std::move(o)); }) {}
  std::vector<CommandOutcome> outcomes_;
  CommandDelivery delivery_;
};

TEST_F(Delivering, EachWorkersAnswerComesBackUnderItsName) {
  http::Server* worker_side = nullptr;
  http::Server server(loop_, "127.0.0.1:0", 4, [&](http::Server::ConnectionId id, http::Request r) {
    worker_side->respond(id, {r.body == "late" ? 409 : 200, "said " + r.body, 0, false});
  });
  worker_side = &server;
  auto address = "127.0.0.1:" + std::to_string(server.port());
  EXPECT_TRUE(delivery_.deliver(
      {"c9", {{1, "n-1", address, "a"}, {2, "n-2", address, "late"}, {3, "n-3", "127.0.0.1:1", "c"}}}));
  ASSERT_TRUE(wait_for([&] { return outcomes_.size() == 3; }));
  std::map<std::uint64_t, CommandOutcome> by_id;
  for (const auto& o : outcomes_) by_id[o.id] = o;
  EXPECT_EQ(by_id[1].status, 200);
  EXPECT_EQ(by_id[1].body, "said a");
  EXPECT_EQ(by_id[2].status, 409);
  EXPECT_EQ(by_id[3].status, 0);
  EXPECT_FALSE(by_id[3].sent) << "a refused connection: the worker surely has not got it";
}

TEST_F(Delivering, TooMuchAtOnceIsRefusedAsAWhole) {
  ForwardedCommandBatch batch{"c9", {}};
  for (std::uint64_t n = 0; n <= constants::kDeliveriesInFlight; ++n)
    batch.commands.push_back({n, worker(static_cast<int>(n)), "127.0.0.1:1", ""});
  EXPECT_FALSE(delivery_.deliver(batch));
  EXPECT_FALSE(wait_for([&] { return !outcomes_.empty(); }, 0.2));
}

// ---------------------------------------------------------------- what peers take

class PeerDoor : public Forwarding {
 protected:
  PeerDoor() {
    Settings s;
    s.label = "c1", s.peer_listen = "127.0.0.1:0", s.cancel_s = 30;
    s.peers = {{"c2", "a", "127.0.0.1:1"}};
    PeerExchange::Callbacks hooks;
    hooks.state_age = [] { return 0.0; };
    hooks.newer_term = [](std::uint64_t) {};
    hooks.dependency_barrier_at = [] { return -1e9; };
    hooks.heartbeats = [this](HeartbeatBatch batch, std::function<void(int, std::string)> reply) {
      taken_ += batch.heartbeats.size();
      reply(200, pack(std::vector<HeartbeatAnswer>()));
    };
    hooks.commands = [this](const ForwardedCommandBatch&) { return ++orders_ == 1; };
    hooks.fanin_changed = [this](const std::vector<std::string>& labels) { serving_ = labels; };
    peers_ = std::make_unique<PeerExchange>(loop_, s, hooks);
    peers_->leader_changed("c1", 3);
  }
  int post(const std::string& path, const std::string& body) {
    http::Client client(loop_, "127.0.0.1:" + std::to_string(peers_->port()), 1, 4);
    std::optional<int> status;
    client.request("POST", path, body, 5, [&](http::Result r) { status = r.status; });
    wait_for([&] { return status.has_value(); });
    return *status;
  }
  std::size_t taken_ = 0;
  int orders_ = 0;
  std::vector<std::string> serving_;
  std::unique_ptr<PeerExchange> peers_;
};

TEST_F(PeerDoor, TakesBatchesOfPeersOnly) {
  EXPECT_EQ(post("/peer/reports", pack(HeartbeatBatch{"c2", {{1, "x", "", 0, 0, 0}}, {}})), 200);
  EXPECT_EQ(post("/peer/reports", pack(HeartbeatBatch{"stranger", {{1, "x", "", 0, 0, 0}}, {}})), 400);
  EXPECT_EQ(post("/peer/reports", "junk"), 400);
  EXPECT_EQ(post("/peer/reports", std::string(70000, 'x')), 413);
  EXPECT_EQ(post("/peer/orders", pack(ForwardedCommandBatch{"stranger", {}})), 400);
  EXPECT_EQ(taken_, 1u);
  EXPECT_EQ(orders_, 0);
}

TEST_F(PeerDoor, WhoDoesNotLeadTakesNoReports) {
  peers_->leader_changed("c2", 4);
  EXPECT_EQ(post("/peer/reports", pack(HeartbeatBatch{"c2", {}, {}})), 503);
}

TEST_F(PeerDoor, OrdersThatFindNoRoomAreRefused) {
  EXPECT_EQ(post("/peer/orders", pack(ForwardedCommandBatch{"c2", {}})), 200);
  EXPECT_EQ(post("/peer/orders", pack(ForwardedCommandBatch{"c2", {}})), 503);
}

TEST_F(PeerDoor, TheNewestWordOnWhoServesCounts) {
  auto greet = [&](std::uint64_t term, std::uint64_t number, codec::Json labels) {
    post("/peer/sync", codec::pack({{"label", "c2"},
                                    {"serving", {{"term", term}, {"number", number}, {"labels", labels}}}}));
  };
  greet(4, 2, {"c1", "c2", "stranger"});
  EXPECT_EQ(serving_, (std::vector<std::string>{"c1", "c2"})) << "who is no controller of ours serves nobody";
  greet(4, 1, codec::Json::array());
  EXPECT_EQ(serving_.size(), 2u) << "older than what is known";
  greet(3, 9, codec::Json::array());
  EXPECT_EQ(serving_.size(), 2u) << "of a former leader";
  greet(4, 3, "junk");
  EXPECT_EQ(serving_.size(), 2u);
  greet(5, 1, codec::Json::array());
  EXPECT_TRUE(serving_.empty());
}

}  // namespace
}  // namespace corkmux::fanin

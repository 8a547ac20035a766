// What a controller keeps of its peers' words, without a network: cancels and who takes heartbeats.
#include <gtest/gtest.h>

#include "cancel_gossip.h"
#include "event_loop.h"
#include "fanin_membership.h"

namespace corkmux {
namespace {

using Jobs = std::vector<std::string>;

Settings settings_with_peers(const Jobs& peers) {
  Settings settings;
  settings.label = "c1";
  settings.cancel_s = 30;
  settings.mem_mb = 56;
  for (const auto& label : peers) settings.peers.push_back({label, "a", "127.0.0.1:1"});
  return settings;
}

// ---------------------------------------------------------------- CancelGossip

struct CancelGossipTest : ::testing::Test {
  Jobs cancelled;
  double acknowledged_at = 0;
  CancelGossip::Callbacks callbacks{
      [this](const Jobs& jobs) { cancelled.insert(cancelled.end(), jobs.begin(), jobs.end()); },
      [this](double asked_at, double) { acknowledged_at = asked_at; }};
  CancelGossip gossip{settings_with_peers({"c2", "c3"}), callbacks};

  SyncAnswer answer_to(std::optional<CancelAcknowledgement> acknowledged) {
    SyncRequest request;
    request.acknowledged = acknowledged;
    SyncAnswer answer;
    gossip.answer(request, answer);
    return answer;
  }
  static SyncAnswer answer_of(std::uint64_t incarnation, const Jobs& cancels, std::uint64_t last) {
    SyncAnswer answer;
    answer.status.incarnation = incarnation;
    answer.cancels = cancels;
    answer.last_cancel = last;
    return answer;
  }
};

TEST_F(CancelGossipTest, APeerHearsOnlyWhatItHasNotAcknowledgedToThisIncarnation) {
  gossip.accept("run-1");
  gossip.accept("run-2");
  EXPECT_EQ(cancelled, (Jobs{"run-1", "run-2"}));
  auto first = answer_to(CancelAcknowledgement{});
  EXPECT_EQ(first.cancels, (Jobs{"run-1", "run-2"}));
  EXPECT_FALSE(first.cancels_lost);
  gossip.accept("run-3");
  EXPECT_EQ(answer_to(CancelAcknowledgement{gossip.incarnation(), first.last_cancel}).cancels, Jobs{"run-3"});
  auto other_life = answer_to(CancelAcknowledgement{gossip.incarnation() + 1, first.last_cancel});
  EXPECT_EQ(other_life.cancels.size(), 3u) << "it has heard them from a former life, which numbered others";
}

TEST_F(CancelGossipTest, NothingIsAcknowledgedBeforeEveryPeerHasAnswered) {
  double now = steady_now();
  gossip.learn("c2", answer_of(5, {"run-1"}, 1), {now, false});
  EXPECT_EQ(cancelled, Jobs{"run-1"});
  EXPECT_EQ(acknowledged_at, kLongAgo) << "c3 has said nothing";
  EXPECT_EQ(gossip.acknowledged("c2").incarnation, 5u);
  EXPECT_EQ(gossip.acknowledged("c2").number, 1u);
  gossip.learn("c3", answer_of(6, {}, 0), {now + 1, false});
  EXPECT_EQ(acknowledged_at, now) << "the answer that was asked for first counts";
  gossip.learn("c2", answer_of(7, {}, 0), {now + 2, false});
  EXPECT_EQ(gossip.acknowledged("c2").number, 0u) << "a new life of the peer numbers anew";
}

TEST_F(CancelGossipTest, APeerThatLostCancelsOrKnowsANewerTermAcknowledgesNothing) {
  double now = steady_now();
  gossip.learn("c2", answer_of(5, {}, 0), {now, false});
  gossip.learn("c3", answer_of(6, {}, 0), {now, true});
  EXPECT_EQ(acknowledged_at, kLongAgo) << "its term would end ours";
  gossip.learn("c3", answer_of(6, {}, 0), {now, false});
  EXPECT_EQ(acknowledged_at, now);
  auto lost = answer_of(5, {}, 0);
  lost.cancels_lost = true;
  gossip.learn("c2", lost, {now + 1, false});
  EXPECT_EQ(acknowledged_at, kLongAgo);
  gossip.learn("c2", answer_of(5, {}, 0), {now + 2, false});
  EXPECT_EQ(acknowledged_at, kLongAgo) << "a lost name is not told again: it counts for cancel_s";
}

TEST_F(CancelGossipTest, RepeatsItsOwnAndThePeersCancels) {
  gossip.accept("run-1");
  gossip.learn("c2", answer_of(5, {"run-2"}, 1), {steady_now(), false});
  cancelled.clear();
  gossip.repeat_all();
  EXPECT_EQ(cancelled, (Jobs{"run-1", "run-2"}));
}

// ---------------------------------------------------------------- FanInMembership

struct FanInMembershipTest : ::testing::Test {
  std::vector<Jobs> changes;
  FanInMembership membership{settings_with_peers({"c2", "c3"}),
                             [this](const Jobs& members) { changes.push_back(members); }};
};

TEST_F(FanInMembershipTest, AnAnnouncementIsNumberedWithinItsTerm) {
  EXPECT_FALSE(membership.newest());
  membership.announce(4, {"c1", "c2"});
  membership.announce(4, {"c1", "c2"});
  EXPECT_EQ(changes.size(), 1u) << "the second says nothing new";
  EXPECT_EQ(membership.newest()->number, 1u);
  membership.announce(4, {"c1"});
  EXPECT_EQ(membership.newest()->number, 2u);
  membership.announce(5, {"c1"});
  EXPECT_EQ(membership.newest()->term, 5u);
  EXPECT_EQ(membership.newest()->number, 1u);
  EXPECT_EQ(changes.size(), 3u);
}

TEST_F(FanInMembershipTest, OnlyWhatIsNewerCountsAndOnlyControllersThatTheSettingsName) {
  membership.learn({4, 2, {"c1", "c3", "stranger"}});
  EXPECT_EQ(membership.members(), (Jobs{"c1", "c3"}));
  membership.learn({4, 2, {}});
  membership.learn({4, 1, {}});
  membership.learn({3, 9, {}});
  EXPECT_EQ(membership.members(), (Jobs{"c1", "c3"}));
  membership.learn({5, 1, {}});
  EXPECT_TRUE(membership.members().empty());
  EXPECT_EQ(changes.size(), 2u);
}

}  // namespace
}  // namespace corkmux

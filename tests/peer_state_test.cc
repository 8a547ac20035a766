// Tests, without a network, the state that a controller keeps from its peers' messages: cancels and fan-in
// members.
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
      [this](double requested_at, double) { acknowledged_at = requested_at; }};
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

TEST_F(CancelGossipTest, APeerReceivesOnlyCancelsItHasNotAcknowledgedToThisIncarnation) {
  gossip.accept("run-1");
  gossip.accept("run-2");
  EXPECT_EQ(cancelled, (Jobs{"run-1", "run-2"}));
  auto first = answer_to(CancelAcknowledgement{});
  EXPECT_EQ(first.cancels, (Jobs{"run-1", "run-2"}));
  EXPECT_FALSE(first.cancels_lost);
  gossip.accept("run-3");
  EXPECT_EQ(answer_to(CancelAcknowledgement{gossip.incarnation(), first.last_cancel}).cancels, Jobs{"run-3"});
  auto other_incarnation = answer_to(CancelAcknowledgement{gossip.incarnation() + 1, first.last_cancel});
  EXPECT_EQ(other_incarnation.cancels.size(), 3u)
      << "it acknowledged numbers of a former incarnation, which numbered other cancels";
}

TEST_F(CancelGossipTest, NothingIsAcknowledgedBeforeEveryPeerHasAnswered) {
  double now = steady_now();
  gossip.receive_answer("c2", answer_of(5, {"run-1"}, 1), {now, false});
  EXPECT_EQ(cancelled, Jobs{"run-1"});
  EXPECT_EQ(acknowledged_at, kLongAgo) << "c3 has not answered";
  EXPECT_EQ(gossip.acknowledged("c2").incarnation, 5u);
  EXPECT_EQ(gossip.acknowledged("c2").number, 1u);
  gossip.receive_answer("c3", answer_of(6, {}, 0), {now + 1, false});
  EXPECT_EQ(acknowledged_at, now) << "the answer to the earliest request counts";
  gossip.receive_answer("c2", answer_of(7, {}, 0), {now + 2, false});
  EXPECT_EQ(gossip.acknowledged("c2").number, 0u) << "a new incarnation of the peer numbers its cancels anew";
}

TEST_F(CancelGossipTest, APeerThatLostCancelsOrHasANewerTermAcknowledgesNothing) {
  double now = steady_now();
  gossip.receive_answer("c2", answer_of(5, {}, 0), {now, false});
  gossip.receive_answer("c3", answer_of(6, {}, 0), {now, true});
  EXPECT_EQ(acknowledged_at, kLongAgo) << "its newer term would end the term of this controller";
  gossip.receive_answer("c3", answer_of(6, {}, 0), {now, false});
  EXPECT_EQ(acknowledged_at, now);
  auto lost = answer_of(5, {}, 0);
  lost.cancels_lost = true;
  gossip.receive_answer("c2", lost, {now + 1, false});
  EXPECT_EQ(acknowledged_at, kLongAgo);
  gossip.receive_answer("c2", answer_of(5, {}, 0), {now + 2, false});
  EXPECT_EQ(acknowledged_at, kLongAgo) << "a lost cancel is not sent again: it counts for cancel_s";
}

TEST_F(CancelGossipTest, RepeatsItsOwnAndThePeersCancels) {
  gossip.accept("run-1");
  gossip.receive_answer("c2", answer_of(5, {"run-2"}, 1), {steady_now(), false});
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
  EXPECT_EQ(changes.size(), 1u) << "the second announcement equals the first";
  EXPECT_EQ(membership.newest()->number, 1u);
  membership.announce(4, {"c1"});
  EXPECT_EQ(membership.newest()->number, 2u);
  membership.announce(5, {"c1"});
  EXPECT_EQ(membership.newest()->term, 5u);
  EXPECT_EQ(membership.newest()->number, 1u);
  EXPECT_EQ(changes.size(), 3u);
}

TEST_F(FanInMembershipTest, OnlyNewerAnnouncementsAndOnlyControllersInTheSettingsCount) {
  membership.receive_announcement({4, 2, {"c1", "c3", "stranger"}});
  EXPECT_EQ(membership.members(), (Jobs{"c1", "c3"}));
  membership.receive_announcement({4, 2, {}});
  membership.receive_announcement({4, 1, {}});
  membership.receive_announcement({3, 9, {}});
  EXPECT_EQ(membership.members(), (Jobs{"c1", "c3"}));
  membership.receive_announcement({5, 1, {}});
  EXPECT_TRUE(membership.members().empty());
  EXPECT_EQ(changes.size(), 2u);
}

}  // namespace
}  // namespace corkmux

// Tests of the numbers of fencing tokens and attempts where they come to an end: in a long term, after a
// former version that had no bound on them, and when a further term is reserved.
#include <gtest/gtest.h>

#include "election.h"
#include "loop_test.h"
#include "scheduler_fixture.h"
#include "state_service.h"

namespace corkmux {
namespace {

constexpr std::uint64_t kNumbersInTerm = std::uint64_t{1} << 20;  // docs/design.md, rule 2

SchedulerConfig small_config() {
  SchedulerConfig config;
  config.zones = {"a"};
  config.teams = {{"x", 8, 0, 8, 0}};
  return config;
}

struct SmallCluster {
  Scheduler scheduler;
  explicit SmallCluster(std::uint64_t term) : scheduler(small_config(), term, 0, 1) {
    scheduler.set_catalog({plain_type({"a"})});
    scheduler.use_v2_records();
  }
};

std::uint64_t token_of(Scheduler& scheduler, const std::string& machine) {
  return scheduler.machine(machine)->worker.fencing_token;
}

/// Sends the machine an empty batch whose outcome stays unknown, which raises its token.
void raise_token(Scheduler& scheduler, const std::string& machine) {
  scheduler.dispatch_done(machine, scheduler.take_commands(machine, 0),
                          Scheduler::DispatchOutcome::Unanswered, 0);
}

void store_assignment(Scheduler& scheduler, const JobSpec& spec) {
  scheduler.upsert_job(spec, 1, false, 0);
  scheduler.load_record("t/" + spec.id + "/000000",
                        {{"f", 2}, {"c", 1000}, {"n", 1}, {"z", {"a"}}, {"t", {{"n-1", 1, 0, 7, "0"}}}}, 1);
  scheduler.records_loaded();
}

}  // namespace

// Guards against `ran_twice` after a term's tokens start over (review case 1): workers refuse a token that is
// lower than one before, and the next leader's tokens have to be higher than all of this term.
TEST(FencingTokens, NeverGoBackNorReachTheNextTermHoweverLongATermLasts) {
  for (std::uint64_t term : {1, 2}) {
    SmallCluster cluster(term);
    Scheduler& scheduler = cluster.scheduler;
    join(scheduler, first_heartbeat("n-1"));
    std::uint64_t last = token_of(scheduler, "n-1");
    for (std::uint64_t i = 0; i < kNumbersInTerm + 10; ++i) {
      raise_token(scheduler, "n-1");
      const std::uint64_t token = token_of(scheduler, "n-1");
      ASSERT_GE(token, last) << "after " << i << " tokens of term " << term;
      ASSERT_LT(token, (term + 1) * kNumbersInTerm) << "after " << i << " tokens of term " << term;
      last = token;
    }
  }
}

// Guards against using up a term's numbers by waiting: a backlog is tried in every scheduling cycle.
TEST(FencingTokens, AreNotUsedUpByJobsThatWait) {
  SmallCluster cluster(1);
  Scheduler& scheduler = cluster.scheduler;
  join(scheduler, first_heartbeat("n-1"));
  for (int job = 0; job < 20; ++job)
    scheduler.upsert_job(array_spec("run-" + std::to_string(job), "x", 1, 8),
                         static_cast<std::uint64_t>(job + 1), false, 0);
  scheduler.schedule(0);
  scheduler.on_heartbeat(first_heartbeat("n-2"), Scheduler::Channel::Heartbeat, 0);
  const std::uint64_t before = token_of(scheduler, "n-2");
  for (int cycle = 0; cycle < 100; ++cycle) scheduler.schedule(0);
  scheduler.on_heartbeat(first_heartbeat("n-3"), Scheduler::Channel::Heartbeat, 0);
  EXPECT_EQ(token_of(scheduler, "n-3"), before + 1);
}

// Guards against `ran_twice` once the numbers are used up: a launch whose fate is unknown stays assigned, as
// no token is left that could prove it absent.
TEST(FencingTokens, AnUnansweredLaunchStaysAssignedOnceTheNumbersAreUsedUp) {
  SmallCluster cluster(1);
  Scheduler& scheduler = cluster.scheduler;
  Heartbeat heartbeat = first_heartbeat("n-1");
  join(scheduler, heartbeat);
  const std::uint64_t last_token = 2 * kNumbersInTerm - 1;
  while (token_of(scheduler, "n-1") + 1 < last_token) raise_token(scheduler, "n-1");
  heartbeat.seq = 3;
  heartbeat.fencing_token = token_of(scheduler, "n-1");
  scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0);
  scheduler.upsert_job(array_spec("run-1", "x", 1, 8), 1, false, 0);
  scheduler.schedule(0);
  ASSERT_EQ(scheduler.job("run-1")->active.at(0).attempt, last_token);
  scheduler.records_written(scheduler.next_writes(12, true, 0), 2, 0);
  raise_token(scheduler, "n-1");  // the launch is in this batch
  heartbeat.seq = 4;
  scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0);
  EXPECT_EQ(scheduler.job("run-1")->active.size(), 1u);
  EXPECT_FALSE(scheduler.usable(*scheduler.machine("n-1"), 0)) << "nothing new is placed there";
  EXPECT_FALSE(scheduler.has_commands(*scheduler.machine("n-1"))) << "there is no token to bring";
  EXPECT_TRUE(scheduler.needs_new_leader_term());
}

TEST(FencingTokens, ContinueInAReservedTermBeforeTheyAreUsedUp) {
  SmallCluster cluster(1);
  Scheduler& scheduler = cluster.scheduler;
  join(scheduler, first_heartbeat("n-1"));
  EXPECT_FALSE(scheduler.term_to_reserve());
  while (!scheduler.term_to_reserve()) raise_token(scheduler, "n-1");
  EXPECT_EQ(*scheduler.term_to_reserve(), 2u);
  const std::uint64_t last = token_of(scheduler, "n-1");
  EXPECT_LT(last, 2 * kNumbersInTerm - kNumbersInTerm / 10) << "with time left for the state store's answer";
  scheduler.continue_in_term(5);
  raise_token(scheduler, "n-1");
  EXPECT_EQ(token_of(scheduler, "n-1"), 5 * kNumbersInTerm + 1);
  EXPECT_FALSE(scheduler.term_to_reserve());
  EXPECT_FALSE(scheduler.needs_new_leader_term());
  // A worker that still has the term's former token is this leader's.
  Heartbeat heartbeat = first_heartbeat("n-1");
  heartbeat.seq = 9;
  heartbeat.fencing_token = last;
  EXPECT_FALSE(scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0).superseded);
}

// Guards against `ran_twice` after an upgrade: the former version's tokens ran into the next term. A worker
// that has one refuses this leader's commands, and its heartbeat proves nothing about them.
TEST(FencingTokens, OfAFormerLeaderInThisTermProveNoAbsence) {
  for (std::uint64_t number : {5, 500000}) {
    SCOPED_TRACE(number);
    SmallCluster cluster(3);
    Scheduler& scheduler = cluster.scheduler;
    store_assignment(scheduler, array_spec("run-1", "x", 1, 8));
    Heartbeat heartbeat = first_heartbeat("n-1");
    heartbeat.fencing_token = 3 * kNumbersInTerm + number;
    for (heartbeat.seq = 1; heartbeat.seq < 3; ++heartbeat.seq)
      EXPECT_TRUE(scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0).superseded);
    EXPECT_EQ(scheduler.job("run-1")->active.size(), 1u);
    EXPECT_TRUE(scheduler.needs_new_leader_term());
    EXPECT_EQ(scheduler.term_to_reserve().value_or(0), 3u) << "so that the next term is above the token";
  }
}

// A token far above all terms is no reason to skip them: one invalid heartbeat would use up the terms.
TEST(FencingTokens, FarAboveAllTermsReserveNone) {
  SmallCluster cluster(3);
  Scheduler& scheduler = cluster.scheduler;
  Heartbeat heartbeat = first_heartbeat("n-1");
  heartbeat.fencing_token = ~std::uint64_t{0};
  EXPECT_TRUE(scheduler.on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, 0).superseded);
  EXPECT_FALSE(scheduler.term_to_reserve());
  EXPECT_FALSE(scheduler.needs_new_leader_term());
}

struct ReservedTermTest : LoopTest {
  simulation::StateService state{loop};
  StateClient client{loop, state.address()};
  std::uint64_t won_term = 0;
  std::optional<StepDownReason> lost;
  std::vector<std::uint64_t> reserved;

  Election::Callbacks callbacks() {
    return {[] { return true; }, [this](const ElectionResult& result) { won_term = result.term; },
            [this](StepDownReason reason) { lost = reason; }, [](double) {},
            [](const std::string&, std::uint64_t) {}};
  }
  bool reserve(Election& election, std::uint64_t at_least) {
    const std::size_t before = reserved.size();
    election.reserve_term(at_least, [this](std::uint64_t term) { reserved.push_back(term); });
    return wait_for([&] { return reserved.size() > before || lost; });
  }
};

// Guards against two leaders with the same tokens: nobody else leads under a reserved term, and the leader's
// record, on which all its writes are conditioned, stays as it is.
TEST_F(ReservedTermTest, BelongsToOneLeaderAndKeepsItsRecord) {
  Election election(loop, "c-1", client, callbacks());
  election.start();
  ASSERT_TRUE(wait_for([&] { return won_term == 1; }));
  const auto record = state.value("leader");
  ASSERT_TRUE(reserve(election, 0));
  ASSERT_TRUE(reserve(election, 9));
  EXPECT_EQ(reserved, (std::vector<std::uint64_t>{2, 9}));
  EXPECT_EQ(state.value("leader"), record);
  EXPECT_EQ(state.value("term")["n"], 9);
  state.faults.drop_next_transaction_answer = true;
  const auto reserve_once_possible = [&] {
    election.reserve_term(0, [this](std::uint64_t term) { reserved.push_back(term); });
    return reserved.size() == 3;
  };
  ASSERT_TRUE(wait_for(reserve_once_possible));
  EXPECT_EQ(reserved.back(), 11u) << "the one whose answer was lost is not used";
  EXPECT_FALSE(lost);
  election.resign(60);
  won_term = 0;
  Election successor(loop, "c-2", client, callbacks());
  successor.start();
  ASSERT_TRUE(wait_for([&] { return won_term != 0; }));
  EXPECT_EQ(won_term, 12u);
}

TEST_F(ReservedTermTest, IsRefusedToALeaderThatWasReplaced) {
  Election election(loop, "c-1", client, callbacks());
  election.start();
  ASSERT_TRUE(wait_for([&] { return won_term == 1; }));
  state.put("leader", {{"label", "c-2"}, {"term", 2}});
  state.put("term", {{"n", 2}});
  ASSERT_TRUE(reserve(election, 0));
  EXPECT_TRUE(reserved.empty());
  EXPECT_TRUE(lost);
  EXPECT_EQ(state.value("term")["n"], 2);
}

// Guards against tokens that start over because the stored term is the last one or cannot be read.
TEST_F(ReservedTermTest, NoTermIsClaimedAfterTheLastOrAnUnreadableOne) {
  const std::uint64_t last_term = (std::uint64_t{1} << 44) - 2;
  for (const codec::Json& stored : {codec::Json{{"n", last_term}}, codec::Json{{"n", ~std::uint64_t{0}}},
                                    codec::Json{{"n", "7"}}, codec::Json{{"n", -1}}, codec::Json::array()}) {
    SCOPED_TRACE(stored.dump());
    state.put("term", stored);
    Election election(loop, "c-1", client, callbacks());
    election.start();
    EXPECT_FALSE(wait_for([&] { return won_term != 0; }, 0.5));
    EXPECT_EQ(state.value("term"), stored);
  }
}

}  // namespace corkmux

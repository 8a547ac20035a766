// What must have happened before a task is sent to a machine, and by which way it then goes.
#include <gtest/gtest.h>

#include "cluster.h"

namespace corkmux {
namespace {

using Outcome = Cluster::OrdersOutcome;

struct WriteAhead : ::testing::Test {
  ClusterConfig config;
  std::unique_ptr<Cluster> cluster;
  std::map<std::string, Report> last;
  std::uint64_t stamp = 0;
  void SetUp() override {
    config.zones = {"a", "b"};
    config.teams = {{"x", 0, 0, 0, 0}};
    cluster = std::make_unique<Cluster>(config, 2, 0, 11);
    cluster->set_catalog({{"plain", {16, 0, 64}, 50, 1, 1, 1, 10, {"a", "b"}}});
  }
  Cluster::ReportResult report(const std::string& name, std::uint64_t token, double now = 0,
                               const std::vector<TaskReport>& tasks = {}, const std::string& zone = "a") {
    Report& r = last[name];
    r.machine = name, r.address = "x", r.type = "plain", r.zone = zone, r.session = 1;
    ++r.seq, r.token = token, r.tasks = tasks;
    return cluster->on_report(r, Cluster::Channel::Report, now);
  }
  void join(const std::string& name, const std::string& zone = "a") {
    report(name, report(name, 0, 0, {}, zone).token, 0, {}, zone);
  }
  JobSpec spec(int tasks, JobKind kind = JobKind::Array) {
    JobSpec s;
    s.id = "run-" + std::to_string(++stamp), s.team = "x", s.kind = kind, s.tasks = tasks;
    s.need = {16, 0, 1}, s.image = "i";
    cluster->put_job(s, stamp, false, 0);
    return s;
  }
  void store() {
    auto batch = cluster->next_writes(12, true, 0);
    cluster->written(batch, ++stamp, 0);
  }
  std::vector<std::pair<std::string, int>> sent(double now = 0) {
    std::vector<std::pair<std::string, int>> out;
    for (const auto& name : cluster->with_orders()) {
      auto orders = cluster->take_orders(name, now);
      out.insert(out.end(), orders.launches.begin(), orders.launches.end());
      cluster->orders_done(name, orders, Outcome::Executed, now);
    }
    return out;
  }
};

// A machine that obeys a former holder may still be sent work by it: nothing is placed there until its own
// report shows that it obeys us.
TEST_F(WriteAhead, NothingIsPlacedBeforeTheMachineObeysUs) {
  auto s = spec(1);
  auto ours = report("n-1", 0).token;
  report("n-1", ours - 1);  // the newest token it has seen is another's
  cluster->plan(0);
  EXPECT_TRUE(cluster->job(s.id)->active.empty());
  report("n-1", ours);
  cluster->plan(0);
  EXPECT_EQ(cluster->job(s.id)->active.size(), 1u);
}

// After an order without an answer the machine's token rises: until its report shows the new one, the lost
// order may still arrive, and neither is the machine used nor the task started elsewhere.
TEST_F(WriteAhead, NothingIsPlacedBehindAnOrderThatMayStillArrive) {
  join("n-1");
  auto s = spec(1);
  cluster->plan(0);
  store();
  auto orders = cluster->take_orders("n-1", 0);
  ASSERT_EQ(orders.launches.size(), 1u);
  cluster->orders_done("n-1", orders, Outcome::Unanswered, 1);
  join("n-2");
  auto raised = report("n-1", orders.token, 1).token;
  EXPECT_GT(raised, orders.token);
  cluster->plan(1);
  EXPECT_EQ(cluster->job(s.id)->active.at(0).machine, "n-1");
  report("n-1", raised, 2);  // now its absence is proof
  cluster->plan(2);
  EXPECT_NE(cluster->job(s.id)->active.at(0).attempt, orders.attempts[0]);
}

// A record in flight may be older than the newest assignment in it: only what a stored record holds is sent.
TEST_F(WriteAhead, OnlyWhatTheStoredRecordHoldsIsSent) {
  join("n-1");
  auto s = spec(2);
  cluster->plan(0);
  auto first = cluster->next_writes(12, true, 0);
  ASSERT_EQ(first.size(), 1u);
  join("n-2");
  cluster->plan(0);
  ASSERT_EQ(cluster->job(s.id)->active.size(), 2u);
  EXPECT_TRUE(sent().empty());
  cluster->written(first, ++stamp, 0);
  EXPECT_EQ(sent(), (std::vector<std::pair<std::string, int>>{{s.id, 0}}));
  store();
  EXPECT_EQ(sent(), (std::vector<std::pair<std::string, int>>{{s.id, 1}}));
}

// Reports that come as mail mean that orders would run into a cut: launches then go with the answers.
TEST_F(WriteAhead, BeyondReachLaunchesGoWithTheAnswer) {
  join("n-1");
  auto s = spec(1);
  cluster->plan(0);
  cluster->beyond_reach("n-1", 0);
  store();
  EXPECT_TRUE(sent().empty());
  auto answer = report("n-1", last["n-1"].token, 0.5);
  ASSERT_EQ(answer.commands.size(), 1u);
  EXPECT_EQ(answer.commands[0].op, Command::Op::Start);
  EXPECT_EQ(answer.commands[0].job, s.id);
}

TEST_F(WriteAhead, AReplicaThatEndsIsStartedAgainAndTheServiceIsNeverDone) {
  join("n-1");
  auto s = spec(1, JobKind::Service);
  std::set<std::uint64_t> attempts;
  for (int life = 0; life < 3; ++life) {
    cluster->plan(0);
    store();
    ASSERT_EQ(sent().size(), 1u) << life;
    auto attempt = cluster->job(s.id)->active.at(0).attempt;
    attempts.insert(attempt);
    report("n-1", last["n-1"].token, 0,
           {{s.id, 0, attempt, TaskReportState::Exited, ExitReason::Done, false}});
    EXPECT_EQ(cluster->job(s.id)->done, 0);
    EXPECT_TRUE(cluster->finished_jobs().empty());
  }
  EXPECT_EQ(attempts.size(), 3u);
}

// Guards against `quota`: that one task of a gang is done says that all are, but not that they have left
// their machines; one may hang or be cut off. A new leader knows it as well.
TEST_F(WriteAhead, APlaceOfAGangThatIsDoneIsEmptyOnlyOnProof) {
  join("n-1"), join("n-2");
  auto s = spec(2, JobKind::Gang);
  cluster->plan(0);
  store();
  ASSERT_EQ(sent().size(), 2u);
  const auto active = cluster->job(s.id)->active;
  auto is = [&](int i, TaskReportState state, ExitReason why) {
    return TaskReport{s.id, i, active.at(i).attempt, state, why, false};
  };
  for (int i : {0, 1})
    report(active.at(i).machine, last[active.at(i).machine].token, 1,
           {is(i, TaskReportState::Running, ExitReason::None)});
  report(active.at(0).machine, last[active.at(0).machine].token, 2,
         {is(0, TaskReportState::Exited, ExitReason::Done)});
  EXPECT_EQ(cluster->team_use("x").cpus, 16);
  EXPECT_TRUE(cluster->finished_jobs().empty());
  // What is stored says the same to the next leader.
  auto batch = cluster->next_writes(12, true, 100);
  ASSERT_EQ(batch.size(), 1u);
  cluster->written(batch, ++stamp, 2);
  Cluster next(config, 3, 2, 12);
  next.put_job(s, 1, false, 2);
  ASSERT_EQ(next.load_record(batch[0].key, batch[0].value, 5), Cluster::Loaded::Yes);
  next.loaded();
  EXPECT_EQ(next.team_use("x").cpus, 16);
  EXPECT_EQ(next.job(s.id)->active.count(1), 1u);
  // A new session has nothing of the former one: then all are done, whatever became of the task there.
  Report r = last[active.at(1).machine];
  r.session = 2, r.seq = 1, r.tasks.clear();
  for (Cluster* book : {cluster.get(), &next}) {
    book->on_report(r, Cluster::Channel::Report, 3);
    EXPECT_EQ(book->team_use("x").cpus, 0);
    EXPECT_EQ(book->job(s.id)->done, 2);
    EXPECT_EQ(book->finished_jobs().size(), 1u);
  }
}

TEST_F(WriteAhead, SpreadWorkWaitsRatherThanCrowdOneZone) {
  for (int i = 0; i < 5; ++i) join("n-" + std::to_string(i), "a");
  JobSpec s;
  s.id = "run-100", s.team = "x", s.tasks = 5, s.need = {16, 0, 1}, s.image = "i", s.spread = true;
  cluster->put_job(s, 100, false, 0);
  cluster->plan(0);
  EXPECT_EQ(cluster->job(s.id)->active.size(), 3u);  // half of five, rounded up
  for (int i = 5; i < 7; ++i) join("n-" + std::to_string(i), "b");
  cluster->plan(0);
  EXPECT_EQ(cluster->job(s.id)->active.size(), 5u);
}

// Beyond a cut a keeper answers a machine that the leader does not hear: returning it would end tasks that
// run on.
TEST_F(WriteAhead, ASilentMachineIsNotReturnedWhileAKeeperAnswersIt) {
  for (const char* name : {"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"}) join(name);
  double dead = 3.6 * config.report_s + 0.1;
  for (const char* name : {"n-3", "n-4", "n-5", "n-6"})
    for (double now : {dead, 2 * dead, 3 * dead}) report(name, cluster->machine(name)->token, now);
  cluster->kept("n-1", 3 * dead);
  cluster->tick(2 * dead);
  EXPECT_TRUE(cluster->any_silent());
  EXPECT_EQ(cluster->doomed(), std::vector<std::string>{"n-2"});
  cluster->tick(3 * dead);
  EXPECT_EQ(cluster->doomed().size(), 2u);
}

}  // namespace
}  // namespace corkmux

// Tests of the actors of a leader's term when the state store splits its answers into pages, drops its
// history of changes or answers late, and when the process stalled.
#include <gtest/gtest.h>

#include "cancel_acknowledgements.h"
#include "cloud.h"
#include "heartbeat_delta_cache.h"
#include "job_watcher.h"
#include "lease_expiry_monitor.h"
#include "lease_proxy_record.h"
#include "loop_test.h"
#include "machine_provisioner.h"
#include "outage_log.h"
#include "state_loader.h"
#include "state_service.h"
#include "store_writer.h"
#include "test_heartbeat.h"

namespace corkmux {
namespace {

using codec::Json;

struct TermTest : LoopTest {
  simulation::StateService state{loop};
  simulation::Cloud cloud{loop};
  StateClient client{loop, state.address()};
  http::Client cloud_client{loop, cloud.address(), 2, 8};
  Settings settings;
  Term term;
  std::unique_ptr<Scheduler> scheduler;
  std::vector<std::string> missing_records;
  TermCallbacks callbacks{[] {}, [](StepDownReason) {}, [](RecordUpgradeReason) {}};

  void SetUp() override {
    settings.report_s = 3;
    settings.lease_s = 20;
    settings.cancel_s = 40;
    settings.value_kb = 16;
    settings.txn_ops = 12;
    settings.state_write_rps = 100;
    settings.next = {100, 16, 12};
    SchedulerConfig config;
    config.report_s = 3;
    config.lease_s = 20;
    config.cancel_s = 40;
    config.zones = {"a"};
    config.teams = {{"x", 1000, 1000, 0, 0}};
    term.number = 1;
    term.since = steady_now();
    term.confirmed(term.since);
    scheduler = std::make_unique<Scheduler>(config, 1, term.since, 1);
    scheduler->set_catalog({{"m", {16, 0, 64}, 50, 1, 1, 0.5, 1, {"a"}}});
  }
  std::unique_ptr<JobWatcher> job_watcher() {
    return std::make_unique<JobWatcher>(loop, client, term, *scheduler, callbacks,
                                        [this](const std::string& id) { missing_records.push_back(id); });
  }
  static Json record(const std::string& id) {
    JobSpec spec;
    spec.id = id;
    spec.job_class = "c";
    spec.team = "x";
    spec.image = "i";
    spec.need = {1, 0, 1};
    return {{"j", codec::job_to_wire(spec)}, {"c", 0}, {"t", wall_now()}};
  }
  static std::string id(int n) { return "run-" + std::to_string(1000 + n); }
  Heartbeat heartbeat_of(const std::string& machine, std::uint64_t seq) {
    Heartbeat heartbeat = test::heartbeat_of(machine, 1, 0);
    // The worker's first heartbeat, which carries no token, brings it the token of the term.
    if (!scheduler->machine(machine) || !scheduler->machine(machine)->is_up())
      scheduler->on_heartbeat(heartbeat, Scheduler::Channel::Heartbeat, steady_now());
    heartbeat.fencing_token = scheduler->machine(machine)->worker.fencing_token;
    heartbeat.seq = seq;
    return heartbeat;
  }
};

// Guards against missed jobs: all accepted jobs are loaded whatever the page size, also after the store has
// dropped its history of changes, and a record that was removed meanwhile is reported.
TEST_F(TermTest, AllJobsAreReadAtAnyPageSizeAndAfterTheHistoryIsDropped) {
  for (std::size_t page : {1, 2, 7, 1000}) {
    SCOPED_TRACE(page);
    SetUp();
    missing_records.clear();
    state.limits.page_items = page;
    for (int i = 0; i < 25; ++i) state.put("a/" + id(i), record(id(i)));
    auto jobs = job_watcher();
    bool loaded = false;
    jobs->load([&] { loaded = true; });
    ASSERT_TRUE(wait_for([&] { return loaded; }));
    EXPECT_EQ(scheduler->jobs().size(), 25u);
    state.erase("a/" + id(3));
    for (int i = 25; i < 60; ++i) state.put("a/" + id(i), record(id(i)));
    state.forget_history();
    jobs->follow();
    ASSERT_TRUE(wait_for([&] { return scheduler->jobs().size() == 60 && !missing_records.empty(); }))
        << scheduler->jobs().size();
    EXPECT_EQ(missing_records, std::vector<std::string>{id(3)});
    // Later changes are watched again.
    state.put("a/" + id(60), record(id(60)));
    EXPECT_TRUE(wait_for([&] { return scheduler->job(id(60)) != nullptr; }));
    EXPECT_EQ(missing_records.size(), 1u);
    term.end();
    term = Term{};
    for (int i = 0; i <= 60; ++i) state.erase("a/" + id(i));
    wait_for([] { return false; }, 0.05);
  }
}

// Guards against starting a task after a confirmed cancel: another controller has stored the job's end, and
// this leader has not received it when it assigns the task. Ends of long records, which stay unchanged, count
// as well.
TEST_F(TermTest, NoTaskIsAssignedOnceAnotherControllerHasStoredTheEnd) {
  scheduler->use_v2_records();
  for (bool beside : {false, true}) {
    auto gone = id(beside ? 1 : 2), stays = id(beside ? 3 : 4);
    for (const auto& job : {gone, stays}) state.put("a/" + job, record(job));
    auto jobs = job_watcher();
    bool loaded = false;
    jobs->load([&] { loaded = true; });
    ASSERT_TRUE(wait_for([&] { return loaded; }));
    auto cancelled = record(gone);
    cancelled["c"] = 1;
    if (!beside) state.put("a/" + gone, cancelled);
    state.put("f/" + gone, {{"p", "cancelled"}, {"n", 0}});
    term.revision = 0;  // there is no leader's record in this test
    double now = steady_now();
    scheduler->on_heartbeat(heartbeat_of("n-1", beside ? 2 : 1), Scheduler::Channel::Heartbeat, now);
    scheduler->schedule(now);
    ASSERT_EQ(scheduler->job(gone)->active.size(), 1u);
    std::unique_ptr<StoreWriter> writer;
    callbacks.changed = [&] {
      if (writer) writer->pump();
    };
    writer = std::make_unique<StoreWriter>(loop, settings, client, term, *scheduler, *jobs, callbacks,
                                           [](const codec::JobView&) {});
    writer->pump();
    ASSERT_TRUE(wait_for([&] { return !scheduler->job(gone) || scheduler->job(gone)->cancelled; }));
    // The task record of the other job is stored nevertheless, in a separate transaction.
    ASSERT_TRUE(wait_for([&] { return state.values().contains("t/" + stays + "/000000"); }));
    EXPECT_EQ(state.values().count("t/" + gone + "/000000"), 0u);
    EXPECT_TRUE(!scheduler->job(gone) || scheduler->job(gone)->active.empty());
    callbacks.changed = [] {};
    wait_for([&] { return writer->idle(); });
  }
}

// Guards against `ran_twice`: a lease proxy whose record is on an unread page would count as absent, and the
// tasks of its machines would be started again.
TEST_F(TermTest, ALeaseProxyOnALaterPageKeepsItsMachinesFromCountingAsGone) {
  state.limits.page_items = 2;
  for (int i = 0; i < 9; ++i)
    state.put("k/c" + std::to_string(i), {{"m", Json::array({"n-" + std::to_string(i)})}, {"n", 1}});
  state.put("a/run-1", record("run-1"));
  auto jobs = job_watcher();
  bool loaded = false;
  jobs->load([&] { loaded = true; });
  ASSERT_TRUE(wait_for([&] { return loaded; }));
  // A stored task on the machine that the last proxy record lists. For the leader its lease expired long ago.
  double now = steady_now();
  scheduler->on_heartbeat(heartbeat_of("n-8", 1), Scheduler::Channel::Heartbeat, now);
  scheduler->schedule(now);
  Job* job = scheduler->job("run-1");
  ASSERT_EQ(job->active.size(), 1u);
  auto batch = scheduler->next_writes(12, true, now);
  scheduler->records_written(batch, 77, now);
  scheduler->take_commands("n-8", now - 1000);
  Machine* machine = scheduler->machine("n-8");
  machine->worker.last_reply_at = now - 1000;
  machine->worker.last_launch_at = now - 1000;
  machine->worker.term_token_observed_at = now - 1000;
  ASSERT_EQ(scheduler->machines_with_expired_leases(now).size(), 1u);
  LeaseExpiryMonitor monitor(loop, settings, client, term, *scheduler, callbacks);
  monitor.tick();
  wait_for([&] { return machine->worker.renewed_by_proxy_until > 0; }, 5);
  EXPECT_GT(machine->worker.renewed_by_proxy_until, now);
  EXPECT_EQ(job->active.size(), 1u);  // not counted as gone
  for (int i = 0; i < 9; ++i) state.erase("k/c" + std::to_string(i));
}

// Guards against a stalled leader that takes missing heartbeats for failed machines: it deletes no machine
// before the state store has confirmed that it still leads.
TEST_F(TermTest, AfterAStallNothingIsDeletedUntilTheTermIsConfirmed) {
  double now = steady_now();
  for (int i = 0; i < 10; ++i)
    scheduler->on_heartbeat(heartbeat_of("n-" + std::to_string(i), 1), Scheduler::Channel::Heartbeat,
                            now - 60);
  auto receive_heartbeats = [&](double at) {
    for (int i = 0; i < 8; ++i)
      scheduler->on_heartbeat(heartbeat_of("n-" + std::to_string(i), 2), Scheduler::Channel::Heartbeat, at);
  };
  // Eight machines send heartbeats before the first tick; the two of ten without one are too few to attribute
  // it to the network.
  receive_heartbeats(now);
  scheduler->process_stalled(now);
  scheduler->tick(now);
  EXPECT_TRUE(scheduler->decommissioning().empty());
  // A machine that was to be returned before the stall stays until the term is confirmed.
  scheduler->decommission("n-9", now);
  term.since = now - 100;
  term.confirmed_until = now - 33;
  term.stall_detected_at = now;
  MachineProvisioner provisioner(loop, settings, {0.5, 600, 2, true}, cloud_client, term, *scheduler,
                                 callbacks, [](const std::string&) {});
  provisioner.start();
  wait_for([] { return false; }, 1.3);
  EXPECT_EQ(cloud.deletion_requests(), 0);
  term.confirmed(steady_now());
  EXPECT_TRUE(wait_for([&] { return cloud.deletion_requests() == 1; }));
}

// The leader may renew leases only as long as it has received every cancel: from the store, up to the time
// for which both its term and its watch are confirmed, or else from all peers, if none of them has begun a
// new incarnation since then.
TEST_F(TermTest, CancelsAreCompleteUpToTheStoreWatchOrTheAcknowledgementOfAllPeers) {
  auto jobs = job_watcher();
  CancelAcknowledgements cancels(term, *jobs);
  term.confirmed(steady_now());
  EXPECT_EQ(cancels.complete_until(), kLongAgo)
      << "a confirmed term does not show that all cancels were received";
  double before_load = steady_now();
  bool loaded = false;
  jobs->load([&] { loaded = true; });
  ASSERT_TRUE(wait_for([&] { return loaded; }));
  EXPECT_EQ(cancels.complete_until(), std::min(term.confirmed_until, jobs->observed_until()));
  double by_store = cancels.complete_until();
  cancels.peers_acknowledged(before_load + 100, before_load + 50);
  EXPECT_EQ(cancels.complete_until(), by_store)
      << "a peer began a new incarnation after the store was last confirmed";
  cancels.peers_acknowledged(before_load + 100, before_load - 50);
  EXPECT_EQ(cancels.complete_until(), before_load + 100);
  cancels.peers_acknowledged(before_load + 90, before_load - 50);
  EXPECT_EQ(cancels.complete_until(), before_load + 100)
      << "an older acknowledgement does not replace a newer one";
}

TEST_F(TermTest, TheHeartbeatsOfUnknownMachinesAreForgotten) {
  HeartbeatDeltaCache cache;
  auto full = [](const std::string& machine) {
    Json body = {{"host", machine}, {"address", "127.0.0.1:1"}, {"build", "m"}, {"room", "a"}, {"watch", 1},
                 {"tick", 3}};
    return fanin::ForwardedHeartbeat{1, fanin::FullHeartbeat{codec::pack(body)}};
  };
  auto holds_full_heartbeat = [&](const std::string& machine) {
    auto completed = cache.complete({2, fanin::HeartbeatDelta{machine, 1, 3, 4}});
    return std::holds_alternative<Heartbeat>(completed);
  };
  scheduler->on_heartbeat(heartbeat_of("n-1", 3), Scheduler::Channel::Heartbeat, steady_now());
  for (const char* machine : {"n-1", "n-2"}) cache.complete(full(machine));
  ASSERT_TRUE(holds_full_heartbeat("n-1") && holds_full_heartbeat("n-2"));
  cache.forget_unknown_machines(*scheduler);
  EXPECT_TRUE(holds_full_heartbeat("n-1"));
  EXPECT_FALSE(holds_full_heartbeat("n-2"));
}

// Guards against a slow failover: the number of pages read depends on unfinished work only.
TEST_F(TermTest, AFailoverReadsNoMoreForTenTimesTheFinishedJobs) {
  for (int i = 0; i < 150; ++i) state.put("a/" + id(i), record(id(i)));
  std::vector<int> pages;
  int finished = 0;
  for (int most : {300, 3000}) {
    for (; finished < most; ++finished)
      state.put("f/done-" + std::to_string(finished), {{"p", "done"}, {"n", 1}});
    int before = state.counters().pages;
    SetUp();
    auto jobs = job_watcher();
    bool loaded = false;
    StateLoader loader(loop, client, term, *scheduler, *jobs,
                       {[&](std::vector<std::string>) { loaded = true; }, [](const std::string&) {}});
    loader.start();
    ASSERT_TRUE(wait_for([&] { return loaded; }));
    EXPECT_EQ(scheduler->jobs().size(), 150u);
    pages.push_back(state.counters().pages - before);
  }
  EXPECT_EQ(pages[0], pages[1]);
  EXPECT_LE(pages[0], 4);  // two of jobs, one of task records in each format
}

TEST(OutageLog, LogsTheStartOfAnOutageThenGrowingIntervalsThenTheEnd) {
  OutageLog log("the state service", "10.0.0.1:2379");
  std::vector<double> logged_at;
  for (double t = 0; t < 100; t += 0.5)
    if (auto line = log.failed(t, "connection refused")) {
      EXPECT_NE(line->find("10.0.0.1:2379"), std::string::npos);
      EXPECT_NE(line->find("connection refused"), std::string::npos);
      logged_at.push_back(t);
    }
  EXPECT_EQ(logged_at, (std::vector<double>{0, 5, 15, 35, 75}));
  EXPECT_NE(log.answered(100)->find("answers"), std::string::npos);
  EXPECT_FALSE(log.answered(101));
  // After the first answer, a single lost answer is not logged.
  EXPECT_FALSE(log.failed(200, "no answer in time"));
  EXPECT_FALSE(log.answered(200.5));
  EXPECT_FALSE(log.failed(300, "no answer in time"));
  EXPECT_TRUE(log.failed(302.5, "no answer in time"));
  EXPECT_NE(log.answered(310)->find("after 10 s"), std::string::npos);
}

}  // namespace
}  // namespace corkmux

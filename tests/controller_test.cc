// Whole controllers on loopback against simulated outside systems: the answers to users, and the state that
// survives the loss of controllers.
#include <algorithm>

#include "loopback_cluster.h"

namespace corkmux {
namespace {

TEST_F(LoopbackCluster, AnswersUsersAsSpecified) {
  start_controller("one");
  start_controller("two");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  add_worker("n-1", "a", 0.3);
  add_worker("n-2", "b", 0.3);
  EXPECT_EQ(submit("one", job("run-1", 5)), 201);
  EXPECT_EQ(submit("two", job("run-1", 5)), 200);
  EXPECT_EQ(submit("two", job("run-2", 3, "group")), 201);
  for (const char* id : {"run-1", "run-2"}) {
    EXPECT_TRUE(wait_for([&] { return phase("one", id) == "done"; })) << id << " " << phase("one", id);
    EXPECT_EQ(phase("two", id), "done");
  }
  EXPECT_EQ(submit("one", job("run-1", 5)), 200);
  EXPECT_EQ(call("one", "POST", "/work/run-1/withdraw", "").status, 200);
  EXPECT_EQ(phase("one", "run-1"), "done");
  EXPECT_EQ(phase("one", "run-unknown"), "404");
  EXPECT_EQ(call("one", "POST", "/work/run-unknown/withdraw", "").status, 404);
  EXPECT_EQ(call("one", "POST", "/work", "\xc1").status, 400);
  EXPECT_EQ(call("one", "POST", "/work", codec::pack(Json::array())).status, 400);
  Json invalid = job("run-3");
  invalid["crew"] = "nobody";
  EXPECT_EQ(submit("one", invalid), 422);
  invalid = job("run-3");
  invalid["vcpus"] = 17.0;
  EXPECT_EQ(submit("one", invalid), 422);
  EXPECT_EQ(submit("one", job("run-3", 17, "group")), 422);
  EXPECT_EQ(call("one", "GET", "/elsewhere", "").status, 404);
  EXPECT_EQ(call("one", "DELETE", "/work/run-1", "").status, 405);
  EXPECT_EQ(call("one", "GET", "/ready", "").status, 200);
  for (const auto& [task, count] : starts) EXPECT_EQ(count, 1) << task;
  EXPECT_EQ(starts.size(), 8u);
}

TEST_F(LoopbackCluster, ACancelledJobStopsAndStaysCancelled) {
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  add_worker("n-1", "a", 1000);
  EXPECT_EQ(submit("one", job("run-1", 20)), 201);
  ASSERT_TRUE(wait_for([&] { return workers[0]->running() == 4; }));
  EXPECT_EQ(call("one", "POST", "/work/run-1/withdraw", "").status, 200);
  EXPECT_EQ(phase("one", "run-1"), "cancelled");
  EXPECT_TRUE(wait_for([&] { return workers[0]->tasks() == 0; }));
  EXPECT_TRUE(wait_for([&] { return !state.values().contains("a/run-1"); }));
  EXPECT_EQ(submit("one", job("run-1", 20)), 200);
  EXPECT_EQ(phase("one", "run-1"), "cancelled");
}

// The answer to a cancel is lost, the user gets "cancelled" from a later query, and the answers to the
// leader's watch are lost as well: without another way to the leader, the tasks are still there after
// cancel_s.
TEST_F(LoopbackCluster, ACancelReachesTheLeaderIfItsAnswerAndTheWatchAreLost) {
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  add_worker("n-1", "a", 1000);
  EXPECT_EQ(submit("one", job("run-1", 4)), 201);
  ASSERT_TRUE(wait_for([&] { return workers[0]->running() == 4; }));
  state.faults.withhold_watch_answers = state.faults.drop_next_transaction_answer = true;
  EXPECT_TRUE(wait_for([&] { return call("one", "POST", "/work/run-1/withdraw", "").status == 200; }));
  EXPECT_TRUE(wait_for([&] { return workers[0]->tasks() == 0; }, 10));
}

// The answer to the leader's watch is lost for longer than a cancel may take, and the controller that
// answered the user stopped before it could notify another. The leader must not renew leases for longer than
// its view of the cancels is valid.
TEST_F(LoopbackCluster, ALeaderThatCannotHaveSeenACancelStopsAnsweringWorkersInTime) {
  cancel_s = 13;
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  add_worker("n-1", "a", 1000);
  EXPECT_EQ(submit("one", job("run-1", 4)), 201);
  ASSERT_TRUE(wait_for([&] { return workers[0]->running() == 4; }));
  state.faults.withhold_watch_answers = true;
  wait_for([] { return false; }, 1.5);
  double cancelled_at = store_cancel("run-1");
  ASSERT_TRUE(wait_for([&] { return workers[0]->tasks() == 0; }));
  EXPECT_LT(steady_now() - cancelled_at, cancel_s);
}

// A controller that has lost the state store and every other controller cannot tell an outage from being cut
// off: if it stayed ready, users that stay with it would send requests in vain for as long as that lasts.
TEST_F(LoopbackCluster, AnIsolatedControllerStopsBeingReadyUntilItReconnects) {
  others = {{"two", "a", "127.0.0.1:1"}};
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return call("one", "GET", "/ready", "").status == 200; }));
  state.faults.unavailable = true;
  double since = steady_now();
  ASSERT_TRUE(wait_for([&] { return call("one", "GET", "/ready", "").status == 503; }));
  EXPECT_GT(steady_now() - since, 8);  // short outages do not end readiness
  state.faults.unavailable = false;
  EXPECT_TRUE(wait_for([&] { return call("one", "GET", "/ready", "").status == 200; }));
}

// The leader stores the end of a job whose predecessor was cancelled. While no leader could store it for
// longer than cancel_s, the job must not be reported as queued; it is reported as cancelled as soon as the
// leader has the cancel.
TEST_F(LoopbackCluster, AJobThatCanNeverRunIsNotReportedQueuedWhileItsEndIsNotStored) {
  cancel_s = 13;
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  EXPECT_EQ(submit("one", job("run-1")), 201);
  Json second = job("run-2");
  second["awaits"] = {"run-1"};
  EXPECT_EQ(submit("one", second), 201);
  EXPECT_EQ(phase("one", "run-2"), "queued");
  state.faults.withhold_watch_answers = true;
  wait_for([] { return false; }, 1.5);
  double cancelled_at = store_cancel("run-1");
  EXPECT_EQ(phase("one", "run-2"), "queued");  // allowed for cancel_s
  std::string last_phase;
  while (steady_now() - cancelled_at < cancel_s + 1) {
    double queried_at = steady_now();
    last_phase = phase("one", "run-2");
    if (queried_at - cancelled_at > cancel_s) {
      EXPECT_NE(last_phase, "queued") << queried_at - cancelled_at;
      if (last_phase != "cancelled") {
        EXPECT_EQ(call("one", "POST", "/work", codec::pack(second)).status, 503);
      }
    }
    wait_for([] { return false; }, 0.2);
  }
  state.faults.withhold_watch_answers = false;
  EXPECT_TRUE(wait_for([&] { return phase("one", "run-2") == "cancelled"; }));
}

TEST_F(LoopbackCluster, RunningTasksAndAcceptedJobsSurviveTheLossOfTheLeader) {
  start_controller("one");
  start_controller("two");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  add_worker("n-1", "a", 6);
  EXPECT_EQ(submit("one", job("run-1", 4)), 201);
  ASSERT_TRUE(wait_for([&] { return workers[0]->running() == 4; }));
  auto first = leader();
  stop_controller(first);
  auto other = first == "one" ? "two" : "one";
  ASSERT_TRUE(wait_for([&] { return leader() == other; }));
  EXPECT_TRUE(wait_for([&] { return phase(other, "run-1") == "done"; }));
  for (const auto& [task, count] : starts) EXPECT_EQ(count, 1) << task << " was started again";
}

TEST_F(LoopbackCluster, AnOutageIsAnsweredAtOnceAndLosesNothing) {
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  add_worker("n-1", "a", 1);
  EXPECT_EQ(submit("one", job("run-1", 2)), 201);
  ASSERT_TRUE(wait_for([&] { return workers[0]->running() == 2; }));
  state.faults.unavailable = true;
  double before = steady_now();
  EXPECT_EQ(call("one", "POST", "/work", codec::pack(job("run-2"))).status, 503);
  EXPECT_LT(steady_now() - before, 3);
  EXPECT_EQ(phase("one", "run-1"), "503");  // no answer that might be out of date
  wait_for([] { return false; }, 2);
  state.faults.unavailable = false;
  EXPECT_TRUE(wait_for([&] { return phase("one", "run-1") == "done"; }));
  EXPECT_EQ(submit("one", job("run-2")), 201);
  EXPECT_TRUE(wait_for([&] { return phase("one", "run-2") == "done"; }));
  for (const auto& [task, count] : starts) EXPECT_EQ(count, 1) << task;
}

TEST_F(LoopbackCluster, AnUnansweredWriteIsNeitherLostNorRepeated) {
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  state.faults.drop_next_transaction_answer = true;
  auto unanswered = call("one", "POST", "/work", codec::pack(job("run-1", 2)));
  // The controller reads whether the job was stored, so its user need not retry.
  EXPECT_EQ(unanswered.status, 200);
  EXPECT_EQ(submit("one", job("run-1", 2)), 200);
  wait_for([] { return false; }, 0.3);
  state.faults.drop_next_transaction_answer = true;  // now the write-ahead of the launch
  add_worker("n-1", "a", 0.5);
  EXPECT_TRUE(wait_for([&] { return phase("one", "run-1") == "done"; }));
  for (const auto& [task, count] : starts) EXPECT_EQ(count, 1) << task;
}

// Dependencies between jobs, and the upgrade.

TEST_F(LoopbackCluster, AJobStartsAfterAllItsDependenciesAndIsCancelledWithAnyOfThem) {
  start_controller("one");
  add_worker("n-1", "a", 1.0);
  auto after = [](Json body, std::vector<std::string> dependencies) {
    body["awaits"] = dependencies;
    return body;
  };
  ASSERT_EQ(submit("one", job("run-a")), 201);
  ASSERT_EQ(submit("one", after(job("run-b"), {"run-a", "run-a"})), 201);
  ASSERT_EQ(submit("one", after(job("run-c"), {"run-b"})), 201);
  // Invalid dependencies: not a list, not job ids (400); a job that was never accepted, the job itself (422).
  auto invalid = job("run-x");
  invalid["awaits"] = "run-a";
  EXPECT_EQ(submit("one", invalid), 400);
  invalid["awaits"] = {"run-a", 3};
  EXPECT_EQ(submit("one", invalid), 400);
  invalid["awaits"] = {"sheet 7"};
  EXPECT_EQ(submit("one", invalid), 400);
  EXPECT_EQ(submit("one", after(job("run-x"), {"run-a", "run-nobody"})), 422);
  EXPECT_EQ(submit("one", after(job("run-x"), {"run-x"})), 422);
  invalid["awaits"] = nullptr;
  EXPECT_EQ(submit("one", invalid), 201);
  // A job that was accepted stays accepted, whatever a repeated submission names.
  EXPECT_EQ(submit("one", after(job("run-b"), {"run-nobody"})), 200);
  ASSERT_TRUE(
      wait_for([&] { return phase("one", "run-b") == "running" || phase("one", "run-b") == "done"; }));
  EXPECT_EQ(phase("one", "run-a"), "done");
  EXPECT_EQ(starts.count("run-c/0"), 0u);
  ASSERT_TRUE(wait_for([&] { return phase("one", "run-c") == "done"; }));
  // Jobs are cancelled through a dependency; a job that names a cancelled one later is accepted and
  // cancelled; the cancel of a job that is done cancels no other job.
  ASSERT_EQ(submit("one", job("run-long", 40)), 201);
  ASSERT_EQ(submit("one", after(job("run-d"), {"run-long"})), 201);
  ASSERT_EQ(submit("one", after(job("run-e"), {"run-a", "run-d"})), 201);
  ASSERT_EQ(call("one", "POST", "/work/run-long/withdraw", "").status, 200);
  ASSERT_EQ(submit("one", after(job("run-f"), {"run-long"})), 201);
  ASSERT_EQ(call("one", "POST", "/work/run-a/withdraw", "").status, 200);
  ASSERT_EQ(submit("one", after(job("run-g"), {"run-a"})), 201);
  for (const char* id : {"run-d", "run-e", "run-f"})
    EXPECT_TRUE(wait_for([&] { return phase("one", id) == "cancelled"; })) << id;
  EXPECT_TRUE(wait_for([&] { return phase("one", "run-g") == "done"; }));
  for (const char* task : {"run-d/0", "run-e/0", "run-f/0"}) EXPECT_EQ(starts.count(task), 0u) << task;
}

// Waiting and cancellation through dependencies follow from stored records, so they survive the loss of every
// controller.
TEST_F(LoopbackCluster, WaitingAndCancelledDependentsSurviveTheLossOfEveryController) {
  start_controller("one");
  auto b = job("run-b"), c = job("run-c"), d = job("run-d");
  b["awaits"] = {"run-a"}, c["awaits"] = {"run-x"}, d["awaits"] = {"run-c"};
  ASSERT_EQ(submit("one", job("run-a")), 201);
  ASSERT_EQ(submit("one", b), 201);
  ASSERT_EQ(submit("one", job("run-x")), 201);
  ASSERT_EQ(submit("one", c), 201);
  ASSERT_EQ(submit("one", d), 201);
  ASSERT_EQ(call("one", "POST", "/work/run-x/withdraw", "").status, 200);
  stop_controller("one");
  start_controller("two");
  add_worker("n-1", "a", 0.3);
  EXPECT_TRUE(wait_for([&] { return phase("two", "run-d") == "cancelled"; }));
  EXPECT_TRUE(wait_for([&] { return phase("two", "run-b") == "done"; }));
  EXPECT_EQ(phase("two", "run-a"), "done");
  EXPECT_EQ(starts.count("run-c/0"), 0u);
}

// A list of dependencies that is too long for one record is stored in several, within the announced limits.
TEST_F(LoopbackCluster, ALongListOfDependenciesIsStoredInSeveralRecords) {
  limits = {500, 2, 4};
  state.limits.value_bytes = 2048, state.limits.transaction_writes = 4;
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  auto long_job = job("run-long");
  std::vector<std::string> dependencies;
  for (int i = 0; i < 400; ++i) {
    dependencies.push_back("run-" + std::to_string(100000 + i));
    state.put("f/" + dependencies.back(), {{"p", "done"}, {"n", 1}});
  }
  long_job["awaits"] = dependencies;
  ASSERT_EQ(submit("one", long_job), 201);
  EXPECT_EQ(phase("one", "run-long"), "queued");
  stop_controller("one");
  start_controller("two");
  add_worker("n-1", "a", 0.2);
  EXPECT_TRUE(wait_for([&] { return phase("two", "run-long") == "done"; }));
  EXPECT_EQ(state.counters().oversized_transactions, 0);
  EXPECT_TRUE(wait_for([&] {
    const auto& values = state.values();
    return std::none_of(values.begin(), values.end(), [](const auto& entry) {
      return entry.first.rfind("a/", 0) == 0 || entry.first.rfind("t/", 0) == 0;
    });
  }));
}

// Records keep format V1 until each controller named in the settings has announced that it runs the new
// version.
TEST_F(LoopbackCluster, FormatV2IsUsedOnceEachControllerSupportsItAndNotBefore) {
  others = {{"two", "b", "127.0.0.1:1"}};
  start_controller("one");
  add_worker("n-1", "a", 2);
  ASSERT_EQ(submit("one", job("run-a")), 201);
  ASSERT_TRUE(wait_for([&] { return state.values().contains("s/run-a/0"); }));
  state.put("v/two", {{"f", 2}});
  int submitted = 0;
  double next_submission_at = 0;
  EXPECT_TRUE(wait_for([&] {
    if (steady_now() > next_submission_at && submitted < 50) {
      next_submission_at = steady_now() + 0.5;
      submit("one", job("run-b" + std::to_string(submitted++)));
    }
    auto values = state.values();
    return std::any_of(values.begin(), values.end(),
                       [](const auto& e) { return e.first.rfind("t/", 0) == 0; });
  }));
}

// The limits of the state store may be lowered before the last controller could announce the new version.
// Scheduling must not stop then: the refusal itself shows that the upgrade is complete.
TEST_F(LoopbackCluster, LoweredLimitsDoNotStopScheduling) {
  others = {{"two", "b", "127.0.0.1:1"}};
  limits = {500, 0.5, 4};
  start_controller("one");
  for (int i = 0; i < 4; ++i) add_worker("n-00000000000000000000" + std::to_string(i), "a", 0.3);
  ASSERT_EQ(submit("one", job("run-a", 60)), 201);
  ASSERT_TRUE(wait_for([&] { return starts.size() > 3; }));
  state.limits.value_bytes = 512, state.limits.transaction_writes = 4;
  EXPECT_TRUE(wait_for([&] { return phase("one", "run-a") == "done"; }, 60));
  for (const auto& [task, count] : starts) EXPECT_EQ(count, 1) << task;
}

}  // namespace
}  // namespace corkmux

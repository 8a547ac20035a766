// Lookups of jobs in the state store by a controller, and the cache of their results.
#include <algorithm>

#include "controller_constants.h"
#include "dependency_check.h"
#include "job_status_cache.h"
#include "loop_test.h"
#include "scheduler_constants.h"
#include "state_service.h"
#include "unfinished_jobs.h"

namespace corkmux {
namespace {

using codec::Json;
using Jobs = std::vector<std::string>;

struct JobLookupsTest : LoopTest {
  simulation::StateService state{loop};
  StateClient client{loop, state.address()};
  Jobs ended;
  Jobs cancelled;
  JobStatusCache cache{{[this](const std::string& job) { ended.push_back(job); },
                        [this](const std::string& job) { cancelled.push_back(job); }}};
};

std::string numbered(std::size_t number) { return "run-" + std::to_string(number); }

// ---------------------------------------------------------------- JobStatusCache

using JobStatusCacheTest = JobLookupsTest;

TEST_F(JobStatusCacheTest, AnEndIsFinalAndReportedOnce) {
  cache.update({"run-1", job_phase::kRunning, 2, 3, ""});
  EXPECT_EQ(cache.display("run-1", job_phase::kQueued).phase, job_phase::kRunning);
  EXPECT_EQ(cache.display("run-1", job_phase::kQueued).running, 3);
  cache.update({"run-1", job_phase::kDone, 5, 0, ""});
  cache.cache_end("run-1", {job_phase::kCancelled, 0});
  cache.update({"run-1", job_phase::kRunning, 2, 3, ""});
  EXPECT_EQ(ended, Jobs{"run-1"});
  EXPECT_EQ(cache.display_ended("run-1").phase, job_phase::kDone);
  EXPECT_EQ(cache.display_ended("run-1").done, 5);
  EXPECT_EQ(cache.display("run-1", job_phase::kQueued).running, 0) << "views from before the end are dropped";
}

TEST_F(JobStatusCacheTest, ACancelIsReportedOnce) {
  cache.note_cancelled("run-1");
  cache.note_cancelled("run-1");
  EXPECT_EQ(cancelled, Jobs{"run-1"});
  EXPECT_EQ(ended, Jobs{"run-1"});
  cache.update({"run-2", job_phase::kDone, 1, 0, ""});
  cache.note_cancelled("run-2");
  EXPECT_EQ(cancelled.size(), 1u) << "a job that was done is not cancelled";
}

TEST_F(JobStatusCacheTest, TheOldestEntriesAreEvictedFirst) {
  for (std::size_t i = 0; i <= constants::kFinishedJobsCached; ++i)
    cache.cache_end(numbered(i), {job_phase::kDone, 1});
  EXPECT_FALSE(cache.ended(numbered(0)));
  EXPECT_TRUE(cache.ended(numbered(1)));
  for (std::size_t i = 0; i <= constants::kMaxCachedJobViews; ++i)
    cache.update({"live-" + std::to_string(i), job_phase::kRunning, 0, 1, ""});
  EXPECT_EQ(cache.display("live-0", job_phase::kQueued).running, 0);
  EXPECT_EQ(cache.display("live-1", job_phase::kQueued).running, 1);
}

// ---------------------------------------------------------------- DependencyCheck

struct DependencyCheckTest : JobLookupsTest {
  using Status = DependencyCheck::Status;
  std::vector<DependencyCheck::Result> results;
  void start(Jobs jobs, double deadline) {
    DependencyCheck::start(client, cache, std::move(jobs), deadline,
                           [this](const DependencyCheck::Result& result) { results.push_back(result); });
  }
  /// The result of a check with a late deadline; fails the test if there is none, or more than one.
  DependencyCheck::Result check(Jobs jobs) {
    results.clear();
    start(std::move(jobs), steady_now() + 40);
    EXPECT_TRUE(wait_for([&] { return !results.empty(); }));
    wait_for([] { return false; }, 0.1);  // for a second result, which must not come
    EXPECT_EQ(results.size(), 1u);
    return results.empty() ? DependencyCheck::Result{} : results.front();
  }
};

TEST_F(DependencyCheckTest, UnfinishedAndEndedJobsWereAccepted) {
  Jobs jobs;
  for (std::size_t i = 0; i < 3 * constants::kMaxConcurrentOutcomeReads; ++i) {
    jobs.push_back(numbered(i));
    state.put((i % 2 ? "a/" : "f/") + jobs.back(), {{"p", "done"}, {"n", 1}});
  }
  EXPECT_EQ(check(jobs).status, Status::AllAccepted);
  EXPECT_TRUE(
      std::all_of(jobs.begin(), jobs.end(), [&](const auto& job) { return cache.known_accepted(job); }));
  EXPECT_EQ(check({}).status, Status::AllAccepted);
}

TEST_F(DependencyCheckTest, NamesAJobThatWasNeverAccepted) {
  state.put("a/run-1", {{"c", 0}});
  auto result = check({"run-1", "run-2"});
  EXPECT_EQ(result.status, Status::NeverAccepted);
  EXPECT_EQ(result.job, "run-2");
  EXPECT_FALSE(cache.known_accepted("run-2"));
}

TEST_F(DependencyCheckTest, AnOutageIsNotReportedAsNeverAccepted) {
  state.faults.unavailable = true;
  EXPECT_EQ(check({"run-1", "run-2", "run-3"}).status, Status::Unreadable);
}

TEST_F(DependencyCheckTest, StartsNoLookupAfterItsDeadline) {
  state.put("a/run-1", {{"c", 0}});
  auto served = state.counters().requests;
  start({"run-1"}, steady_now() - 1);
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].status, Status::DeadlineExceeded);
  wait_for([] { return false; }, 0.1);
  EXPECT_EQ(state.counters().requests, served);
}

// ---------------------------------------------------------------- UnfinishedJobs

struct UnfinishedJobsTest : JobLookupsTest {
  using Result = UnfinishedJobs::Result;
  UnfinishedJobs unfinished{loop, client};
  std::optional<Result> look_up(Jobs jobs) {
    std::optional<Result> result;
    unfinished.look_up(std::move(jobs), [&](Result found) { result = found; });
    EXPECT_TRUE(wait_for([&] { return result.has_value(); }));
    return result;
  }
};

TEST_F(UnfinishedJobsTest, ACancelledJobIsNotUnfinishedAndAPieceCountsForItsJob) {
  state.limits.page_items = 1;
  state.put("a/run-1", {{"c", 0}});
  state.put("a/run-2", {{"c", 1}});
  state.put("a/run-3", {{"x", 1}, {"c", 0}});
  state.put("a/run-3/0", {{"x", "text"}});
  state.put("a/run-4", {{"c", 0}});
  state.put("a/run-4/c", {{"c", 1}});
  EXPECT_EQ(look_up({"run-1", "run-2", "run-3", "run-4", "run-5"}), Result::Known);
  EXPECT_TRUE(unfinished.contains("run-1"));
  EXPECT_FALSE(unfinished.contains("run-2"));
  EXPECT_TRUE(unfinished.contains("run-3"));
  EXPECT_FALSE(unfinished.contains("run-4")) << "the mark beside its record cancels it";
  EXPECT_FALSE(unfinished.contains("run-5"));
}

TEST_F(UnfinishedJobsTest, AKnownJobNeedsNoReadAndAnUnknownOneNeedsANewRead) {
  state.put("a/run-1", {{"c", 0}});
  ASSERT_EQ(look_up({"run-1"}), Result::Known);
  int pages = state.counters().pages;
  bool answered_before_return = false;
  unfinished.look_up({"run-1"}, [&](Result) { answered_before_return = true; });
  EXPECT_TRUE(answered_before_return);
  EXPECT_EQ(state.counters().pages, pages);
  state.put("a/run-2", {{"c", 0}});
  EXPECT_EQ(look_up({"run-2"}), Result::Known);
  EXPECT_TRUE(unfinished.contains("run-2")) << "accepted after the last read, it must not count as ended";
}

TEST_F(UnfinishedJobsTest, AnOutageIsReportedAsUnreadable) {
  state.faults.unavailable = true;
  EXPECT_EQ(look_up({"run-1"}), Result::Unreadable);
}

}  // namespace
}  // namespace corkmux

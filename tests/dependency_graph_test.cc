// DependencyGraph alone: when a job may start, which jobs a cancellation ends, and inherited urgency.
#include "dependency_graph.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "scheduler_modules.h"

namespace corkmux {
namespace {

constexpr int kPipelineSteps = 31;

struct DependencyGraphTest : ::testing::Test {
  SchedulerModules modules;
  DependencyGraph graph{modules.state, modules.lifecycle};

  Job& add(const std::string& id, const std::vector<std::string>& dependencies,
           Priority priority = Priority::Low, std::optional<double> deadline_s = {}) {
    JobSpec spec = array_spec(id, "x", 1, 1);
    spec.dependencies = dependencies;
    spec.priority = priority;
    spec.deadline_s = deadline_s;
    spec.estimate_s = 10;
    Job& job = modules.add_job(spec, 2);
    graph.add(job);
    return job;
  }
};

TEST_F(DependencyGraphTest, AJobIsReadyOnceAllItsDependenciesAreDone) {
  Job& job = add("run-c", {"run-a", "run-b"});
  EXPECT_EQ(graph.unknown_outcomes(), (std::set<std::string>{"run-a", "run-b"}));
  graph.record_outcome("run-a", JobOutcome::Done, 7);
  EXPECT_FALSE(job.ready());
  EXPECT_EQ(job.why, "waiting for run-b");
  graph.record_outcome("run-b", JobOutcome::Done, 5);
  EXPECT_TRUE(job.ready());
  EXPECT_EQ(job.ready_at, 7);
  EXPECT_TRUE(graph.unknown_outcomes().empty());
  EXPECT_FALSE(graph.any());
  EXPECT_TRUE(add("run-d", {"run-a"}).ready()) << "outcomes are remembered";
}

TEST_F(DependencyGraphTest, ACancellationEndsDirectAndIndirectDependents) {
  add("run-a", {});
  add("run-b", {"run-a"});
  Job& last = add("run-c", {"run-b"});
  Job& other = add("run-d", {});
  graph.cancel_dependents("run-a");
  EXPECT_EQ(graph.dependents_of_cancelled(), (std::vector<std::string>{"run-b", "run-c"}));
  EXPECT_FALSE(last.ready());
  EXPECT_TRUE(last.over());
  EXPECT_TRUE(other.ready());
  EXPECT_TRUE(add("run-e", {"run-c"}).dependency_cancelled) << "added after the cancellation";
}

TEST_F(DependencyGraphTest, UrgencyIsInheritedFromDependentsAndDroppedWhenTheyAreRemoved) {
  Job& first = add("run-a", {});
  Job& middle = add("run-b", {"run-a"}, Priority::Normal);
  add("run-c", {"run-b"}, Priority::High, 100);
  EXPECT_EQ(first.priority, Priority::High);
  EXPECT_EQ(middle.due_at, 2 + 100 - 10);
  EXPECT_EQ(first.due_at, 2 + 100 - 20);
  const std::vector<std::string> dependencies{"run-b"};
  modules.state.remove_job("run-c");
  graph.remove("run-c", dependencies);
  EXPECT_EQ(first.priority, Priority::Normal);
  EXPECT_EQ(first.due_at, kNever);
  EXPECT_EQ(middle.due_at, kNever);
}

struct PipelineTest : DependencyGraphTest {
  std::vector<JobSpec> specs;

  /// Adds two jobs for each step, each of which needs both of the step before, then a last job with a
  /// deadline. Their estimates make every path through the pipeline take a different time.
  void submit_pipeline() {
    std::vector<std::string> before;
    for (int step = 0; step < kPipelineSteps; ++step) {
      std::vector<std::string> pair{"run-" + std::to_string(step) + "a", "run-" + std::to_string(step) + "b"};
      for (const std::string& id : pair) {
        JobSpec spec = array_spec(id, "x", 1, 1);
        spec.dependencies = before;
        spec.estimate_s = id.back() == 'b' ? 10 + 1e-7 * std::exp2(step) : 10;
        specs.push_back(spec);
      }
      before = pair;
    }
    JobSpec last = array_spec("run-last", "x", 1, 1);
    last.dependencies = before;
    last.deadline_s = 3600;
    last.priority = Priority::High;
    specs.push_back(last);
  }
  void add_all() {
    for (const JobSpec& spec : specs) graph.add(modules.add_job(spec, 2));
  }
  void expect_the_tightest_deadlines() {
    double due_at = 2 + 3600 - 1;  // the last job counts for 1 s at least
    for (int step = kPipelineSteps; step-- > 0;) {
      for (const char* which : {"a", "b"}) {
        const Job& job = *modules.state.job("run-" + std::to_string(step) + which);
        EXPECT_DOUBLE_EQ(job.due_at, due_at) << job.spec.id;
        EXPECT_EQ(job.priority, Priority::High) << job.spec.id;
      }
      due_at -= 10 + 1e-7 * std::exp2(step);
    }
  }
};

// Guards against a pipeline that stops all controllers: urgency was passed on once for each path through the
// jobs, whose number doubles with each step, in one turn of the event loop.
TEST_F(PipelineTest, UrgencyIsPassedOnInStepsThatGrowWithTheEdges) {
  submit_pipeline();
  add_all();
  graph.refresh_urgency();
  const std::uint64_t edges = 4 * kPipelineSteps;
  EXPECT_LE(graph.edges_examined(), constants::kUrgencyEdgesExamined + 4 * edges);
}

TEST_F(PipelineTest, EachJobInheritsTheTightestDeadline) {
  submit_pipeline();
  add_all();
  graph.refresh_urgency();
  expect_the_tightest_deadlines();
}

// A leader loads jobs in the order of their ids, so dependents may come before what they need.
TEST_F(PipelineTest, TheOrderInWhichJobsAreLoadedChangesNeitherUrgencyNorCost) {
  submit_pipeline();
  std::reverse(specs.begin(), specs.end());
  add_all();
  graph.refresh_urgency();
  expect_the_tightest_deadlines();
  EXPECT_LE(graph.edges_examined(), constants::kUrgencyEdgesExamined + 16 * kPipelineSteps);
}

// Guards against steps that grow with the square of the jobs that need one job: on load, and as it ends.
TEST_F(DependencyGraphTest, AJobThatThousandsNeedCostsStepsThatGrowWithTheirNumber) {
  constexpr int kDependents = 5000;
  add("run-first", {});
  for (int i = 0; i < kDependents; ++i)
    add("run-" + std::to_string(i), {"run-first"}, Priority::Low, 10000 - i);
  graph.refresh_urgency();
  EXPECT_LE(graph.edges_examined(), constants::kUrgencyEdgesExamined + 4 * kDependents);
  graph.record_outcome("run-first", JobOutcome::Done, 3);
  EXPECT_FALSE(graph.any());
  EXPECT_TRUE(modules.state.job("run-4999")->ready());
}

}  // namespace
}  // namespace corkmux

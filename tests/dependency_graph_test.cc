// DependencyGraph alone: when a job may start, which jobs a cancellation ends, and inherited urgency.
#include "dependency_graph.h"

#include <gtest/gtest.h>

#include "scheduler_modules.h"

namespace corkmux {
namespace {

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

}  // namespace
}  // namespace corkmux

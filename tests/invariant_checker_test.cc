// Each rule of the checker, with a history that violates only this rule; a correct history violates none.
#include "invariant_checker.h"

#include <gtest/gtest.h>

namespace corkmux::simulation {
namespace {

constexpr double kCancelTime = 10;  // s within which tasks of a cancelled job end

MachineFacts machine(const char* name) {
  MachineType type;
  type.name = "g8";
  return {name, type, "a", false};
}

/// A job of two tasks that was submitted and accepted at 0 s; its team may use 20 CPUs, a task 4.
class InvariantCheckerTest : public ::testing::Test {
 protected:
  InvariantCheckerTest() {
    job.spec.id = "run-1";
    job.spec.team = "x";
    job.spec.job_class = "c";
    job.spec.tasks = 2;
    job.spec.need = {4, 0, 4};
    job.spec.types = std::vector<std::string>{"g8"};
    job.spec.zone = "a";
    checker.observe(JobSubmitted{job.spec});
    answer(UserAnswer::Request::Submission, 201, "queued");
  }

  void place(int index, const MachineFacts& where = machine("n-1")) {
    checker.task_placed(where, job, index, 1);
  }
  void remove(int index, const char* where = "n-1") { checker.task_removed(where, job, index, 1, ""); }
  void finish_tasks() {
    checker.task_done(job, 0);
    checker.task_done(job, 1);
  }
  void answer(UserAnswer::Request request, int status, const char* phase) {
    answer_requested_at(now, request, status, phase);
  }
  void answer_requested_at(double requested_at, UserAnswer::Request request, int status, const char* phase) {
    checker.observe(UserAnswer{request, "run-1", status, phase, requested_at});
  }
  void poll(const char* phase) { answer(UserAnswer::Request::Poll, 200, phase); }
  void poll_other(const char* id, int status, const char* phase) {
    checker.observe(UserAnswer{UserAnswer::Request::Poll, id, status, phase, now});
  }
  void cancel() {
    checker.observe(CancellationRequested{"run-1"});
    answer(UserAnswer::Request::Cancellation, 200, "cancelled");
  }
  /// Expects exactly one violation, of that rule.
  void expect_only_violation(const char* rule) {
    ASSERT_EQ(checker.violations().size(), 1u) << rule;
    EXPECT_TRUE(checker.violates(rule)) << checker.violations()[0];
  }
  void expect_no_violation() { EXPECT_TRUE(checker.violations().empty()) << checker.violations()[0]; }

  double now = 0;
  InvariantChecker checker{{{"x", 0, 20, 0, 0}}, kCancelTime, [this] { return now; }};
  SimulatedJob job;
};

TEST_F(InvariantCheckerTest, FindsNothingInAHistoryWithoutFault) {
  place(0);
  place(1, machine("n-2"));
  remove(0);
  place(0, machine("n-3"));
  remove(0, "n-3");
  remove(1, "n-2");
  finish_tasks();
  now = 5;
  poll("done");
  poll_other("run-nobody", 404, "");
  checker.finish();
  expect_no_violation();
  EXPECT_EQ(checker.by_team().at("x").served(), 1);
}

// ---------------------------------------------------------------- where tasks run

TEST_F(InvariantCheckerTest, FindsATaskOnTwoMachines) {
  place(0);
  place(0, machine("n-2"));
  expect_only_violation("ran_twice");
}

TEST_F(InvariantCheckerTest, FindsATeamAboveItsQuota) {
  job.spec.tasks = 6;
  for (int index = 0; index < 5; ++index) place(index);
  expect_no_violation();
  place(5);
  expect_only_violation("quota");
}

TEST_F(InvariantCheckerTest, FindsATaskOnAMachineOfAnotherType) {
  auto where = machine("n-1");
  where.type.name = "g9";
  place(0, where);
  expect_only_violation("wrong_place");
}

TEST_F(InvariantCheckerTest, FindsATaskInAnotherZone) {
  auto where = machine("n-1");
  where.zone = "b";
  place(0, where);
  expect_only_violation("wrong_place");
}

TEST_F(InvariantCheckerTest, FindsATaskOnASpotMachineThatItDoesNotAllow) {
  auto where = machine("n-1");
  where.spot = true;
  place(0, where);
  expect_only_violation("wrong_place");
}

TEST_F(InvariantCheckerTest, FindsTasksOfAOneZoneJobInTwoZones) {
  job.spec.zone.reset();
  job.spec.one_zone = true;
  place(0);
  auto where = machine("n-2");
  where.zone = "b";
  place(1, where);
  expect_only_violation("wrong_place");
}

TEST_F(InvariantCheckerTest, FindsSpreadTasksInOneZone) {
  job.spec.spread = true;
  place(0);
  place(1, machine("n-2"));
  expect_only_violation("wrong_place");
}

// ---------------------------------------------------------------- cancellations

TEST_F(InvariantCheckerTest, FindsAStartLongAfterTheCancellation) {
  cancel();
  now = kCancelTime + 1;
  place(0);
  expect_only_violation("ran_cancelled");
}

TEST_F(InvariantCheckerTest, FindsATaskThatEndsLongAfterTheCancellation) {
  place(0);
  cancel();
  now = kCancelTime + 1;
  remove(0);
  expect_only_violation("ran_cancelled");
}

TEST_F(InvariantCheckerTest, FindsATaskThatNeverEndsAfterTheCancellation) {
  place(0);
  cancel();
  now = kCancelTime + 1;
  checker.finish();
  expect_only_violation("ran_cancelled");
}

TEST_F(InvariantCheckerTest, ATaskMayEndWithinTheTimeForCancellations) {
  place(0);
  cancel();
  now = kCancelTime;
  remove(0);
  expect_no_violation();
}

// ---------------------------------------------------------------- answers to users

TEST_F(InvariantCheckerTest, FindsAnAcceptedJobThatAPollDoesNotFind) {
  answer(UserAnswer::Request::Poll, 404, "");
  expect_only_violation("forgotten");
}

TEST_F(InvariantCheckerTest, FindsAnAcceptedJobThatIsRefusedWhenRepeated) {
  answer(UserAnswer::Request::Submission, 422, "");
  expect_only_violation("forgotten");
}

TEST_F(InvariantCheckerTest, FindsAJobWhosePollsAllFailWhileOthersAreAnswered) {
  answer(UserAnswer::Request::Poll, 503, "");
  JobSpec other = job.spec;
  other.id = "run-2";
  checker.observe(JobSubmitted{other});
  now = 50;
  poll_other("run-2", 200, "queued");
  now = 95;
  answer(UserAnswer::Request::Poll, 0, "");
  expect_only_violation("forgotten");
}

TEST_F(InvariantCheckerTest, FindsAnAnswerAboutAJobThatWasNotSubmitted) {
  poll_other("run-nobody", 200, "queued");
  expect_only_violation("invented");
}

TEST_F(InvariantCheckerTest, FindsAJobReportedDoneBeforeItIs) {
  checker.task_done(job, 0);
  poll("done");
  expect_only_violation("not_done");
}

TEST_F(InvariantCheckerTest, FindsADoneJobReportedRunning) {
  finish_tasks();
  poll("done");
  now = 1;
  poll("running");
  expect_only_violation("went_back");
}

TEST_F(InvariantCheckerTest, FindsACancelledJobReportedQueued) {
  cancel();
  now = 1;
  poll("queued");
  expect_only_violation("went_back");
}

TEST_F(InvariantCheckerTest, AnAnswerRequestedBeforeAnotherMayBeOlder) {
  cancel();
  now = 1;
  answer_requested_at(-1, UserAnswer::Request::Poll, 200, "running");
  expect_no_violation();
}

TEST_F(InvariantCheckerTest, FindsACancellationThatWasNotRequested) {
  poll("cancelled");
  expect_only_violation("went_back");
}

TEST_F(InvariantCheckerTest, FindsAnInvalidSubmissionThatIsAccepted) {
  checker.observe(InvalidSubmissionAnswered{"run-2", 201, 400});
  expect_only_violation("accepted_odd");
}

TEST_F(InvariantCheckerTest, FindsAnInvalidSubmissionThatIsRefusedWithTheWrongStatus) {
  checker.observe(InvalidSubmissionAnswered{"run-2", 400, 422});
  expect_only_violation("accepted_odd");
}

TEST_F(InvariantCheckerTest, AnInvalidSubmissionMayBeRefusedAsRequired) {
  checker.observe(InvalidSubmissionAnswered{"run-2", 422, 422});
  expect_no_violation();
  EXPECT_EQ(checker.invalid_refused(), 1);
}

// ---------------------------------------------------------------- progress

TEST_F(InvariantCheckerTest, FindsThatNothingRan) {
  checker.finish();
  expect_only_violation("nothing_ran");
}

TEST_F(InvariantCheckerTest, FindsAJobLeftWaitingOnceFaultsAreOver) {
  checker.set_faults_end(0);
  checker.sample_progress({"run-1"});
  now = 200;
  checker.sample_progress({"run-1"});
  now = 400;  // reported once
  checker.sample_progress({"run-1"});
  expect_only_violation("left_waiting");
}

}  // namespace
}  // namespace corkmux::simulation

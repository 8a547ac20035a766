// Every rule that the checker holds, and a history that breaks just that one; the same history told right
// breaks none.
#include "invariant_checker.h"

#include <gtest/gtest.h>

namespace corkmux::simulation {
namespace {

MachineType machine_type(const char* name) {
  MachineType type;
  type.name = name;
  return type;
}

class CheckerTest : public ::testing::Test {
 protected:
  double now = 0;
  InvariantChecker checker{{{"x", 0, 20, 0, 0}}, 10, [this] { return now; }};
  SimulatedJob work;
  void SetUp() override {
    work.spec.id = "run-1", work.spec.team = "x", work.spec.job_class = "c", work.spec.tasks = 2;
    work.spec.need = {4, 0, 4};
    work.spec.types = std::vector<std::string>{"g8"}, work.spec.zone = "a";
    checker.submitted(work.spec);
    checker.answered_submission("run-1", 201, "queued", 0);
  }
  void on(int index, const char* machine = "n-1", const char* type = "g8", const char* zone = "a",
          bool spot = false) {
    checker.task_placed({machine, machine_type(type), zone, spot}, work, index, 1);
  }
  void off(int index, const char* machine = "n-1") { checker.task_removed(machine, work, index, 1, ""); }
  void poll(const char* phase, int status = 200) { checker.answered_poll("run-1", status, phase, now); }
  void cancel() {
    checker.asks_to_cancel("run-1");
    checker.answered_cancel("run-1", 200, "cancelled", now);
  }
  /// Just that rule, once.
  void broken(const char* rule) {
    ASSERT_EQ(checker.violations().size(), 1u) << rule;
    EXPECT_TRUE(checker.violates(rule)) << checker.violations()[0];
  }
};

TEST_F(CheckerTest, FindsNothingInAHistoryWithoutFault) {
  on(0), on(1, "n-2");
  off(0), on(0, "n-3"), off(0, "n-3"), off(1, "n-2");
  checker.task_done(work, 0), checker.task_done(work, 1);
  now = 5, poll("done");
  checker.answered_poll("run-nobody", 404, "", now);
  checker.finish();
  EXPECT_TRUE(checker.violations().empty()) << checker.violations()[0];
  EXPECT_EQ(checker.by_team().at("x").served(), 1);
}
TEST_F(CheckerTest, RanTwice) {
  on(0), on(0, "n-2");
  broken("ran_twice");
}
TEST_F(CheckerTest, Quota) {
  work.spec.tasks = 6;
  for (int i = 0; i < 6; ++i) on(i);
  broken("quota");
}
TEST_F(CheckerTest, WrongType) {
  on(0, "n-1", "g9");
  broken("wrong_place");
}
TEST_F(CheckerTest, WrongZone) {
  on(0, "n-1", "g8", "b");
  broken("wrong_place");
}
TEST_F(CheckerTest, WrongKindOfMachine) {
  on(0, "n-1", "g8", "a", true);
  broken("wrong_place");
}
TEST_F(CheckerTest, MatesInTwoZones) {
  work.spec.zone.reset(), work.spec.one_zone = true;
  on(0), on(1, "n-2", "g8", "b");
  broken("wrong_place");
}
TEST_F(CheckerTest, TooManyInOneZone) {
  work.spec.spread = true;
  on(0), on(1, "n-2");
  broken("wrong_place");
}
TEST_F(CheckerTest, StartsAfterItsCancel) {
  cancel();
  now = 11, on(0);
  broken("ran_cancelled");
}
TEST_F(CheckerTest, IsStillThereAfterItsCancel) {
  on(0), cancel();
  now = 11, off(0);
  broken("ran_cancelled");
}
TEST_F(CheckerTest, IsThereForEverAfterItsCancel) {
  on(0), cancel();
  now = 11, checker.finish();
  broken("ran_cancelled");
}
TEST_F(CheckerTest, ForgottenInAPoll) {
  poll("", 404);
  broken("forgotten");
}
TEST_F(CheckerTest, ForgottenInARepeatedSubmission) {
  checker.answered_submission("run-1", 422, "", now);
  broken("forgotten");
}
TEST_F(CheckerTest, ForgottenInSilence) {
  checker.answered_poll("run-1", 503, "", 0);
  SimulatedJob other = work;
  other.spec.id = "run-2";
  checker.submitted(other.spec);
  now = 50, checker.answered_poll("run-2", 200, "queued", now);
  now = 95, checker.answered_poll("run-1", 0, "", now);
  broken("forgotten");
}
TEST_F(CheckerTest, Invented) {
  checker.answered_poll("run-nobody", 200, "queued", now);
  broken("invented");
}
TEST_F(CheckerTest, NotDone) {
  checker.task_done(work, 0);
  poll("done");
  broken("not_done");
}
TEST_F(CheckerTest, DoneWentBack) {
  checker.task_done(work, 0), checker.task_done(work, 1);
  poll("done");
  now = 1, poll("running");
  broken("went_back");
}
TEST_F(CheckerTest, CancelledWentBack) {
  cancel();
  now = 1, poll("queued");
  broken("went_back");
}
TEST_F(CheckerTest, AnAnswerThatWasAskedForBeforeMayBeOlder) {
  cancel();
  now = 1, checker.answered_poll("run-1", 200, "running", -1);
  EXPECT_TRUE(checker.violations().empty());
}
TEST_F(CheckerTest, CancelledByNobody) {
  poll("cancelled");
  broken("went_back");
}
TEST_F(CheckerTest, NothingRan) {
  checker.finish();
  broken("nothing_ran");
}

}  // namespace
}  // namespace corkmux::simulation

// MachineLifecycle alone: leases, silence, and a machine's way back to the cloud.
#include "machine_lifecycle.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "constants.h"
#include "scheduler_modules.h"

namespace corkmux {
namespace {
namespace c = constants;
using Names = std::vector<std::string>;

struct MachineLifecycleTest : ::testing::Test {
  SchedulerModules modules;
  MachineLifecycle machines{modules.state, modules.lifecycle, modules.failures};
  Job& job = modules.add_job(array_spec("run-1", "x", 4, 4));
  const double lease_s = SchedulerModules::config().lease_s * (1 + c::kClockDrift) + c::kProofMargin;

  static ListedMachine listed(const std::string& name, double age_s) {
    return {name, "x", "plain", "a", false, ListedMachine::Phase::Running, age_s};
  }
};

TEST_F(MachineLifecycleTest, ALeaseRunsFromWhoeverCouldHaveRenewedItLast) {
  Machine& machine = modules.add_up_machine("n-1");
  EXPECT_TRUE(machines.machines_with_expired_leases(1e6).empty()) << "nothing of it can be lost";
  modules.run(job, 0, machine);
  auto expires_after = [&](double renewed) {
    return machines.machines_with_expired_leases(renewed + lease_s).empty() &&
           machines.machines_with_expired_leases(renewed + lease_s + 0.01) == Names{"n-1"};
  };
  EXPECT_TRUE(expires_after(0));
  machine.worker.last_answered = 5;
  EXPECT_TRUE(expires_after(5));
  machine.worker.last_launch = 6;
  EXPECT_TRUE(expires_after(6));
  machines.renewed_by_proxy("n-1", 20);
  machines.renewed_by_proxy("n-1", 10);  // an older word
  EXPECT_TRUE(expires_after(20));
  machine.worker.fencing_token_raised_at = 30;
  EXPECT_TRUE(expires_after(30));
}

TEST_F(MachineLifecycleTest, AWorkerThatDoesNotObeyThisTermMayBeKeptAliveByAFormerLeader) {
  Machine& machine = modules.add_up_machine("n-1");
  modules.run(job, 0, machine);
  machine.worker.observed_token = modules.state.first_number() - 1;
  const double others_until = SchedulerModules::config().keepalive();
  ASSERT_GT(others_until, 0);
  EXPECT_TRUE(machines.machines_with_expired_leases(others_until + lease_s).empty());
  EXPECT_EQ(machines.machines_with_expired_leases(others_until + lease_s + 0.01), Names{"n-1"});
}

TEST_F(MachineLifecycleTest, DecommissioningTakesBackWhatWasNotSentAndLeavesTheRestRunning) {
  Machine& machine = modules.add_up_machine("n-1");
  modules.run(job, 0, machine);
  modules.launch(job, 1, machine);
  machines.decommission("n-1", 1);
  EXPECT_EQ(machines.decommissioning(), Names{"n-1"});
  EXPECT_FALSE(modules.state.usable(machine, 1));
  EXPECT_EQ(machine.tasks, (std::set<TaskId>{{"run-1", 0}}));
  machines.machines_deleted({"n-1"}, 2);
  EXPECT_EQ(modules.state.machine("n-1"), nullptr);
  EXPECT_EQ(job.queued, 4);
  machines.machines_listed({listed("n-1", 2)}, 3);
  EXPECT_EQ(modules.state.machine("n-1"), nullptr) << "an old list revives nothing";
}

TEST_F(MachineLifecycleTest, OneSilentMachineIsBrokenAndManyAreAPartition) {
  const double dead_after_s = c::kDeadAfterHeartbeats * SchedulerModules::config().report_s;
  for (const char* name : {"n-1", "n-2", "n-3", "n-4"}) modules.add_up_machine(name);
  auto hear_all_but = [&](const Names& silent, double now) {
    for (auto& [name, machine] : modules.state.machines())
      if (std::find(silent.begin(), silent.end(), name) == silent.end()) machine.worker.last_heard = now;
  };
  hear_all_but({"n-1"}, dead_after_s);
  machines.tick(dead_after_s);
  EXPECT_TRUE(machines.any_silent());
  EXPECT_TRUE(machines.decommissioning().empty());
  machines.tick(dead_after_s + 0.1);
  EXPECT_EQ(machines.decommissioning(), Names{"n-1"});
  const double later = 3 * dead_after_s;
  hear_all_but({"n-2", "n-3"}, later);
  machines.tick(later);
  EXPECT_EQ(machines.decommissioning(), Names{"n-1"});
}

}  // namespace
}  // namespace corkmux

// Tests MachineLifecycle without the other modules: leases, silent machines, and the return to the cloud.
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
  const double lease_s = SchedulerModules::config().lease_s * (1 + c::kClockDrift) + c::kTimeoutSafetyMargin;

  static ListedMachine listed(const std::string& name, double age_s) {
    return {name, "x", "plain", "a", false, ListedMachine::Phase::Running, age_s};
  }
};

TEST_F(MachineLifecycleTest, ALeaseRunsFromItsLastPossibleRenewal) {
  Machine& machine = modules.add_up_machine("n-1");
  EXPECT_TRUE(machines.machines_with_expired_leases(1e6).empty()) << "it has no task that could be lost";
  modules.run(job, 0, machine);
  auto expires_after = [&](double renewed) {
    return machines.machines_with_expired_leases(renewed + lease_s).empty() &&
           machines.machines_with_expired_leases(renewed + lease_s + 0.01) == Names{"n-1"};
  };
  EXPECT_TRUE(expires_after(0));
  machine.worker.last_reply_at = 5;
  EXPECT_TRUE(expires_after(5));
  machine.worker.last_launch_at = 6;
  EXPECT_TRUE(expires_after(6));
  machines.renewed_by_proxy("n-1", 20);
  machines.renewed_by_proxy("n-1", 10);  // an earlier time does not shorten the lease
  EXPECT_TRUE(expires_after(20));
  machine.worker.term_token_observed_at = 30;
  EXPECT_TRUE(expires_after(30));
}

TEST_F(MachineLifecycleTest, AFormerLeaderMayRenewAWorkerThatHasNoTokenOfThisTerm) {
  Machine& machine = modules.add_up_machine("n-1");
  modules.run(job, 0, machine);
  machine.worker.observed_token = modules.state.sequence().base();
  const double renewed_by_others_until = SchedulerModules::config().keepalive();
  ASSERT_GT(renewed_by_others_until, 0);
  EXPECT_TRUE(machines.machines_with_expired_leases(renewed_by_others_until + lease_s).empty());
  EXPECT_EQ(machines.machines_with_expired_leases(renewed_by_others_until + lease_s + 0.01), Names{"n-1"});
}

TEST_F(MachineLifecycleTest, DecommissioningWithdrawsUnsentLaunchesAndLeavesOtherTasksRunning) {
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
  EXPECT_EQ(modules.state.machine("n-1"), nullptr)
      << "an outdated list does not add a returned machine again";
}

TEST_F(MachineLifecycleTest, OneSilentMachineIsDeadAndManyAreAPartition) {
  const double dead_after_s = c::kDeadAfterHeartbeats * SchedulerModules::config().report_s;
  for (const char* name : {"n-1", "n-2", "n-3", "n-4"}) modules.add_up_machine(name);
  auto send_heartbeats_except = [&](const Names& silent, double now) {
    for (auto& [name, machine] : modules.state.machines())
      if (std::find(silent.begin(), silent.end(), name) == silent.end())
        machine.worker.last_heartbeat_at = now;
  };
  send_heartbeats_except({"n-1"}, dead_after_s);
  machines.tick(dead_after_s);
  EXPECT_TRUE(machines.any_silent());
  EXPECT_TRUE(machines.decommissioning().empty());
  machines.tick(dead_after_s + 0.1);
  EXPECT_EQ(machines.decommissioning(), Names{"n-1"});
  const double later = 3 * dead_after_s;
  send_heartbeats_except({"n-2", "n-3"}, later);
  machines.tick(later);
  EXPECT_EQ(machines.decommissioning(), Names{"n-1"});
}

}  // namespace
}  // namespace corkmux

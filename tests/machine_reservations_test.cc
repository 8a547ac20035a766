// Unit tests of MachineReservations: which jobs are excluded from which machines while a class starves.
#include "machine_reservations.h"

#include <gtest/gtest.h>

#include "scheduler_modules.h"

namespace corkmux {
namespace {

struct MachineReservationsTest : ::testing::Test {
  SchedulerModules modules;
  MachineReservations reservations{modules.state, modules.reserved_capacity};
  Job& starving = add("run-1", "slow", "x");
  Job& other = add("run-2", "hot", "y");

  MachineReservationsTest() {
    modules.state.set_catalog({plain_type({"a"}), {"small", {2, 0, 8}, 50, 1, 1, 1, 10, {"a"}}});
    modules.add_up_machine("n-1");
  }
  Job& add(const std::string& id, const std::string& job_class, const std::string& team) {
    JobSpec spec = array_spec(id, team, 1, 4);
    spec.job_class = job_class;
    return modules.add_job(spec);
  }
  /// Updates once a second.
  void update(const std::vector<const Job*>& waiting, double from, double until) {
    for (double now = from; now < until; ++now) reservations.update(waiting, now);
  }
};

TEST_F(MachineReservationsTest, ExcludesOtherJobsFromMachinesThatAStarvingJobCanUse) {
  update({&starving}, 1000, 1060);
  EXPECT_TRUE(reservations.is_starving(starving));
  EXPECT_FALSE(reservations.is_starving(other));
  EXPECT_TRUE(reservations.is_reserved(1));
  EXPECT_FALSE(reservations.is_reserved(0)) << "most machines are in no tier";
  EXPECT_TRUE(reservations.excludes(other, "plain", 1));
  EXPECT_FALSE(reservations.excludes(other, "plain", 0));
  EXPECT_FALSE(reservations.excludes(other, "small", 1)) << "the starving job does not fit there";
  EXPECT_FALSE(reservations.excludes(starving, "plain", 1));
  EXPECT_EQ(modules.state.take_notes().size(), 1u);
}

TEST_F(MachineReservationsTest, NothingIsReservedOnceTheStarvingJobNoLongerWaits) {
  update({&starving}, 1000, 1060);
  update({}, 1060, 1130);
  EXPECT_FALSE(reservations.is_reserved(1));
  EXPECT_FALSE(reservations.excludes(other, "plain", 1));
  EXPECT_EQ(modules.state.take_notes().back(),
            "no class or team is starving any more: no machines are reserved");
}

}  // namespace
}  // namespace corkmux

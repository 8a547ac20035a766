// A process that hosts the stand-in state service and tells the collector of the run what it counts.
#pragma once
#include <string>

#include "http.h"
#include "scale_test_plan.h"
#include "state_service.h"

namespace corkmux::scale_test {

/// What the state service has counted so far.
struct StateCounts {
  int port = 0;
  std::string leader;  // label in the leader's record; empty: nobody leads
  std::uint64_t served = 0, over_rate = 0, keys = 0;
  std::map<std::string, std::uint64_t> changes_by_kind;
  codec::Json traffic = codec::Json::object();
};
codec::Json to_wire(const StateCounts& counts);
StateCounts parse_state_counts(const codec::Json& body);

class StateHost {
 public:
  StateHost(Loop& loop, const ScaleTestPlan& plan, const std::string& collector);

 private:
  void report();
  StateCounts counts() const;
  Loop& loop_;
  simulation::StateService state_;
  http::Client collector_;
  int failures_ = 0;
};

}  // namespace corkmux::scale_test

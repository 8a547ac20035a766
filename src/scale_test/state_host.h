// A process that hosts the stand-in state service and sends the service's counts to the collector of the run.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "collector_client.h"
#include "scale_test_plan.h"
#include "state_service.h"

namespace corkmux::scale_test {

inline constexpr double kCountsInterval = 0.5;  // s between two messages with the counts

/// The cumulative counts of the state service.
struct StateCounts {
  int port = 0;
  std::string leader;  // label in the leader's record; empty: there is no leader
  std::uint64_t served = 0;
  std::uint64_t over_rate = 0;
  std::uint64_t keys = 0;
  std::map<std::string, std::uint64_t> changes_by_kind;
  codec::Json traffic = codec::Json::object();  // http::Traffic of the process
};
codec::Json to_wire(const StateCounts& counts);
/// Throws codec::Json::exception if a field is missing.
StateCounts parse_state_counts(const codec::Json& body);

class StateHost {
 public:
  /// `collector`: host:port.
  StateHost(Loop& loop, const ScaleTestPlan& plan, const std::string& collector);

 private:
  void report();
  StateCounts counts() const;

  Loop& loop_;
  simulation::StateService state_;
  CollectorClient collector_;
};

}  // namespace corkmux::scale_test

#include "state_host.h"

#include "machine_events.h"
#include "store_keys.h"

namespace corkmux::scale_test {
namespace {

constexpr double kBytesPerKb = 1024;

}  // namespace

codec::Json to_wire(const StateCounts& counts) {
  return {{"port", counts.port},           {"leader", counts.leader}, {"served", counts.served},
          {"over_rate", counts.over_rate}, {"keys", counts.keys},     {"changes", counts.changes_by_kind},
          {"traffic", counts.traffic}};
}

StateCounts parse_state_counts(const codec::Json& body) {
  StateCounts counts;
  counts.port = body.at("port").get<int>();
  counts.leader = body.at("leader").get<std::string>();
  counts.served = body.at("served").get<std::uint64_t>();
  counts.over_rate = body.at("over_rate").get<std::uint64_t>();
  counts.keys = body.at("keys").get<std::uint64_t>();
  counts.changes_by_kind = body.at("changes").get<std::map<std::string, std::uint64_t>>();
  counts.traffic = body.at("traffic");
  return counts;
}

StateHost::StateHost(Loop& loop, const ScaleTestPlan& plan, const std::string& collector)
    : loop_(loop), state_(loop, "127.0.0.1:0"), collector_(loop, collector) {
  state_.limits.value_bytes = static_cast<std::size_t>(plan.site.value_kb * kBytesPerKb);
  state_.limits.transaction_writes = static_cast<std::size_t>(plan.site.txn_ops);
  state_.request_rate.set(plan.site.state_rps);
  state_.change_rate.set(plan.site.state_write_rps);
  report();
}

StateCounts StateHost::counts() const {
  StateCounts counts;
  counts.port = state_.port();
  counts.leader = state_.value(kLeaderKey).value("label", "");
  counts.served = state_.counters().requests;
  counts.over_rate = static_cast<std::uint64_t>(state_.counters().rate_limited);
  counts.keys = state_.size();
  counts.changes_by_kind = state_.counters().changes_by_kind;
  counts.traffic = traffic_to_wire();
  return counts;
}

void StateHost::report() {
  // Counts are cumulative, so a failed message is not repeated: the next one includes its counts.
  collector_.send("/state", to_wire(counts()), [this](const std::optional<std::string>&) {
    loop_.call_later(kCountsInterval, [this] { report(); });
  });
}

}  // namespace corkmux::scale_test

#include "state_host.h"

#include "machine_events.h"
#include "scale_test_constants.h"
#include "store_keys.h"

namespace corkmux::scale_test {
namespace {
constexpr int kMostFailures = 5;  // of status messages in a row, after which the collector counts as gone
}

codec::Json to_wire(const StateCounts& counts) {
  return {{"port", counts.port},           {"leader", counts.leader}, {"served", counts.served},
          {"over_rate", counts.over_rate}, {"keys", counts.keys},     {"changes", counts.changes_by_kind},
          {"traffic", counts.traffic}};
}

StateCounts parse_state_counts(const codec::Json& body) {
  StateCounts out;
  out.port = body.at("port").get<int>();
  out.leader = body.at("leader").get<std::string>();
  out.served = body.at("served").get<std::uint64_t>();
  out.over_rate = body.at("over_rate").get<std::uint64_t>();
  out.keys = body.at("keys").get<std::uint64_t>();
  out.changes_by_kind = body.at("changes").get<std::map<std::string, std::uint64_t>>();
  out.traffic = body.at("traffic");
  return out;
}

StateHost::StateHost(Loop& loop, const ScaleTestPlan& plan, const std::string& collector)
    : loop_(loop), state_(loop, "127.0.0.1:0"), collector_(loop, collector, 1, 4) {
  state_.limits.value_bytes = static_cast<std::size_t>(plan.site.value_kb * 1024);
  state_.limits.transaction_writes = static_cast<std::size_t>(plan.site.txn_ops);
  state_.request_rate.set(plan.site.state_rps);
  state_.change_rate.set(plan.site.state_write_rps);
  report();
}

StateCounts StateHost::counts() const {
  StateCounts out;
  out.port = state_.port();
  out.leader = state_.value(kLeaderKey).value("label", "");
  out.served = state_.counters().requests;
  out.over_rate = static_cast<std::uint64_t>(state_.counters().rate_limited);
  out.keys = state_.size();
  out.changes_by_kind = state_.counters().changes_by_kind;
  out.traffic = traffic_to_wire();
  return out;
}

void StateHost::report() {
  collector_.request("POST", "/state", codec::pack(to_wire(counts())), kEventsTimeout,
                     [this](http::Result result) {
                       failures_ = result.ok() ? 0 : failures_ + 1;
                       if (failures_ >= kMostFailures) return loop_.stop();
                       loop_.call_later(kCountsEvery, [this] { report(); });
                     });
}

}  // namespace corkmux::scale_test

// A settings file in the platform's format, for tests.
#pragma once
#include <string>

namespace corkmux {

inline std::string platform_settings(const std::string& state, const std::string& cloud,
                                     const std::string& others = "") {
  return R"(
label = "one"
domain = "a"
bind = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
novel = 3
)" + others +
         R"([outside]
cloud = ")" +
         cloud + R"("
state = ")" +
         state + R"("
[cluster]
zones = ["a", "b"]
[[cluster.teams]]
name = "x"
cpus = 10.0
cpus_max = 20.0
[cluster.workers]
report_s = 2.5
lease_s = 16.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 41.0
[cluster.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 4.0
list_lag_s = 5.0
[cluster.limits]
fd_limit = 1800
)";
}

}  // namespace corkmux

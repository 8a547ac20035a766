// The platform's settings file (TOML, unknown fields ignored) and the operators' settings (protobuf text
// format, unknown fields rejected).
#pragma once
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "model.h"

namespace corkmux {

/// The base class of all errors in files that operators write. The message names the file and the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct PeerAddress {
  std::string label;
  std::string zone;
  std::string address;
};

/// Limits of the state store.
struct StateLimits {
  double write_rps = 0;
  double value_kb = 0;
  int txn_ops = 0;
};

/// The platform's settings.
struct Settings {
  std::string label;  // this controller's name
  std::string zone;
  std::string listen;
  std::string peer_listen;
  std::vector<PeerAddress> peers;
  std::string cloud;  // address
  std::string state;  // address
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::map<std::string, std::vector<double>>
      start_within;                             // s, per class: objectives for starting, ascending
  std::map<std::string, double> finish_within;  // s, per class: the tightest objective for finishing
  double guarantee_within = 0;  // s: the tightest objective for starting tasks within a guarantee; 0: none
  double report_s = 0;          // between heartbeats of a worker
  double lease_s = 0;           // of a worker
  double gang_wait_s = 0;
  double gang_peer_s = 0;
  double cancel_s = 0;  // within which a cancelled job has stopped everywhere
  double state_rps = 0;
  double state_write_rps = 0;
  double value_kb = 0;
  int txn_ops = 0;
  /// Announced limits that the state store may adopt once all controllers run the new version; at most the
  /// limits above.
  StateLimits next;
  double cloud_rps = 0;
  double list_lag_s = 0;  // by which the cloud's list of machines may be out of date
  int max_connections = 1024;
  double mem_mb = 64;  // of this process
};

/// The Kubernetes-style API: its address, and the team of each namespace.
struct KubernetesChoices {
  std::string listen;
  std::map<std::string, std::string> teams;  // by namespace
  std::string tokens;  // path of the token file; empty: no tokens, and only loopback addresses are allowed
};

/// The operators' settings.
struct OperatorChoices {
  double headroom_share = 0;
  double idle_return_s = 0;
  int headroom_machines = 0;
  bool manage_fleet = true;
  std::optional<KubernetesChoices> kubernetes = {};
};

/// parse_settings() and load_settings() throw SettingsError.
Settings parse_settings(const std::string& text, const std::string& file);
Settings load_settings(const std::string& file);
/// Throws SettingsError.
OperatorChoices parse_operator(const std::string& text, const std::string& file);
/// Throws SettingsError if the operators' settings name a team that the platform's settings lack.
void check_choices(const OperatorChoices& choices, const Settings& settings);
/// Throws SettingsError. An empty file name gives the defaults.
OperatorChoices load_operator(const std::string& file);

}  // namespace corkmux

// The platform's settings file (TOML, unknown fields ignored) and the operators' own (protobuf text format,
// unknown fields refused).
#pragma once
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "model.h"

namespace corkmux {

/// The base of all errors in files that operators write. Names the file and the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct PeerAddress {
  std::string label;
  std::string zone;
  std::string address;
};

/// Of the state store.
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
  std::map<std::string, std::vector<double>> start_within;  // s, per class: the aims on starting, rising
  std::map<std::string, double> finish_within;              // s, per class: the tightest aim on finishing
  double guarantee_within = 0;  // s: the tightest aim on starting what is within a guarantee; 0: none
  double report_s = 0;          // between heartbeats of a worker
  double lease_s = 0;           // of a worker
  double gang_wait_s = 0;
  double gang_peer_s = 0;
  double cancel_s = 0;  // within which a cancelled job has stopped everywhere
  double state_rps = 0;
  double state_write_rps = 0;
  double value_kb = 0;
  int txn_ops = 0;
  StateLimits next;  // what the state store may fall to once all controllers are new; at most the above
  double cloud_rps = 0;
  double list_lag_s = 0;  // by which the cloud's list of machines may be late
  int max_connections = 1024;
  double mem_mb = 64;  // of this process
};

/// Where Kubernetes-style clients are served, and which team each of their namespaces is.
struct KubernetesChoices {
  std::string listen;
  std::map<std::string, std::string> teams;  // by namespace
  std::string tokens;                        // a file; empty: no tokens, and then only addresses on loopback
};

/// The operators' own settings.
struct OperatorChoices {
  double headroom_share = 0;
  double idle_return_s = 0;
  int headroom_machines = 0;
  bool manage_fleet = true;
  std::optional<KubernetesChoices> kubernetes = {};
};

/// Both throw SettingsError.
Settings parse_settings(const std::string& text, const std::string& file);
Settings load_settings(const std::string& file);
/// Throws SettingsError.
OperatorChoices parse_operator(const std::string& text, const std::string& file);
/// What the operators say about the platform's teams has to be about teams that there are.
void check_choices(const OperatorChoices& choices, const Settings& settings);
/// An empty name gives the defaults.
OperatorChoices load_operator(const std::string& file);

}  // namespace corkmux

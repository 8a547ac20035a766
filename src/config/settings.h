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

/// Names the file and the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct PeerAddress {
  std::string label, zone, address;
};

struct StateLimits {
  double write_rps = 0, value_kb = 0;
  int txn_ops = 0;
};

struct Settings {
  std::string label, zone, listen, peer_listen;
  std::vector<PeerAddress> peers;
  std::string cloud, state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::map<std::string, std::vector<double>> start_within;  // s, per class: the aims on starting, rising
  std::map<std::string, double> finish_within;              // s, per class: the tightest aim on finishing
  double guarantee_within = 0;  // s: the tightest aim on starting what is within a guarantee; 0: none
  double report_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
  double state_rps = 0, state_write_rps = 0, value_kb = 0;
  int txn_ops = 0;
  StateLimits next;  // what the state service may fall to once all controllers are new; never above the above
  double cloud_rps = 0, list_lag_s = 0;
  int max_connections = 1024;
  double mem_mb = 64;  // of this process
};

/// Where Kubernetes-style clients are served, and which team each of their namespaces is.
struct KubernetesChoices {
  std::string listen;
  std::map<std::string, std::string> teams;
  std::string tokens;  // a file; empty: no tokens, and then only addresses on loopback
};

struct OperatorChoices {
  double headroom_share = 0, idle_return_s = 0;
  int headroom_machines = 0;
  bool manage_fleet = true;
  std::optional<KubernetesChoices> kubernetes = {};
};

Settings parse_settings(const std::string& text, const std::string& file);
Settings load_settings(const std::string& file);
OperatorChoices parse_operator(const std::string& text, const std::string& file);
/// What the operators say about the platform's teams has to be about teams that there are.
void check_choices(const OperatorChoices& choices, const Settings& settings);
/// An empty name gives the defaults.
OperatorChoices load_operator(const std::string& file);

}  // namespace corkmux

#include "settings.h"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <set>

#include "operator.pb.h"
#include "toml_reader.h"

namespace corkmux {
namespace {

constexpr int kMinTxnOps = 2;
constexpr std::size_t kMaxNamespaceName = 63;  // bytes; RFC 1123, as in Kubernetes
constexpr double kMaxHeadroomShare = 10;
constexpr int kMaxHeadroomMachines = 1000;

/// Collects the first error of a protobuf text.
class FirstError : public google::protobuf::io::ErrorCollector {
 public:
  void AddError(int line, google::protobuf::io::ColumnNumber, const std::string& message) override {
    if (text_.empty()) text_ = "line " + std::to_string(line + 1) + ": " + message;
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// The tighter of the objectives so far and this one; `so_far` 0: none so far.
double tightest(double so_far, double within) { return so_far > 0 ? std::min(so_far, within) : within; }

void read_identity(const Reader& top, Settings& settings) {
  settings.label = top.text("label");
  settings.zone = top.text("domain");
  settings.listen = top.text("bind");
  settings.peer_listen = top.text("peer_listen");
  std::set<std::string> labels{settings.label};
  top.each("others", false, [&](const Reader& entry) {
    PeerAddress peer{entry.text("label"), entry.text("domain"), entry.text("addr")};
    if (!labels.insert(peer.label).second) entry.fail("label", "'" + peer.label + "' is named twice");
    settings.peers.push_back(std::move(peer));
  });
  auto outside = top.sub("outside");
  settings.cloud = outside.text("cloud");
  settings.state = outside.text("state");
}

Team read_team(const Reader& entry) {
  Team team;
  team.name = entry.text("name");
  team.cpus = entry.amount_or("cpus", 0);
  team.cpus_max = entry.amount_or("cpus_max", 0);
  team.gpus = entry.amount_or("gpus", 0);
  team.gpus_max = entry.amount_or("gpus_max", 0);
  if (team.cpus_max > 0 && team.cpus > team.cpus_max)
    entry.fail("cpus", "more guaranteed than cpus_max allows");
  if (team.gpus_max > 0 && team.gpus > team.gpus_max)
    entry.fail("gpus", "more guaranteed than gpus_max allows");
  return team;
}

void read_teams(const Reader& cluster, Settings& settings) {
  std::set<std::string> names;
  cluster.each("teams", true, [&](const Reader& entry) {
    auto name = entry.text("name");
    if (!names.insert(name).second) entry.fail("name", "'" + name + "' is named twice");
    settings.teams.push_back(read_team(entry));
  });
}

void read_objective(const Reader& entry, Settings& settings) {
  auto kind = entry.text("kind");
  if (kind == "wait") {
    auto& objectives = settings.start_within[entry.text("class")];
    objectives.push_back(entry.amount("within_s", true));
    std::sort(objectives.begin(), objectives.end());
  } else if (kind == "guarantee") {
    settings.guarantee_within = tightest(settings.guarantee_within, entry.amount("within_s", true));
  } else if (kind == "finished") {
    double within = entry.amount("within_s", true);
    auto& objective = settings.finish_within[entry.text("class")];
    objective = tightest(objective, within);
  }
}

void read_worker_times(const Reader& cluster, Settings& settings) {
  auto workers = cluster.sub("workers");
  settings.report_s = workers.amount("report_s", true);
  settings.lease_s = workers.amount("lease_s", true);
  settings.gang_wait_s = workers.amount("gang_wait_s", true);
  settings.gang_peer_s = workers.amount("gang_peer_s", true);
  settings.cancel_s = workers.amount("cancel_s", true);
  if (settings.lease_s <= settings.report_s) workers.fail("lease_s", "not longer than report_s");
  if (settings.cancel_s <= settings.lease_s)
    workers.fail("cancel_s", "not longer than lease_s, so a cut-off worker breaks it");
}

/// Reads the announced future limits, each capped at the current one.
void read_next_limits(const Reader& state, Settings& settings) {
  StateLimits& limits = settings.next;
  limits = {settings.state_write_rps, settings.value_kb, settings.txn_ops};
  if (!state.has("next")) return;
  auto next = state.sub("next");
  limits.write_rps = std::min(limits.write_rps, next.amount_or("write_rps", limits.write_rps));
  limits.value_kb = std::min(limits.value_kb, next.amount_or("value_kb", limits.value_kb));
  double txn_ops = next.amount_or("txn_ops", settings.txn_ops);
  limits.txn_ops = static_cast<int>(std::min<double>(settings.txn_ops, txn_ops));
  if (limits.txn_ops < kMinTxnOps) next.fail("txn_ops", "at least 2 are needed");
  if (limits.write_rps <= 0) next.fail("write_rps", "out of range");
  if (limits.value_kb < 1) next.fail("value_kb", "at least 1 is needed");
}

void read_state_limits(const Reader& cluster, Settings& settings) {
  auto state = cluster.sub("state");
  settings.state_rps = state.amount("rps", true);
  settings.state_write_rps = state.amount("write_rps", true);
  settings.value_kb = state.amount("value_kb", true);
  settings.txn_ops = static_cast<int>(state.amount("txn_ops", true));
  if (settings.txn_ops < kMinTxnOps) state.fail("txn_ops", "at least 2 are needed");
  read_next_limits(state, settings);
}

void read_cloud_and_process_limits(const Reader& cluster, Settings& settings) {
  auto cloud = cluster.sub("cloud");
  settings.cloud_rps = cloud.amount("rps", true);
  settings.list_lag_s = cloud.amount("list_lag_s", false);
  auto limits = cluster.sub("limits");
  settings.max_connections = static_cast<int>(limits.amount("fd_limit", true));
  settings.mem_mb = limits.amount_or("mem_mb", settings.mem_mb);
}

bool is_namespace_name(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNamespaceName &&
         name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
}

void add_namespace(const Namespace& entry, const std::string& file, KubernetesChoices& choices) {
  const std::string& name = entry.name();
  if (!is_namespace_name(name))
    throw SettingsError(file + ": kubernetes.namespace: not a name: '" + name + "'");
  if (entry.team().empty())
    throw SettingsError(file + ": kubernetes.namespace " + name + ": team is missing");
  if (!choices.teams.emplace(name, entry.team()).second)
    throw SettingsError(file + ": kubernetes.namespace " + name + ": given twice");
}

KubernetesChoices read_kubernetes(const Kubernetes& message, const std::string& file) {
  KubernetesChoices choices{message.listen(), {}, message.tokens()};
  if (choices.tokens.empty() && choices.listen.rfind("127.", 0) != 0)
    throw SettingsError(file + ": kubernetes.listen: has to be on loopback (127.x.y.z:port) without tokens");
  for (const auto& entry : message.namespace_()) add_namespace(entry, file, choices);
  if (choices.teams.empty()) throw SettingsError(file + ": kubernetes.namespace: none is given");
  return choices;
}

void check_ranges(const OperatorChoices& choices, const std::string& file) {
  // The conditions are negated so that NaN fails too.
  if (!(choices.headroom_share >= 0 && choices.headroom_share <= kMaxHeadroomShare))
    throw SettingsError(file + ": headroom_share: out of range (0 to 10)");
  if (choices.headroom_machines < 0 || choices.headroom_machines > kMaxHeadroomMachines)
    throw SettingsError(file + ": headroom_machines: out of range (0 to 1000)");
  if (!(choices.idle_return_s >= 0)) throw SettingsError(file + ": idle_return_s: out of range");
}

}  // namespace

Settings parse_settings(const std::string& text, const std::string& file) {
  auto table = parse_toml(text, file);
  Reader top(file, table);
  Settings settings;
  read_identity(top, settings);
  auto cluster = top.sub("cluster");
  settings.zones = cluster.texts("zones");
  read_teams(cluster, settings);
  cluster.each("objectives", false, [&](const Reader& entry) { read_objective(entry, settings); });
  read_worker_times(cluster, settings);
  read_state_limits(cluster, settings);
  read_cloud_and_process_limits(cluster, settings);
  return settings;
}

Settings load_settings(const std::string& file) { return parse_settings(read_file(file), file); }

OperatorChoices parse_operator(const std::string& text, const std::string& file) {
  OperatorSettings message;
  google::protobuf::TextFormat::Parser parser;
  FirstError errors;
  parser.RecordErrorsTo(&errors);
  if (!parser.ParseFromString(text, &message)) throw SettingsError(file + ": " + errors.text());
  OperatorChoices choices;
  choices.headroom_share = message.headroom_share();
  choices.idle_return_s = message.idle_return_s();
  choices.headroom_machines = message.headroom_machines();
  choices.manage_fleet = message.manage_fleet();
  if (message.has_kubernetes()) choices.kubernetes = read_kubernetes(message.kubernetes(), file);
  check_ranges(choices, file);
  return choices;
}

void check_choices(const OperatorChoices& choices, const Settings& settings) {
  if (!choices.kubernetes) return;
  for (const auto& entry : choices.kubernetes->teams) {
    const std::string& team = entry.second;
    bool known = std::any_of(settings.teams.begin(), settings.teams.end(),
                             [&team](const Team& candidate) { return candidate.name == team; });
    if (known) continue;
    std::string what = "kubernetes.namespace " + entry.first;
    throw SettingsError(what.append(": there is no team '").append(team).append("'"));
  }
}

OperatorChoices load_operator(const std::string& file) {
  if (file.empty()) return parse_operator("", "defaults");
  return parse_operator(read_file(file), file);
}

}  // namespace corkmux

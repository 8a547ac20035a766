#include "settings.h"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <set>

#include "operator.pb.h"
#include "toml_reader.h"

namespace corkmux {
namespace {

struct Collector : google::protobuf::io::ErrorCollector {
  std::string first;
  void AddError(int line, google::protobuf::io::ColumnNumber, const std::string& message) override {
    if (first.empty()) first = "line " + std::to_string(line + 1) + ": " + message;
  }
};

}  // namespace

Settings parse_settings(const std::string& text, const std::string& file) {
  auto table = parse_toml(text, file);
  Reader top(file, table);
  Settings s;
  s.label = top.text("label");
  s.zone = top.text("domain");
  s.listen = top.text("bind");
  s.peer_listen = top.text("peer_listen");
  std::set<std::string> labels{s.label};
  top.each("others", false, [&](const Reader& r) {
    PeerAddress p{r.text("label"), r.text("domain"), r.text("addr")};
    if (!labels.insert(p.label).second) r.fail("label", "'" + p.label + "' is named twice");
    s.peers.push_back(std::move(p));
  });
  auto outside = top.sub("outside");
  s.cloud = outside.text("cloud");
  s.state = outside.text("state");
  auto cluster = top.sub("cluster");
  s.zones = cluster.texts("zones");
  std::set<std::string> names;
  cluster.each("teams", true, [&](const Reader& r) {
    Team t;
    t.name = r.text("name");
    if (!names.insert(t.name).second) r.fail("name", "'" + t.name + "' is named twice");
    t.cpus = r.amount_or("cpus", 0);
    t.cpus_max = r.amount_or("cpus_max", 0);
    t.gpus = r.amount_or("gpus", 0);
    t.gpus_max = r.amount_or("gpus_max", 0);
    if (t.cpus_max > 0 && t.cpus > t.cpus_max) r.fail("cpus", "more guaranteed than cpus_max allows");
    if (t.gpus_max > 0 && t.gpus > t.gpus_max) r.fail("gpus", "more guaranteed than gpus_max allows");
    s.teams.push_back(std::move(t));
  });
  cluster.each("objectives", false, [&](const Reader& r) {
    if (r.text("kind") == "wait") {
      auto& aims = s.start_within[r.text("class")];
      aims.push_back(r.amount("within_s", true));
      std::sort(aims.begin(), aims.end());
    }
    if (r.text("kind") == "guarantee") {
      double within = r.amount("within_s", true);
      s.guarantee_within = s.guarantee_within > 0 ? std::min(s.guarantee_within, within) : within;
    }
    if (r.text("kind") != "finished") return;
    double within = r.amount("within_s", true);
    auto [it, fresh] = s.finish_within.try_emplace(r.text("class"), within);
    if (!fresh) it->second = std::min(it->second, within);
  });
  auto workers = cluster.sub("workers");
  s.report_s = workers.amount("report_s", true);
  s.lease_s = workers.amount("lease_s", true);
  s.gang_wait_s = workers.amount("gang_wait_s", true);
  s.gang_peer_s = workers.amount("gang_peer_s", true);
  s.cancel_s = workers.amount("cancel_s", true);
  if (s.lease_s <= s.report_s) workers.fail("lease_s", "not longer than report_s");
  if (s.cancel_s <= s.lease_s)
    workers.fail("cancel_s", "not longer than lease_s, so a cut-off worker breaks it");
  auto state = cluster.sub("state");
  s.state_rps = state.amount("rps", true);
  s.state_write_rps = state.amount("write_rps", true);
  s.value_kb = state.amount("value_kb", true);
  s.txn_ops = static_cast<int>(state.amount("txn_ops", true));
  if (s.txn_ops < 2) state.fail("txn_ops", "at least 2 are needed");
  s.next = {s.state_write_rps, s.value_kb, s.txn_ops};
  if (state.has("next")) {
    auto next = state.sub("next");
    s.next.write_rps = std::min(s.next.write_rps, next.amount_or("write_rps", s.next.write_rps));
    s.next.value_kb = std::min(s.next.value_kb, next.amount_or("value_kb", s.next.value_kb));
    s.next.txn_ops = static_cast<int>(std::min<double>(s.txn_ops, next.amount_or("txn_ops", s.txn_ops)));
    if (s.next.txn_ops < 2) next.fail("txn_ops", "at least 2 are needed");
    if (s.next.write_rps <= 0) next.fail("write_rps", "out of range");
    if (s.next.value_kb < 1) next.fail("value_kb", "at least 1 is needed");
  }
  auto cloud = cluster.sub("cloud");
  s.cloud_rps = cloud.amount("rps", true);
  s.list_lag_s = cloud.amount("list_lag_s", false);
  auto limits = cluster.sub("limits");
  s.max_connections = static_cast<int>(limits.amount("fd_limit", true));
  s.mem_mb = limits.amount_or("mem_mb", s.mem_mb);
  return s;
}

Settings load_settings(const std::string& file) { return parse_settings(slurp(file), file); }

OperatorChoices parse_operator(const std::string& text, const std::string& file) {
  OperatorSettings message;
  google::protobuf::TextFormat::Parser parser;
  Collector errors;
  parser.RecordErrorsTo(&errors);
  if (!parser.ParseFromString(text, &message)) throw SettingsError(file + ": " + errors.first);
  OperatorChoices out{message.headroom_share(), message.idle_return_s(), message.headroom_machines(),
                      message.manage_fleet(), std::nullopt};
  if (message.has_kubernetes()) {
    KubernetesChoices k{message.kubernetes().listen(), {}, message.kubernetes().tokens()};
    if (k.tokens.empty() && k.listen.rfind("127.", 0) != 0)
      throw SettingsError(file +
                          ": kubernetes.listen: has to be on loopback (127.x.y.z:port) without tokens");
    for (const auto& n : message.kubernetes().namespace_()) {
      bool good = !n.name().empty() && n.name().size() <= 63 &&
                  n.name().find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
      if (!good) throw SettingsError(file + ": kubernetes.namespace: not a name: '" + n.name() + "'");
      if (n.team().empty())
        throw SettingsError(file + ": kubernetes.namespace " + n.name() + ": team is missing");
      if (!k.teams.emplace(n.name(), n.team()).second)
        throw SettingsError(file + ": kubernetes.namespace " + n.name() + ": given twice");
    }
    if (k.teams.empty()) throw SettingsError(file + ": kubernetes.namespace: none is given");
    out.kubernetes = std::move(k);
  }
  if (!(out.headroom_share >= 0 && out.headroom_share <= 10))
    throw SettingsError(file + ": headroom_share: out of range (0 to 10)");
  if (out.headroom_machines < 0 || out.headroom_machines > 1000)
    throw SettingsError(file + ": headroom_machines: out of range (0 to 1000)");
  if (!(out.idle_return_s >= 0)) throw SettingsError(file + ": idle_return_s: out of range");
  return out;
}

void check_choices(const OperatorChoices& choices, const Settings& settings) {
  if (!choices.kubernetes) return;
  for (const auto& entry : choices.kubernetes->teams) {
    const std::string& team = entry.second;
    bool known = std::any_of(settings.teams.begin(), settings.teams.end(),
                             [&](const Team& t) { return t.name == team; });
    if (known) continue;
    std::string what = "kubernetes.namespace " + entry.first;
    throw SettingsError(what.append(": there is no team '").append(team).append("'"));
  }
}

OperatorChoices load_operator(const std::string& file) {
  if (file.empty()) return parse_operator("", "defaults");
  return parse_operator(slurp(file), file);
}

}  // namespace corkmux

#include "settings.h"

#include <gtest/gtest.h>

#include "platform_settings.h"

namespace corkmux {
namespace {

const std::string kGood = platform_settings("127.0.0.1:4", "127.0.0.1:3", R"([[others]]
label = "two"
domain = "b"
addr = "127.0.0.1:2"
)");

std::string message(const std::string& text) {
  try {
    parse_settings(text, "file.toml");
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}
std::string replaced(std::string text, const std::string& from, const std::string& to) {
  auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(Settings, ReadTheFileAndIgnoreUnknownFields) {
  auto s = parse_settings(kGood, "f");
  EXPECT_EQ(s.label, "one");
  EXPECT_EQ(s.peers.at(0).address, "127.0.0.1:2");
  EXPECT_EQ(s.teams.at(0).cpus_max, 20);
  EXPECT_EQ(s.txn_ops, 12);
}

TEST(Settings, AnnouncedLimitsNeverExceedTheCurrentOnes) {
  auto s = parse_settings(kGood, "f");
  EXPECT_EQ(s.next.value_kb, s.value_kb);
  EXPECT_EQ(s.next.txn_ops, s.txn_ops);
  s = parse_settings(kGood + "\n[cluster.state.next]\nvalue_kb = 2.0\nwrite_rps = 1e6\ntxn_ops = 4\n", "f");
  EXPECT_EQ(s.next.value_kb, 2.0);
  EXPECT_EQ(s.next.write_rps, s.state_write_rps);
  EXPECT_EQ(s.next.txn_ops, 4);
  EXPECT_THROW(parse_settings(kGood + "\n[cluster.state.next]\ntxn_ops = 1\n", "f"), SettingsError);
}

TEST(Settings, ErrorsNameTheFileAndTheField) {
  EXPECT_NE(message("label = ").find("file.toml: not TOML"), std::string::npos);
  EXPECT_NE(message(replaced(kGood, "lease_s = 16.0", "lease_s = \"x\""))
                .find("file.toml: cluster.workers.lease_s"),
            std::string::npos);
  EXPECT_NE(message(replaced(kGood, "lease_s = 16.0", "lease_s = 2.0")).find("lease_s: not longer"),
            std::string::npos);
  EXPECT_NE(message(replaced(kGood, "cancel_s = 41.0", "cancel_s = 9.0")).find("cancel_s"),
            std::string::npos);
  EXPECT_NE(message(replaced(kGood, "cpus = 10.0", "cpus = 30.0")).find("cluster.teams[0].cpus"),
            std::string::npos);
  EXPECT_NE(message(replaced(kGood, "cpus = 10.0", "cpus = nan")).find("cluster.teams[0].cpus"),
            std::string::npos);
  EXPECT_NE(message(replaced(kGood, "label = \"two\"", "label = \"one\"")).find("others[0].label"),
            std::string::npos);
  EXPECT_NE(message(replaced(kGood, "rps = 200.0", "")).find("cluster.state.rps"), std::string::npos);
  EXPECT_THROW(load_settings("/nonexistent/file"), SettingsError);
}

TEST(Operator, DefaultsMatchTheDocumentedFileAndUnknownFieldsAreRejected) {
  auto defaults = load_operator(""), file = load_operator(OPERATOR_DEFAULTS);
  EXPECT_EQ(defaults.headroom_share, file.headroom_share);
  EXPECT_EQ(defaults.headroom_machines, file.headroom_machines);
  EXPECT_EQ(defaults.idle_return_s, file.idle_return_s);
  EXPECT_EQ(defaults.manage_fleet, file.manage_fleet);
  EXPECT_EQ(parse_operator("headroom_share: 0.25", "o").headroom_share, 0.25);
  EXPECT_THROW(parse_operator("head_room: 1", "o"), SettingsError);
  EXPECT_THROW(parse_operator("headroom_share: -1", "o"), SettingsError);
  EXPECT_THROW(load_operator("/nonexistent/file"), SettingsError);
}

TEST(Operator, KubernetesNamespacesAreCheckedAtLoadTime) {
  auto parse = [](const std::string& inside) { return parse_operator("kubernetes { " + inside + " }", "o"); };
  const std::string listen = "listen: '127.0.0.1:0' ", space = "namespace { name: 'default' team: 'x' } ";
  auto good = parse(listen + space);
  ASSERT_TRUE(good.kubernetes);
  EXPECT_EQ(good.kubernetes->teams.at("default"), "x");
  Settings settings;
  EXPECT_THROW(check_choices(good, settings), SettingsError) << "no such team";
  settings.teams = {{"x", 1, 0, 0, 0}};
  EXPECT_NO_THROW(check_choices(good, settings));
  // Without tokens the API may be reached from this machine only.
  EXPECT_THROW(parse("listen: '0.0.0.0:80' " + space), SettingsError);
  EXPECT_NO_THROW(parse("listen: '0.0.0.0:80' tokens: '/etc/tokens' " + space));
  EXPECT_THROW(parse(space), SettingsError);
  EXPECT_THROW(parse(listen), SettingsError);
  EXPECT_THROW(parse(listen + space + space), SettingsError);
  EXPECT_THROW(parse(listen + "namespace { name: 'a/b' team: 'x' }"), SettingsError);
  EXPECT_THROW(parse(listen + "namespace { name: 'a' }"), SettingsError);
  EXPECT_TRUE(load_operator(KUBERNETES_EXAMPLE).kubernetes);
  EXPECT_FALSE(load_operator("").kubernetes) << "off unless configured";
}

}  // namespace
}  // namespace corkmux

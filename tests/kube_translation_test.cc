// Tests the translation of Kubernetes Jobs, and the parsing of quantities, selectors, bodies and tokens,
// including malicious input.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "bearer_tokens.h"
#include "job_translation.h"
#include "kubernetes_objects.h"
#include "quantity.h"
#include "request_body.h"
#include "selector.h"
#include "settings.h"
#include "user_codec.h"

namespace corkmux {
namespace {

using kube::Json;

TEST(Quantity, ParsesAllDocumentedForms) {
  for (const auto& [text, value] : std::map<std::string, double>{{"500m", 0.5},
                                                                 {"2Gi", 2147483648.0},
                                                                 {"1e3", 1000},
                                                                 {"1E", 1e18},
                                                                 {"1.5", 1.5},
                                                                 {".5", 0.5},
                                                                 {"2.", 2},
                                                                 {"+3k", 3000},
                                                                 {"12E-1", 1.2},
                                                                 {"7Ki", 7168},
                                                                 {"100u", 1e-4},
                                                                 {"0", 0}}) {
    auto found = kube::parse_quantity(text);
    ASSERT_TRUE(found) << text;
    EXPECT_DOUBLE_EQ(*found, value) << text;
  }
  for (const char* text :
       {"", "-1", "1 ", "m", "1kk", "1e", "1e999", "0x10", "1.2.3", "inf", "nan", "1Gib", "1e3Ki"})
    EXPECT_FALSE(kube::parse_quantity(text)) << text;
}

TEST(Selector, SelectsByEachOperator) {
  const std::map<std::string, std::string> labels{{"app", "scan"}, {"corkmux.io/floor", "2"}, {"empty", ""}};
  for (const char* yes :
       {"", "app=scan", "app == scan", "app!=paint", "app in (paint, scan)", "app notin (paint)", "app",
        "!other", "app=scan, corkmux.io/floor=2", "other!=x", "other notin (x)", "empty=", "empty in ()"}) {
    auto selector = kube::parse_selector(yes);
    ASSERT_TRUE(selector) << yes;
    EXPECT_TRUE(kube::selects(*selector, labels)) << yes;
  }
  for (const char* no : {"app=paint", "app!=scan", "app in (paint)", "app notin (scan,x)", "!app", "other",
                         "app=scan,other", "in=x"}) {
    auto selector = kube::parse_selector(no);
    ASSERT_TRUE(selector) << no;
    EXPECT_FALSE(kube::selects(*selector, labels)) << no;
  }
  for (const char* bad :
       {"=x", ",", "app=scan,", "app in scan", "app in (scan", "app ~ x", "a b", "!", "(app)"})
    EXPECT_FALSE(kube::parse_selector(bad)) << bad;
}

TEST(RequestBody, ParsingCostIsBounded) {
  const char* yaml = "application/yaml";
  EXPECT_EQ(kube::parse_body("a: {b: [1, 1.5, '1', yes, null, true]}", yaml).object.value().dump(),
            R"({"a":{"b":[1,1.5,"1","yes",null,true]}})");
  std::string bomb = "a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n";
  for (int i = 1; i < 9; ++i) {
    bomb += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [";
    for (int k = 0; k < 10; ++k) bomb += (k ? ",*a" : "*a") + std::to_string(i - 1);
    bomb += "]\n";
  }
  EXPECT_EQ(kube::parse_body(bomb, yaml).error.text, "too many values");
  const std::string deep(100000, '[');
  EXPECT_EQ(kube::parse_body(deep, "").error.text, "nested too deeply");
  EXPECT_NE(kube::parse_body(deep, yaml).error.text, "");
  EXPECT_NE(kube::parse_body("{\"a\": \"\xff\"}", "").error.text, "");
  EXPECT_NE(kube::parse_body("a: \"\\xff\xff\"", yaml).error.text, "");
  EXPECT_NE(kube::parse_body("a: 1\n---\nb: 2\n", yaml).error.text, "");
  EXPECT_NE(kube::parse_body("a: 1\na: 2\n", yaml).error.text, "");
  EXPECT_NE(kube::parse_body("[]", "").error.text, "");
  EXPECT_NE(kube::parse_body("", "").error.text, "");
}

// The scheduler gets only job specs from either interface, so equal specs are placed, ended and explained in
// the same way.
TEST(JobTranslation, EqualsTheNativeSubmission) {
  std::mt19937 rng(3);
  for (int i = 0; i < 500; ++i) {
    JobSpec native = random_job(rng);
    auto translated = kube::translate_job(kubernetes_job(native));
    ASSERT_TRUE(translated.causes.empty())
        << translated.causes[0].field << ": " << translated.causes[0].message;
    ASSERT_EQ(codec::job_to_wire(translated.job), codec::job_to_wire(native));
  }
}

TEST(JobTranslation, RejectsUnsupportedFields) {
  std::mt19937 rng(3);
  JobSpec spec = random_job(rng);
  spec.tasks = 4;
  const Json good = kubernetes_job(spec);
  const std::string pod = "/spec/template/spec";
  const std::string container = pod + "/containers/0";
  const std::vector<std::pair<std::string, Json>> refused{
      {"/spec/suspend", true},
      {"/spec/backoffLimit", 6},
      {"/spec/parallelism", 2},
      {"/spec/completions", 0},
      {"/spec/completions", "4"},
      {"/spec/completionMode", "Sometimes"},
      {"/spec/activeDeadlineSeconds", 60},
      {"/spec/ttlSecondsAfterFinished", 0},
      {"/spec/podFailurePolicy", {{"rules", {1}}}},
      {"/spec/notKnown", 1},
      {"/spec/template", Json::array()},
      {pod + "/restartPolicy", "Always"},
      {pod + "/hostNetwork", true},
      {pod + "/volumes", {{{"name", "v"}}}},
      {pod + "/affinity", {{"nodeAffinity", {{"x", 1}}}}},
      {pod + "/nodeSelector/disk", "fast"},
      {pod + "/nodeSelector", "a"},
      {pod + "/tolerations", 3},
      {pod + "/priorityClassName", "urgent"},
      {container + "/command", {"sh"}},
      {container + "/env", {{{"name", "A"}}}},
      {container + "/image", ""},
      {container + "/resources/requests/cpu", "much"},
      {container + "/resources/requests/cpu", "0"},
      {container + "/resources/requests/nvidia.com~1gpu", 1},
      {container + "/resources/requests/corkmux.io~1accelerator", "500m"},
      {container + "/resources/limits", {{"cpu", "1000"}}},
      {"/metadata/annotations/corkmux.io~1gang", "perhaps"},
      {"/metadata/annotations/corkmux.io~1estimate-s", "soon"},
      {"/metadata/annotations/corkmux.io~1nice", "10"},
  };
  for (const auto& [path, value] : refused) {
    Json changed = good;
    changed[Json::json_pointer(path)] = value;
    EXPECT_FALSE(kube::translate_job(changed).causes.empty()) << path << " = " << value;
  }
  Json named = good;
  named["metadata"]["namespace"] = "other";
  EXPECT_FALSE(kube::check_metadata(named, "default").empty());
  for (const char* name : {"Upper", "-x", "a/b", "", "a_b"}) {
    named = good;
    named["metadata"]["name"] = name;
    EXPECT_FALSE(kube::check_metadata(named, "default").empty()) << name;
  }
}

// Corrupted bodies get a response, never an exception, and no accepted job is one that a native submission
// could not express.
TEST(JobTranslation, CorruptedBodiesNeverThrowOrYieldInvalidJobs) {
  std::mt19937 rng(11);
  auto below = [&](std::size_t n) { return static_cast<std::size_t>(rng() % n); };
  const std::string bytes =
      "{}[]\":,&*- \n\xff\x01"
      "0e+tfn~";
  int accepted = 0;
  int refused = 0;
  int unreadable = 0;
  for (int i = 0; i < 6000; ++i) {
    std::string text = kubernetes_job(random_job(rng)).dump(i % 2 ? -1 : 1);
    for (auto n = 1 + below(4); n > 0; --n) {
      auto at = below(text.size());
      switch (below(4)) {
        case 0:
          text[at] = bytes[below(bytes.size())];
          break;
        case 1:
          text.insert(at, 1, bytes[below(bytes.size())]);
          break;
        case 2:
          text.erase(at, 1 + below(8));
          break;
        default:
          text.insert(at, text.substr(below(text.size()), below(40)));
      }
    }
    auto body = kube::parse_body(text, i % 3 ? "application/json" : "application/yaml");
    if (!body.object) {
      EXPECT_NE(body.error.text, "");
      ++unreadable;
      continue;
    }
    kube::check_metadata(*body.object, "default");
    auto translated = kube::translate_job(*body.object);
    if (!translated.causes.empty()) {
      ++refused;
      continue;
    }
    ++accepted;
    EXPECT_GE(translated.job.tasks, 1);
    EXPECT_GT(translated.job.need.cpus, 0);
  }
  for (int seen : {accepted, refused, unreadable}) EXPECT_GT(seen, 100);
}

TEST(BearerTokens, MatchExactlyAndErrorsOmitSecrets) {
  const std::string secret = "0123456789abcdef";
  const std::string other = "0123456789abcdeg";
  auto token = [](const std::string& name, const std::string& token_secret, const std::string& more = "") {
    return "token { name: '" + name + "' secret: '" + token_secret + "' " + more + " }\n";
  };
  auto tokens =
      kube::BearerTokens::parse(token("a", secret, "reads: 'one' changes: 'two'") + token("b", other), "t");
  const auto* found = tokens.find("Bearer " + secret);
  ASSERT_TRUE(found);
  EXPECT_TRUE(found->reads("one"));
  EXPECT_FALSE(found->changes("one"));
  EXPECT_TRUE(found->reads("two"));
  EXPECT_TRUE(found->changes("two"));
  EXPECT_FALSE(found->reads("three"));
  const auto* other_found = tokens.find("Bearer " + other);
  ASSERT_TRUE(other_found);
  EXPECT_EQ(other_found->name, "b");
  for (const auto& wrong :
       std::vector<std::string>{std::string(""), secret, "Bearer", "Bearer ", "bearer " + secret,
                                "Bearer " + secret + "x", "Bearer " + secret.substr(1), "Basic " + secret,
                                "Bearer " + std::string(300, 'x'), "Bearer " + secret + std::string(1, '\0')})
    EXPECT_FALSE(tokens.find(wrong)) << wrong;
  for (const auto& bad : {std::string(""), token("a", "short"), token("a", secret) + token("a", other),
                          token("a", secret) + token("b", secret), token("", secret),
                          token("a", secret + "'"), "token { secret: '" + secret,
                          token("a", std::string(257, 'x')), token("a", "with a blank in it, long")}) {
    try {
      kube::BearerTokens::parse(bad, "t");
      ADD_FAILURE() << bad;
    } catch (const SettingsError& error) {
      EXPECT_EQ(std::string(error.what()).find(secret), std::string::npos) << error.what();
    }
  }
}

}  // namespace
}  // namespace corkmux

// Jobs of the Kubernetes API: what their fields become, hostile input, and whole controllers with the Python
// client library against the stand-ins.
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include "api.h"
#include "job_translation.h"
#include "loopback_cluster.h"
#include "quantity.h"
#include "selector.h"

extern char** environ;

namespace corkmux {
namespace {

using kube::Json;

TEST(Kube, QuantitiesOfAllPublishedForms) {
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

TEST(Kube, SelectorsChooseWhatTheirTextSays) {
  const std::map<std::string, std::string> labels{{"app", "scan"}, {"corkmux.io/floor", "2"}, {"empty", ""}};
  for (const char* yes :
       {"", "app=scan", "app == scan", "app!=paint", "app in (paint, scan)", "app notin (paint)", "app",
        "!other", "app=scan, corkmux.io/floor=2", "other!=x", "other notin (x)", "empty=", "empty in ()"}) {
    auto s = kube::parse_selector(yes);
    ASSERT_TRUE(s) << yes;
    EXPECT_TRUE(kube::selects(*s, labels)) << yes;
  }
  for (const char* no : {"app=paint", "app!=scan", "app in (paint)", "app notin (scan,x)", "!app", "other",
                         "app=scan,other", "in=x"}) {
    auto s = kube::parse_selector(no);
    ASSERT_TRUE(s) << no;
    EXPECT_FALSE(kube::selects(*s, labels)) << no;
  }
  for (const char* bad :
       {"=x", ",", "app=scan,", "app in scan", "app in (scan", "app ~ x", "a b", "!", "(app)"})
    EXPECT_FALSE(kube::parse_selector(bad)) << bad;
}

TEST(Kube, BodiesCostBoundedWorkWhateverTheyHold) {
  const char* yaml = "application/yaml";
  EXPECT_EQ(kube::parse_body("a: {b: [1, 1.5, '1', yes, null, true]}", yaml).value.dump(),
            R"({"a":{"b":[1,1.5,"1","yes",null,true]}})");
  std::string bomb = "a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n";
  for (int i = 1; i < 9; ++i) {
    bomb += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [";
    for (int k = 0; k < 10; ++k) bomb += (k ? ",*a" : "*a") + std::to_string(i - 1);
    bomb += "]\n";
  }
  EXPECT_EQ(kube::parse_body(bomb, yaml).error, "too many values");
  const std::string deep(100000, '[');
  EXPECT_EQ(kube::parse_body(deep, "").error, "nested too deeply");
  EXPECT_NE(kube::parse_body(deep, yaml).error, "");
  EXPECT_NE(kube::parse_body("{\"a\": \"\xff\"}", "").error, "");
  EXPECT_NE(kube::parse_body("a: \"\\xff\xff\"", yaml).error, "");
  EXPECT_NE(kube::parse_body("a: 1\n---\nb: 2\n", yaml).error, "");
  EXPECT_NE(kube::parse_body("a: 1\na: 2\n", yaml).error, "");
  EXPECT_NE(kube::parse_body("[]", "").error, "");
  EXPECT_NE(kube::parse_body("", "").error, "");
}

Json object(const JobSpec& s) {
  Json notes = {{"corkmux.io/class", s.job_class},
                {"corkmux.io/gang", s.kind == JobKind::Gang ? "true" : "false"},
                {"corkmux.io/one-zone", s.one_zone ? "true" : "false"},
                {"corkmux.io/spread", s.spread ? "true" : "false"},
                {"corkmux.io/image-gb", std::to_string(static_cast<int>(s.image_gb * 1000)) + "m"},
                {"corkmux.io/estimate-s", std::to_string(static_cast<int>(s.estimate_s))},
                {"corkmux.io/checkpoint-s", std::to_string(static_cast<int>(s.checkpoint_s))},
                {"corkmux.io/save-s", std::to_string(static_cast<int>(s.save_s))}};
  if (s.deadline_s) notes["corkmux.io/deadline-s"] = std::to_string(static_cast<int>(*s.deadline_s));
  Json requests = {{"cpu", std::to_string(static_cast<int>(s.need.cpus * 1000)) + "m"},
                   {"memory", std::to_string(static_cast<int>(s.need.memory_gb)) + "G"}};
  if (s.need.gpus > 0) requests["corkmux.io/accelerator"] = static_cast<int>(s.need.gpus);
  static const char* const kPriorities[] = {"low", "normal", "high", "production"};
  Json pod = {
      {"restartPolicy", "Never"},
      {"priorityClassName", kPriorities[static_cast<int>(s.priority)]},
      {"containers", {{{"name", "main"}, {"image", s.image}, {"resources", {{"requests", requests}}}}}}};
  if (s.zone) pod["nodeSelector"]["topology.kubernetes.io/zone"] = *s.zone;
  if (s.types) pod["nodeSelector"]["node.kubernetes.io/instance-type"] = s.types->front();
  if (s.spot) pod["tolerations"] = {{{"key", "corkmux.io/spot"}, {"operator", "Exists"}}};
  return {{"apiVersion", "batch/v1"},
          {"kind", "Job"},
          {"metadata", {{"name", "x"}, {"annotations", notes}}},
          {"spec", {{"completions", s.tasks}, {"parallelism", s.tasks}, {"template", {{"spec", pod}}}}}};
}

JobSpec random_job(std::mt19937& rng) {
  auto up_to = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
  JobSpec s;
  s.job_class = "c" + std::to_string(up_to(5)), s.image = "i" + std::to_string(up_to(5));
  s.kind = up_to(2) ? JobKind::Gang : JobKind::Array, s.priority = static_cast<Priority>(up_to(4));
  s.tasks = 1 + up_to(100), s.need = {0.5 + up_to(16), 1.0 * up_to(3), 1.0 * up_to(60)};
  s.image_gb = up_to(100) / 4.0, s.estimate_s = up_to(1000), s.checkpoint_s = up_to(50), s.save_s = up_to(9);
  if (up_to(2)) s.zone = "a";
  if (up_to(2)) s.types = std::vector<std::string>{"plain"};
  if (up_to(2)) s.deadline_s = up_to(5000);
  s.one_zone = up_to(2), s.spread = !s.one_zone && up_to(2), s.spot = up_to(2);
  return s;
}

// Everything below the interface is fed job specs only: equal specs are placed, ended and explained alike.
TEST(Kube, AJobMeansWhatTheSameNativeSubmissionMeans) {
  std::mt19937 rng(3);
  for (int i = 0; i < 500; ++i) {
    JobSpec native = random_job(rng);
    auto translated = kube::translate_job(object(native));
    ASSERT_TRUE(translated.causes.empty())
        << translated.causes[0].field << ": " << translated.causes[0].message;
    ASSERT_EQ(codec::job_to_wire(translated.job), codec::job_to_wire(native));
  }
}

TEST(Kube, WhatWouldBeDisregardedIsRefusedByName) {
  std::mt19937 rng(3);
  JobSpec spec = random_job(rng);
  spec.tasks = 4;
  const Json good = object(spec);
  const std::string pod = "/spec/template/spec", container = pod + "/containers/0";
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

// Whatever bytes come: an answer, never an exception, and nothing taken that a native submission could not
// say.
TEST(Kube, MangledBodiesAreAnsweredAndNeverWiden) {
  std::mt19937 rng(11);
  auto up_to = [&](std::size_t n) { return static_cast<std::size_t>(rng() % n); };
  const std::string bits =
      "{}[]\":,&*- \n\xff\x01"
      "0e+tfn~";
  int taken = 0, refused = 0, unreadable = 0;
  for (int i = 0; i < 6000; ++i) {
    std::string text = object(random_job(rng)).dump(i % 2 ? -1 : 1);
    for (auto n = 1 + up_to(4); n > 0; --n) {
      auto at = up_to(text.size());
      switch (up_to(4)) {
        case 0:
          text[at] = bits[up_to(bits.size())];
          break;
        case 1:
          text.insert(at, 1, bits[up_to(bits.size())]);
          break;
        case 2:
          text.erase(at, 1 + up_to(8));
          break;
        default:
          text.insert(at, text.substr(up_to(text.size()), up_to(40)));
      }
    }
    auto body = kube::parse_body(text, i % 3 ? "application/json" : "application/yaml");
    if (!body.error.empty()) {
      ++unreadable;
      continue;
    }
    kube::check_metadata(body.value, "default");
    auto t = kube::translate_job(body.value);
    if (!t.causes.empty()) {
      ++refused;
      continue;
    }
    ++taken;
    t.job.id = "run-x", t.job.team = "x";
    EXPECT_GE(t.job.tasks, 1);
    EXPECT_GT(t.job.need.cpus, 0);
  }
  for (int seen : {taken, refused, unreadable}) EXPECT_GT(seen, 100);
}

TEST(Kube, TokensAreFoundWholeAndSayNoSecretWhenWrong) {
  const std::string secret = "0123456789abcdef", other = "0123456789abcdeg";
  auto token = [](const std::string& name, const std::string& s, const std::string& more = "") {
    return "token { name: '" + name + "' secret: '" + s + "' " + more + " }\n";
  };
  auto tokens =
      kube::Tokens::parse(token("a", secret, "reads: 'one' changes: 'two'") + token("b", other), "t");
  const auto* a = tokens.find("Bearer " + secret);
  ASSERT_TRUE(a);
  EXPECT_TRUE(a->reads("one") && !a->changes("one") && a->reads("two") && a->changes("two") &&
              !a->reads("three"));
  EXPECT_EQ(tokens.find("Bearer " + other)->name, "b");
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
      kube::Tokens::parse(bad, "t");
      ADD_FAILURE() << bad;
    } catch (const SettingsError& e) {
      EXPECT_EQ(std::string(e.what()).find(secret), std::string::npos) << e.what();
    }
  }
}

/// One request with a token, on a connection of its own.
class Raw {
 public:
  Raw(Loop& loop, int port, const std::string& method, const std::string& path, const std::string& secret,
      const std::string& body)
      : fd_(::socket(AF_INET, SOCK_STREAM, 0)),
        parser_(http::Parser::Mode::Response, 1 << 20),
        io_(loop, fd_.get(), [this](int) { take(); }) {
    sockaddr_in to{};
    to.sin_family = AF_INET, to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(fd_.get(), reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: x\r\n";
    if (!secret.empty()) text += "Authorization: Bearer " + secret + "\r\n";
    if (!body.empty() && body[0] != '{') text += "Content-Type: application/yaml\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    EXPECT_EQ(::send(fd_.get(), text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    io_.want(EV_READ);
  }
  int status() const { return done_ ? parser_.status : 0; }

 private:
  void take() {
    char bytes[65536];
    auto n = ::recv(fd_.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    done_ = n <= 0 || parser_.feed({bytes, static_cast<std::size_t>(n)}) == http::Parser::State::Done;
    if (done_) io_.want(0);
  }
  http::Fd fd_;
  http::Parser parser_;
  IoWatcher io_;
  bool done_ = false;
};

class KubeSite : public LoopbackCluster {
 protected:
  void serve(const std::string& label, const std::string& tokens = "") {
    Settings settings;
    KubernetesChoices choices{"127.0.0.1:0", {{"default", "x"}, {"second", "x"}}, tokens};
    auto& controller = *controllers.at(label);
    apis[label] = std::make_unique<kube::Api>(loop, settings, choices, controller.state(),
                                              controller.admission(), controller.status_cache());
    apis[label]->start();
    users[label] =
        std::make_unique<http::Client>(loop, "127.0.0.1:" + std::to_string(apis[label]->port()), 8, 100);
  }
  void TearDown() override { users.clear(), apis.clear(); }
  static std::string body(const std::string& name, int tasks = 1) {
    JobSpec s;
    s.job_class = "k", s.image = "i", s.image_gb = 1, s.tasks = tasks, s.need = {4, 0, 4};
    Json o = object(s);
    o["metadata"]["name"] = name;
    return o.dump();
  }
  void send(const std::string& label, const char* method, const std::string& path, const std::string& text,
            std::function<void(http::Result)> then) {
    users.at(label)->request(method, "/apis/batch/v1/namespaces/default/jobs" + path, text, 10,
                             std::move(then));
  }
  std::pair<int, Json> ask(const std::string& label, const char* method, const std::string& path,
                           const std::string& text = "") {
    std::optional<http::Result> result;
    send(label, method, path, text, [&](http::Result r) { result = std::move(r); });
    wait_for([&] { return result.has_value(); });
    return {result ? result->status : 0, result ? Json::parse(result->body, nullptr, false) : Json()};
  }
  void ready(const std::string& label) {
    ASSERT_TRUE(wait_for([&] { return ask(label, "POST", "?dryRun=All", body("probe")).first == 201; }));
  }
  std::size_t stored(const std::string& prefix) {
    std::size_t n = 0;
    for (const auto& [key, value] : state.values()) n += key.rfind(prefix, 0) == 0;
    return n;
  }
  std::map<std::string, std::unique_ptr<kube::Api>> apis;
  std::map<std::string, std::unique_ptr<http::Client>> users;
};

TEST_F(KubeSite, ThePythonClientLibraryWorksUnchanged) {
  start_controller("one");
  serve("one");
  for (int i = 0; i < 3; ++i) add_worker("h-" + std::to_string(i), "a", 0.3);
  ready("one");
  std::string port = std::to_string(apis.at("one")->port());
  const char* argv[] = {"/usr/bin/python3", KUBE_CLIENT, port.c_str(), nullptr};
  pid_t child = 0;
  ASSERT_EQ(posix_spawn(&child, argv[0], nullptr, nullptr, const_cast<char**>(argv), environ), 0);
  int status = -1;
  bool ended = wait_for([&] { return waitpid(child, &status, WNOHANG) == child; }, 60);
  if (!ended) kill(child, SIGKILL), waitpid(child, &status, 0);
  ASSERT_TRUE(ended);
  EXPECT_EQ(status, 0);
}

// An unanswered create may be stored late. Tried again before or after that, it is one job.
// docs/kubernetes.md, "For users", as a user would send it.
TEST_F(KubeSite, TheExampleOfTheUsersPageIsTakenAsYaml) {
  std::ifstream page(KUBERNETES_PAGE);
  std::string yaml;
  for (std::string line; std::getline(page, line);)
    if (line.rfind("    apiVersion:", 0) == 0 || (!yaml.empty() && line.rfind("    ", 0) == 0))
      yaml += line.substr(4) + "\n";
    else if (!yaml.empty())
      break;
  start_controller("one");
  serve("one");
  ready("one");
  Raw raw(loop, apis.at("one")->port(), "POST", "/apis/batch/v1/namespaces/default/jobs", "", yaml);
  ASSERT_TRUE(wait_for([&] { return raw.status() != 0; }));
  EXPECT_EQ(raw.status(), 201) << yaml;
  EXPECT_EQ(ask("one", "GET", "/scan-42").second["spec"]["completions"], 8);
}

// Rights hold per namespace, for reads and for changes; a file that is wrong changes nothing.
TEST_F(KubeSite, TokensDecideWhoMayReadAndChangeWhat) {
  char name[] = "/tmp/corkmux-test-XXXXXX";
  ::close(::mkstemp(name));
  const std::string all = "all-0123456789abcdef", looks = "looks-0123456789abcdef";
  auto write = [&](const std::string& text) { std::ofstream(name) << text; };
  write("token { name: 'all' secret: '" + all + "' changes: 'default' }\ntoken { name: 'looks' secret: '" +
        looks + "' reads: 'default' }");
  start_controller("one");
  serve("one", name);
  auto code = [&](const std::string& method, const std::string& path, const std::string& secret,
                  const std::string& text = "") {
    // The project's client sends no such header.
    Raw raw(loop, apis.at("one")->port(), method, path, secret, text);
    wait_for([&] { return raw.status() != 0; });
    return raw.status();
  };
  const std::string jobs = "/apis/batch/v1/namespaces/default/jobs",
                    second = "/apis/batch/v1/namespaces/second/jobs";
  ASSERT_TRUE(wait_for([&] { return code("POST", jobs, all, body("a")) == 201; }));
  EXPECT_EQ(code("GET", jobs, ""), 401);
  EXPECT_EQ(code("GET", "/apis", "wrong-0123456789abcdef"), 401);
  EXPECT_EQ(code("GET", jobs, looks), 200);
  EXPECT_EQ(code("POST", jobs, looks, body("b")), 403);
  EXPECT_EQ(code("DELETE", jobs + "/a", looks), 403);
  EXPECT_EQ(code("GET", second, all), 403);
  EXPECT_EQ(code("GET", "/readyz", ""), 200);
  write("token { name: 'all' secret: 'short' }");
  EXPECT_TRUE(apis.at("one")->reload_tokens());
  EXPECT_EQ(code("GET", jobs, looks), 200) << "the former ones hold";
  write("token { name: 'all' secret: '" + all + "' changes: 'default' }");
  EXPECT_FALSE(apis.at("one")->reload_tokens());
  EXPECT_EQ(code("GET", jobs, looks), 401) << "taken back";
  EXPECT_EQ(code("DELETE", jobs + "/a", all), 200);
  ::unlink(name);
}

TEST_F(KubeSite, ACreateWithoutAnswerIsStoredOnceAndSaysSoWhenTriedAgain) {
  start_controller("one");
  serve("one");
  add_worker("h-1", "a", 0.3);
  ready("one");
  state.faults.held_prefix = kKubeObjects;
  for (int i = 0; i < 2; ++i) {
    auto [code, status] = ask("one", "POST", "", body("a"));
    EXPECT_EQ(code, 503);
    EXPECT_EQ(status["details"]["retryAfterSeconds"], 1);
  }
  EXPECT_EQ(ask("one", "GET", "/a").first, 404);
  EXPECT_EQ(state.release_held(), (std::vector<int>{200, 409}));
  EXPECT_EQ(ask("one", "POST", "", body("a")).first, 409);
  ASSERT_TRUE(wait_for([&] { return ask("one", "GET", "/a").second["status"].value("succeeded", 0) == 1; }));
  EXPECT_EQ(stored(kKubeObjects), 1u);
  EXPECT_EQ(stored("f/") + stored("a/"), 1u);
}

TEST_F(KubeSite, TheSameCreateThroughTwoControllersAtOnceMakesOneJob) {
  start_controller("one");
  start_controller("two");
  serve("one"), serve("two");
  ready("one"), ready("two");
  for (int round = 0; round < 5; ++round) {
    std::multiset<int> codes;
    for (const char* label : {"one", "two"})
      send(label, "POST", "", body("twice-" + std::to_string(round)),
           [&](http::Result r) { codes.insert(r.status); });
    ASSERT_TRUE(wait_for([&] { return codes.size() == 2; }));
    EXPECT_EQ(codes, (std::multiset<int>{201, 409}));
  }
  EXPECT_EQ(stored(kKubeObjects), 5u);
  EXPECT_EQ(stored("a/"), 5u);
  auto [code, list] = ask("two", "GET", "");
  EXPECT_EQ(code, 200);
  EXPECT_EQ(list["items"].size(), 5u);
}

TEST_F(KubeSite, ADeleteStopsTheTasksAndTheNameIsFreeAgain) {
  start_controller("one");
  start_controller("two");
  serve("one"), serve("two");
  add_worker("h-1", "a", 600);
  ready("one"), ready("two");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  ASSERT_EQ(ask("one", "POST", "", body("long")).first, 201);
  ASSERT_TRUE(
      wait_for([&] { return ask(leader(), "GET", "/long").second["status"].value("ready", 0) == 1; }));
  auto before = ask("two", "GET", "/long").second["metadata"]["uid"];
  EXPECT_EQ(ask("two", "DELETE", "/long").first, 200);
  EXPECT_EQ(ask("one", "GET", "/long").first, 404);
  EXPECT_EQ(stored("f/"), 1u) << "its end is stored with the delete";
  ASSERT_EQ(ask("one", "POST", "", body("long")).first, 201);
  auto after = ask("one", "GET", "/long").second;
  EXPECT_NE(after["metadata"]["uid"], before);
  // The one place is free only once the first one's task was stopped.
  EXPECT_TRUE(
      wait_for([&] { return ask(leader(), "GET", "/long").second["status"].value("ready", 0) == 1; }));
}

TEST_F(KubeSite, WithoutTheStateServiceEveryAnswerIs503AtOnce) {
  start_controller("one");
  serve("one");
  ready("one");
  ASSERT_EQ(ask("one", "POST", "", body("a")).first, 201);
  state.faults.unavailable = true;
  for (const auto& [method, path] : std::vector<std::pair<const char*, std::string>>{
           {"GET", "/a"}, {"GET", ""}, {"POST", ""}, {"DELETE", "/a"}}) {
    auto [code, status] = ask("one", method, path, *method == 'P' ? body("b") : "");
    EXPECT_EQ(code, 503) << method << path;
    EXPECT_EQ(status["reason"], "ServiceUnavailable");
    EXPECT_EQ(status["details"]["retryAfterSeconds"], 1);
  }
  state.faults.unavailable = false;
  EXPECT_EQ(ask("one", "GET", "/a").first, 200);
  EXPECT_EQ(stored(kKubeObjects), 1u);
}

/// A watch as the wire gives it: the lines of a chunked answer, read from a socket of its own.
class Watcher {
 public:
  Watcher(Loop& loop, int port, const std::string& query, int window = 0)
      : fd_(::socket(AF_INET, SOCK_STREAM, 0)),
        parser_(http::Parser::Mode::Response, 1 << 24),
        io_(loop, fd_.get(), [this](int) { take(); }) {
    if (window) ::setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    sockaddr_in to{};
    to.sin_family = AF_INET, to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(fd_.get(), reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    std::string text =
        "GET /apis/batch/v1/namespaces/default/jobs?watch=true" + query + " HTTP/1.1\r\nHost: x\r\n\r\n";
    EXPECT_EQ(::send(fd_.get(), text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    io_.want(EV_READ);
  }
  /// Type, name and revision of each event but bookmarks.
  std::vector<std::string> events() const {
    std::vector<std::string> out;
    std::istringstream lines(parser_.body);
    for (std::string line; std::getline(lines, line);) {
      Json e = Json::parse(line, nullptr, false);
      if (e.is_discarded() || e["type"] == "BOOKMARK") continue;
      if (e["type"] == "ERROR")
        out.push_back("ERROR " + e["object"].value("reason", ""));
      else
        out.push_back(e["type"].get<std::string>() + " " + e["object"]["metadata"].value("name", ""));
    }
    return out;
  }
  std::string revision() const {  // of the last event
    auto at = parser_.body.rfind("\"resourceVersion\":\"");
    return at == std::string::npos ? ""
                                   : parser_.body.substr(at + 19, parser_.body.find('"', at + 19) - at - 19);
  }
  bool over() const { return over_; }
  const std::string& body() const { return parser_.body; }
  bool begun() const { return !parser_.idle(); }
  std::size_t lines() const {
    return static_cast<std::size_t>(std::count(parser_.body.begin(), parser_.body.end(), '\n'));
  }
  void pause() { io_.want(0); }
  void resume() { io_.want(EV_READ); }

 private:
  void take() {
    char bytes[65536];
    auto n = ::recv(fd_.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (n <= 0 || parser_.feed({bytes, static_cast<std::size_t>(n)}) != http::Parser::State::NeedMore) {
      over_ = true;
      io_.want(0);
    }
  }
  http::Fd fd_;
  http::Parser parser_;
  IoWatcher io_;
  bool over_ = false;
};

using Events = std::vector<std::string>;

// From creation to end and deletion, each once and in order; taken up through another controller where the
// first one stopped, without a gap or a repeat.
TEST_F(KubeSite, AWatchTellsEachChangeOnceAndIsTakenUpThroughAnotherController) {
  start_controller("one");
  start_controller("two");
  serve("one"), serve("two");
  add_worker("h-1", "a", 0.2);
  ready("one"), ready("two");
  ASSERT_EQ(ask("one", "POST", "", body("before")).first, 201);
  Watcher all(loop, apis.at("one")->port(), "");
  ASSERT_TRUE(wait_for([&] { return all.events().size() == 2; })) << all.body();
  EXPECT_EQ(all.events(), (Events{"ADDED before", "MODIFIED before"}));
  EXPECT_NE(all.body().find("\"Complete\""), std::string::npos);

  Watcher there(loop, apis.at("two")->port(), "&resourceVersion=" + all.revision());
  ASSERT_EQ(ask("two", "POST", "", body("next")).first, 201);
  ASSERT_TRUE(wait_for([&] { return all.events().size() == 4 && there.events().size() == 2; }))
      << there.body();
  EXPECT_EQ(there.events(), (Events{"ADDED next", "MODIFIED next"}));
  ASSERT_EQ(ask("one", "DELETE", "/next").first, 200);
  ASSERT_EQ(ask("one", "DELETE", "/before").first, 200);
  ASSERT_TRUE(wait_for([&] { return all.events().size() == 6 && there.events().size() == 4; }));
  EXPECT_EQ(there.events(), (Events{"ADDED next", "MODIFIED next", "DELETED next", "DELETED before"}));
  EXPECT_EQ(all.events(), (Events{"ADDED before", "MODIFIED before", "ADDED next", "MODIFIED next",
                                  "DELETED next", "DELETED before"}));
  // Taken up in the middle: exactly the rest.
  auto line = there.body().substr(0, there.body().find('\n'));
  auto added_at = Json::parse(line)["object"]["metadata"]["resourceVersion"].get<std::string>();
  Watcher rest(loop, apis.at("one")->port(), "&resourceVersion=" + added_at);
  ASSERT_TRUE(wait_for([&] { return rest.events().size() == 3; }));
  EXPECT_EQ(rest.events(), (Events{"MODIFIED next", "DELETED next", "DELETED before"}));
  // An unfinished job that is deleted was not changed before.
  ASSERT_EQ(ask("one", "POST", "", body("gone", 8)).first, 201);
  ASSERT_EQ(ask("one", "DELETE", "/gone").first, 200);
  ASSERT_TRUE(wait_for([&] { return rest.events().size() == 5; }));
  EXPECT_EQ(rest.events()[4], "DELETED gone");
  // Its end is orderly, and so is that of watches whose time is over.
  Watcher brief(loop, apis.at("two")->port(), "&timeoutSeconds=1&resourceVersion=" + rest.revision());
  EXPECT_TRUE(wait_for([&] { return brief.over(); }));
  EXPECT_TRUE(brief.events().empty());
  apis.at("one")->close();
  EXPECT_TRUE(wait_for([&] { return all.over() && rest.over(); }));
}

// Where changes were forgotten a watch says so instead of leaving them out.
TEST_F(KubeSite, AWatchThatMissedChangesEndsAsExpired) {
  start_controller("one");
  serve("one");
  ready("one");
  ASSERT_EQ(ask("one", "POST", "", body("a")).first, 201);
  Watcher w(loop, apis.at("one")->port(), "");
  ASSERT_TRUE(wait_for([&] { return w.events().size() == 1; }));
  state.forget_history();
  state.put(kKubeObjects + "default/jobs/x", Json::object());
  state.forget_history();
  ASSERT_TRUE(wait_for([&] { return w.over(); }));
  EXPECT_EQ(w.events().back(), "ERROR Expired");
  // And after a fresh list everything goes on.
  ASSERT_TRUE(wait_for([&] {
    Watcher again(loop, apis.at("one")->port(), "");
    wait_for([&] { return !again.events().empty(); }, 2);
    return again.events() == Events{"ADDED a"};
  }));
  Watcher old(loop, apis.at("one")->port(), "&resourceVersion=1");
  ASSERT_TRUE(wait_for([&] { return old.over(); }));
  EXPECT_EQ(old.events(), (Events{"ERROR Expired"}));
}

// Memory is bounded whoever does not read; the others lose nothing, and a burst ends nobody who reads.
TEST_F(KubeSite, ASlowReaderIsEndedAndTheOthersGoOn) {
  start_controller("one");
  serve("one");
  ready("one");
  Watcher slow(loop, apis.at("one")->port(), "", 4096), quick(loop, apis.at("one")->port(), "");
  ASSERT_TRUE(wait_for([&] { return slow.begun() && quick.begun(); }));
  slow.pause();
  Json big = Json::parse(body("big"));
  big["metadata"]["annotations"]["note"] = std::string(13000, 'x');
  // Kernels keep some megabytes of what nobody reads; then the history passes it by.
  std::size_t made = 0;
  while (made < 900) {
    for (int i = 0; i < 150; ++i) {
      big["metadata"]["name"] = "big-" + std::to_string(++made);
      ASSERT_EQ(ask("one", "POST", "", big.dump()).first, 201);
    }
    ASSERT_TRUE(wait_for([&] { return quick.lines() == made; }))
        << made << " made, " << quick.lines() << " told";
  }
  EXPECT_FALSE(quick.over());
  slow.resume();
  ASSERT_TRUE(wait_for([&] { return slow.over(); }));
  EXPECT_LT(slow.lines(), made);
  EXPECT_EQ(slow.events().back(), "ERROR Expired");
}

// Guards against requests that end a controller: a null is stored as it was sent, and an error tells a key
// that is not UTF-8.
TEST_F(KubeSite, NullsAndBrokenKeysEndNoController) {
  start_controller("one");
  serve("one");
  ready("one");
  Json object = Json::parse(body("null"));
  object["spec"]["completions"] = nullptr, object["spec"]["parallelism"] = nullptr;
  Watcher all(loop, apis.at("one")->port(), "");
  ASSERT_TRUE(wait_for([&] { return all.begun(); }));
  ASSERT_EQ(ask("one", "POST", "", object.dump()).first, 201);
  ASSERT_TRUE(wait_for([&] { return all.events() == Events{"ADDED null"}; })) << all.body();
  start_controller("two");  // reads it at its start
  serve("two");
  ASSERT_TRUE(wait_for([&] { return ask("two", "GET", "/null").second["spec"]["completions"] == 1; }));
  Raw raw(loop, apis.at("one")->port(), "POST", "/apis/batch/v1/namespaces/default/jobs", "",
          "\xff: 1\n\xff: 2\n");
  ASSERT_TRUE(wait_for([&] { return raw.status() != 0; }));
  EXPECT_EQ(raw.status(), 400);
}

// A list is as long as it is, however the state service cuts it into pages.
TEST_F(KubeSite, ListsAreWholeWhereverAPageEnds) {
  start_controller("one");
  serve("one");
  ready("one");
  std::set<std::string> all;
  for (int i = 0; i < 9; ++i) {
    all.insert("j-" + std::to_string(i));
    ASSERT_EQ(ask("one", "POST", "", body("j-" + std::to_string(i))).first, 201);
  }
  for (std::size_t most : {1, 2, 7, 1000})
    for (const char* limit : {"", "1", "4", "9"}) {
      state.limits.page_items = most;
      std::set<std::string> names;
      std::string from;
      do {
        auto [code, list] = ask("one", "GET", std::string("?limit=") + limit + "&continue=" + from);
        ASSERT_EQ(code, 200);
        for (const auto& j : list["items"]) EXPECT_TRUE(names.insert(j["metadata"]["name"]).second);
        from = list["metadata"].value("continue", "");
      } while (!from.empty());
      EXPECT_EQ(names, all) << most << " items a page, limit " << limit;
    }
}

}  // namespace
}  // namespace corkmux

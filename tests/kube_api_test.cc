// Tests the Kubernetes API of whole controllers: create, read, list, delete, tokens, and the Python client
// library, with the simulated outside systems of `src/simulation/`.
#include <spawn.h>
#include <sys/wait.h>

#include <fstream>
#include <set>

#include "kubernetes_api.h"

extern char** environ;

namespace corkmux {
namespace {

TEST_F(KubernetesApi, PythonClientLibraryWorksUnmodified) {
  start_controller("one");
  serve("one");
  for (int i = 0; i < 3; ++i) add_worker("h-" + std::to_string(i), "a", 0.3);
  wait_until_ready("one");
  std::string port = std::to_string(api_servers.at("one")->port());
  const char* argv[] = {"/usr/bin/python3", KUBE_CLIENT, port.c_str(), nullptr};
  pid_t child = 0;
  ASSERT_EQ(posix_spawn(&child, argv[0], nullptr, nullptr, const_cast<char**>(argv), environ), 0);
  int status = -1;
  bool ended = wait_for([&] { return waitpid(child, &status, WNOHANG) == child; }, 60);
  if (!ended) {
    kill(child, SIGKILL);
    waitpid(child, &status, 0);
  }
  ASSERT_TRUE(ended);
  EXPECT_EQ(status, 0);
}

// Sends the example of docs/kubernetes.md, "For users", as a user would.
TEST_F(KubernetesApi, DocumentedExampleIsAcceptedAsYaml) {
  std::ifstream page(KUBERNETES_PAGE);
  std::string yaml;
  for (std::string line; std::getline(page, line);)
    if (line.rfind("    apiVersion:", 0) == 0 || (!yaml.empty() && line.rfind("    ", 0) == 0))
      yaml += line.substr(4) + "\n";
    else if (!yaml.empty())
      break;
  start_controller("one");
  serve("one");
  wait_until_ready("one");
  RawRequest request(loop, port("one"), "POST", kDefaultJobs, {"", yaml});
  ASSERT_TRUE(wait_for([&] { return request.status() != 0; }));
  EXPECT_EQ(request.status(), 201) << yaml;
  EXPECT_EQ(send_and_wait("one", "GET", "/scan-42").body["spec"]["completions"], 8);
}

// Access is granted per namespace, separately for reads and for changes. An invalid token file changes
// nothing.
TEST_F(KubernetesApi, TokensGrantAccessPerNamespace) {
  char name[] = "/tmp/corkmux-test-XXXXXX";
  ::close(::mkstemp(name));
  const std::string all = "all-0123456789abcdef";
  const std::string reads = "reads-0123456789abcdef";
  auto write = [&](const std::string& text) { std::ofstream(name) << text; };
  write("token { name: 'all' secret: '" + all + "' changes: 'default' }\ntoken { name: 'reads' secret: '" +
        reads + "' reads: 'default' }");
  start_controller("one");
  serve("one", name);
  auto code = [&](const std::string& method, const std::string& path, const std::string& secret,
                  const std::string& text = "") {
    // http::Client sends no Authorization header.
    RawRequest request(loop, port("one"), method, path, {secret, text});
    wait_for([&] { return request.status() != 0; });
    return request.status();
  };
  const std::string jobs = kDefaultJobs;
  const std::string second = "/apis/batch/v1/namespaces/second/jobs";
  ASSERT_TRUE(wait_for([&] { return code("POST", jobs, all, body("a")) == 201; }));
  EXPECT_EQ(code("GET", jobs, ""), 401);
  EXPECT_EQ(code("GET", "/apis", "wrong-0123456789abcdef"), 401);
  EXPECT_EQ(code("GET", jobs, reads), 200);
  EXPECT_EQ(code("POST", jobs, reads, body("b")), 403);
  EXPECT_EQ(code("DELETE", jobs + "/a", reads), 403);
  EXPECT_EQ(code("GET", second, all), 403);
  EXPECT_EQ(code("GET", "/readyz", ""), 200);
  write("token { name: 'all' secret: 'short' }");
  EXPECT_TRUE(api_servers.at("one")->reload_tokens());
  EXPECT_EQ(code("GET", jobs, reads), 200) << "the former tokens hold";
  write("token { name: 'all' secret: '" + all + "' changes: 'default' }");
  EXPECT_FALSE(api_servers.at("one")->reload_tokens());
  EXPECT_EQ(code("GET", jobs, reads), 401) << "the token was taken back";
  EXPECT_EQ(code("DELETE", jobs + "/a", all), 200);
  ::unlink(name);
}

// An unanswered create may be stored late. A retry before or after that must not create a second job.
TEST_F(KubernetesApi, UnansweredCreateIsStoredOnceAndRetryConflicts) {
  start_controller("one");
  serve("one");
  add_worker("h-1", "a", 0.3);
  wait_until_ready("one");
  state.faults.held_prefix = kKubeObjects;
  for (int i = 0; i < 2; ++i) {
    auto [code, status] = send_and_wait("one", "POST", "", body("a"));
    EXPECT_EQ(code, 503);
    EXPECT_EQ(status["details"]["retryAfterSeconds"], 1);
  }
  EXPECT_EQ(send_and_wait("one", "GET", "/a").code, 404);
  EXPECT_EQ(state.release_held(), (std::vector<int>{200, 409}));
  EXPECT_EQ(send_and_wait("one", "POST", "", body("a")).code, 409);
  ASSERT_TRUE(
      wait_for([&] { return send_and_wait("one", "GET", "/a").body["status"].value("succeeded", 0) == 1; }));
  EXPECT_EQ(count_records(kKubeObjects), 1u);
  EXPECT_EQ(count_records("f/") + count_records("a/"), 1u);
}

TEST_F(KubernetesApi, ConcurrentCreatesOnTwoControllersStoreOneJob) {
  start_controller("one");
  start_controller("two");
  serve("one");
  serve("two");
  wait_until_ready("one");
  wait_until_ready("two");
  for (int round = 0; round < 5; ++round) {
    std::multiset<int> codes;
    for (const char* label : {"one", "two"})
      send(label, "POST", "", body("twice-" + std::to_string(round)),
           [&](http::Result reply) { codes.insert(reply.status); });
    ASSERT_TRUE(wait_for([&] { return codes.size() == 2; }));
    EXPECT_EQ(codes, (std::multiset<int>{201, 409}));
  }
  EXPECT_EQ(count_records(kKubeObjects), 5u);
  EXPECT_EQ(count_records("a/"), 5u);
  auto [code, list] = send_and_wait("two", "GET", "");
  EXPECT_EQ(code, 200);
  EXPECT_EQ(list["items"].size(), 5u);
}

TEST_F(KubernetesApi, DeleteStopsTasksAndFreesTheName) {
  start_controller("one");
  start_controller("two");
  serve("one");
  serve("two");
  add_worker("h-1", "a", 600);
  wait_until_ready("one");
  wait_until_ready("two");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  ASSERT_EQ(send_and_wait("one", "POST", "", body("long")).code, 201);
  ASSERT_TRUE(wait_for(
      [&] { return send_and_wait(leader(), "GET", "/long").body["status"].value("ready", 0) == 1; }));
  auto before = send_and_wait("two", "GET", "/long").body["metadata"]["uid"];
  EXPECT_EQ(send_and_wait("two", "DELETE", "/long").code, 200);
  EXPECT_EQ(send_and_wait("one", "GET", "/long").code, 404);
  EXPECT_EQ(count_records("f/"), 1u) << "the outcome is stored with the delete";
  ASSERT_EQ(send_and_wait("one", "POST", "", body("long")).code, 201);
  auto after = send_and_wait("one", "GET", "/long").body;
  EXPECT_NE(after["metadata"]["uid"], before);
  // The only slot becomes free once the first job's task is stopped.
  EXPECT_TRUE(wait_for(
      [&] { return send_and_wait(leader(), "GET", "/long").body["status"].value("ready", 0) == 1; }));
}

TEST_F(KubernetesApi, UnavailableStateStoreGives503Immediately) {
  start_controller("one");
  serve("one");
  wait_until_ready("one");
  ASSERT_EQ(send_and_wait("one", "POST", "", body("a")).code, 201);
  state.faults.unavailable = true;
  for (const auto& [method, path] : std::vector<std::pair<const char*, std::string>>{
           {"GET", "/a"}, {"GET", ""}, {"POST", ""}, {"DELETE", "/a"}}) {
    auto [code, status] = send_and_wait("one", method, path, *method == 'P' ? body("b") : "");
    EXPECT_EQ(code, 503) << method << path;
    EXPECT_EQ(status["reason"], "ServiceUnavailable");
    EXPECT_EQ(status["details"]["retryAfterSeconds"], 1);
  }
  state.faults.unavailable = false;
  EXPECT_EQ(send_and_wait("one", "GET", "/a").code, 200);
  EXPECT_EQ(count_records(kKubeObjects), 1u);
}

// A list is complete, however the state store splits it into pages.
TEST_F(KubernetesApi, ListsAreCompleteAtAnyPageBoundary) {
  start_controller("one");
  serve("one");
  wait_until_ready("one");
  std::set<std::string> all;
  for (int i = 0; i < 9; ++i) {
    all.insert("j-" + std::to_string(i));
    ASSERT_EQ(send_and_wait("one", "POST", "", body("j-" + std::to_string(i))).code, 201);
  }
  for (std::size_t page_items : {1, 2, 7, 1000})
    for (const char* limit : {"", "1", "4", "9"}) {
      state.limits.page_items = page_items;
      std::set<std::string> names;
      std::string continue_token;
      do {
        auto [code, list] =
            send_and_wait("one", "GET", std::string("?limit=") + limit + "&continue=" + continue_token);
        ASSERT_EQ(code, 200);
        for (const auto& job : list["items"]) EXPECT_TRUE(names.insert(job["metadata"]["name"]).second);
        continue_token = list["metadata"].value("continue", "");
      } while (!continue_token.empty());
      EXPECT_EQ(names, all) << page_items << " items a page, limit " << limit;
    }
}

}  // namespace
}  // namespace corkmux

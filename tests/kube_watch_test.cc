// Tests watches of the Kubernetes API: each change is sent once and in order, memory is bounded, and watches
// end cleanly.
#include "kubernetes_api.h"

namespace corkmux {
namespace {

using Events = std::vector<std::string>;

// A watch sends creation, end and deletion of a job, each once and in order. Another controller resumes it
// where the first one stopped, without a gap or a repeat.
TEST_F(KubernetesApi, WatchSendsEachChangeOnceAndResumesOnAnotherController) {
  start_controller("one");
  start_controller("two");
  serve("one");
  serve("two");
  add_worker("h-1", "a", 0.2);
  wait_until_ready("one");
  wait_until_ready("two");
  ASSERT_EQ(send_and_wait("one", "POST", "", body("before")).code, 201);
  WatchClient all(loop, port("one"), "");
  ASSERT_TRUE(wait_for([&] { return all.events().size() == 2; })) << all.body();
  EXPECT_EQ(all.events(), (Events{"ADDED before", "MODIFIED before"}));
  EXPECT_NE(all.body().find("\"Complete\""), std::string::npos);

  WatchClient resumed(loop, port("two"), "&resourceVersion=" + all.revision());
  ASSERT_EQ(send_and_wait("two", "POST", "", body("next")).code, 201);
  ASSERT_TRUE(wait_for([&] { return all.events().size() == 4 && resumed.events().size() == 2; }))
      << resumed.body();
  EXPECT_EQ(resumed.events(), (Events{"ADDED next", "MODIFIED next"}));
  ASSERT_EQ(send_and_wait("one", "DELETE", "/next").code, 200);
  ASSERT_EQ(send_and_wait("one", "DELETE", "/before").code, 200);
  ASSERT_TRUE(wait_for([&] { return all.events().size() == 6 && resumed.events().size() == 4; }));
  EXPECT_EQ(resumed.events(), (Events{"ADDED next", "MODIFIED next", "DELETED next", "DELETED before"}));
  EXPECT_EQ(all.events(), (Events{"ADDED before", "MODIFIED before", "ADDED next", "MODIFIED next",
                                  "DELETED next", "DELETED before"}));
  // A watch resumed in the middle of the history gets exactly the remaining events.
  auto line = resumed.body().substr(0, resumed.body().find('\n'));
  auto added_at = Json::parse(line)["object"]["metadata"]["resourceVersion"].get<std::string>();
  WatchClient rest(loop, port("one"), "&resourceVersion=" + added_at);
  ASSERT_TRUE(wait_for([&] { return rest.events().size() == 3; }));
  EXPECT_EQ(rest.events(), (Events{"MODIFIED next", "DELETED next", "DELETED before"}));
  // The deletion of an unfinished job sends no MODIFIED event before the DELETED event.
  ASSERT_EQ(send_and_wait("one", "POST", "", body("gone", 8)).code, 201);
  ASSERT_EQ(send_and_wait("one", "DELETE", "/gone").code, 200);
  ASSERT_TRUE(wait_for([&] { return rest.events().size() == 5; }));
  EXPECT_EQ(rest.events()[4], "DELETED gone");
  // A watch ends cleanly at its timeout, and when the API server closes.
  WatchClient brief(loop, port("two"), "&timeoutSeconds=1&resourceVersion=" + rest.revision());
  EXPECT_TRUE(wait_for([&] { return brief.finished(); }));
  EXPECT_TRUE(brief.events().empty());
  api_servers.at("one")->close();
  EXPECT_TRUE(wait_for([&] { return all.finished() && rest.finished(); }));
}

// If the state store no longer has some changes, the watch ends with an error instead of omitting them.
TEST_F(KubernetesApi, WatchThatMissedChangesExpires) {
  start_controller("one");
  serve("one");
  wait_until_ready("one");
  ASSERT_EQ(send_and_wait("one", "POST", "", body("a")).code, 201);
  WatchClient watch(loop, port("one"), "");
  ASSERT_TRUE(wait_for([&] { return watch.events().size() == 1; }));
  state.forget_history();
  state.put(kKubeObjects + "default/jobs/x", Json::object());
  state.forget_history();
  ASSERT_TRUE(wait_for([&] { return watch.finished(); }));
  EXPECT_EQ(watch.events().back(), "ERROR Expired");
  // After a new list, watches work again.
  ASSERT_TRUE(wait_for([&] {
    WatchClient again(loop, port("one"), "");
    wait_for([&] { return !again.events().empty(); }, 2);
    return again.events() == Events{"ADDED a"};
  }));
  WatchClient old(loop, port("one"), "&resourceVersion=1");
  ASSERT_TRUE(wait_for([&] { return old.finished(); }));
  EXPECT_EQ(old.events(), (Events{"ERROR Expired"}));
}

// Memory stays bounded if a client does not read. Other clients lose no events, and a burst of changes does
// not end the watch of a client that reads.
TEST_F(KubernetesApi, SlowWatchExpiresAndOthersContinue) {
  start_controller("one");
  serve("one");
  wait_until_ready("one");
  WatchClient slow(loop, port("one"), "", 4096);
  WatchClient fast(loop, port("one"), "");
  ASSERT_TRUE(wait_for([&] { return slow.started() && fast.started(); }));
  slow.pause();
  Json big = Json::parse(body("big"));
  big["metadata"]["annotations"]["note"] = std::string(13000, 'x');
  // The kernel buffers some megabytes for a client that does not read; after that, the client falls behind
  // the history.
  std::size_t created = 0;
  while (created < 900) {
    for (int i = 0; i < 150; ++i) {
      big["metadata"]["name"] = "big-" + std::to_string(++created);
      ASSERT_EQ(send_and_wait("one", "POST", "", big.dump()).code, 201);
    }
    ASSERT_TRUE(wait_for([&] { return fast.lines() == created; }))
        << created << " created, " << fast.lines() << " told";
  }
  EXPECT_FALSE(fast.finished());
  slow.resume();
  ASSERT_TRUE(wait_for([&] { return slow.finished(); }));
  EXPECT_LT(slow.lines(), created);
  EXPECT_EQ(slow.events().back(), "ERROR Expired");
}

// Guards against requests that crash a controller: a null field is stored as submitted, and an error quotes a
// key that is not UTF-8.
TEST_F(KubernetesApi, NullsAndInvalidUtf8KeysCrashNoController) {
  start_controller("one");
  serve("one");
  wait_until_ready("one");
  Json object = Json::parse(body("null"));
  object["spec"]["completions"] = nullptr;
  object["spec"]["parallelism"] = nullptr;
  WatchClient all(loop, port("one"), "");
  ASSERT_TRUE(wait_for([&] { return all.started(); }));
  ASSERT_EQ(send_and_wait("one", "POST", "", object.dump()).code, 201);
  ASSERT_TRUE(wait_for([&] { return all.events() == Events{"ADDED null"}; })) << all.body();
  start_controller("two");  // loads the object at its start
  serve("two");
  ASSERT_TRUE(
      wait_for([&] { return send_and_wait("two", "GET", "/null").body["spec"]["completions"] == 1; }));
  RawRequest request(loop, port("one"), "POST", kDefaultJobs, {"", "\xff: 1\n\xff: 2\n"});
  ASSERT_TRUE(wait_for([&] { return request.status() != 0; }));
  EXPECT_EQ(request.status(), 400);
}

}  // namespace
}  // namespace corkmux

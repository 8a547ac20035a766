// Watches of the Kubernetes API: each change once and in order, bounded memory, orderly ends.
#include "kubernetes_api.h"

namespace corkmux {
namespace {

using Events = std::vector<std::string>;

// From creation to end and deletion, each once and in order; taken up through another controller where the
// first one stopped, without a gap or a repeat.
TEST_F(KubernetesApi, AWatchTellsEachChangeOnceAndIsTakenUpThroughAnotherController) {
  start_controller("one");
  start_controller("two");
  serve("one");
  serve("two");
  add_worker("h-1", "a", 0.2);
  wait_until_ready("one");
  wait_until_ready("two");
  ASSERT_EQ(ask("one", "POST", "", body("before")).code, 201);
  WatchClient all(loop, port("one"), "");
  ASSERT_TRUE(wait_for([&] { return all.events().size() == 2; })) << all.body();
  EXPECT_EQ(all.events(), (Events{"ADDED before", "MODIFIED before"}));
  EXPECT_NE(all.body().find("\"Complete\""), std::string::npos);

  WatchClient there(loop, port("two"), "&resourceVersion=" + all.revision());
  ASSERT_EQ(ask("two", "POST", "", body("next")).code, 201);
  ASSERT_TRUE(wait_for([&] { return all.events().size() == 4 && there.events().size() == 2; }))
      << there.body();
  EXPECT_EQ(there.events(), (Events{"ADDED next", "MODIFIED next"}));
  ASSERT_EQ(ask("one", "DELETE", "/next").code, 200);
  ASSERT_EQ(ask("one", "DELETE", "/before").code, 200);
  ASSERT_TRUE(wait_for([&] { return all.events().size() == 6 && there.events().size() == 4; }));
  EXPECT_EQ(there.events(), (Events{"ADDED next", "MODIFIED next", "DELETED next", "DELETED before"}));
  EXPECT_EQ(all.events(), (Events{"ADDED before", "MODIFIED before", "ADDED next", "MODIFIED next",
                                  "DELETED next", "DELETED before"}));
  // Taken up in the middle: exactly the rest.
  auto line = there.body().substr(0, there.body().find('\n'));
  auto added_at = Json::parse(line)["object"]["metadata"]["resourceVersion"].get<std::string>();
  WatchClient rest(loop, port("one"), "&resourceVersion=" + added_at);
  ASSERT_TRUE(wait_for([&] { return rest.events().size() == 3; }));
  EXPECT_EQ(rest.events(), (Events{"MODIFIED next", "DELETED next", "DELETED before"}));
  // An unfinished job that is deleted was not changed before.
  ASSERT_EQ(ask("one", "POST", "", body("gone", 8)).code, 201);
  ASSERT_EQ(ask("one", "DELETE", "/gone").code, 200);
  ASSERT_TRUE(wait_for([&] { return rest.events().size() == 5; }));
  EXPECT_EQ(rest.events()[4], "DELETED gone");
  // Its end is orderly, and so is that of watches whose time is over.
  WatchClient brief(loop, port("two"), "&timeoutSeconds=1&resourceVersion=" + rest.revision());
  EXPECT_TRUE(wait_for([&] { return brief.over(); }));
  EXPECT_TRUE(brief.events().empty());
  apis.at("one")->close();
  EXPECT_TRUE(wait_for([&] { return all.over() && rest.over(); }));
}

// Where changes were forgotten a watch says so instead of leaving them out.
TEST_F(KubernetesApi, AWatchThatMissedChangesEndsAsExpired) {
  start_controller("one");
  serve("one");
  wait_until_ready("one");
  ASSERT_EQ(ask("one", "POST", "", body("a")).code, 201);
  WatchClient watch(loop, port("one"), "");
  ASSERT_TRUE(wait_for([&] { return watch.events().size() == 1; }));
  state.forget_history();
  state.put(kKubeObjects + "default/jobs/x", Json::object());
  state.forget_history();
  ASSERT_TRUE(wait_for([&] { return watch.over(); }));
  EXPECT_EQ(watch.events().back(), "ERROR Expired");
  // And after a fresh list everything goes on.
  ASSERT_TRUE(wait_for([&] {
    WatchClient again(loop, port("one"), "");
    wait_for([&] { return !again.events().empty(); }, 2);
    return again.events() == Events{"ADDED a"};
  }));
  WatchClient old(loop, port("one"), "&resourceVersion=1");
  ASSERT_TRUE(wait_for([&] { return old.over(); }));
  EXPECT_EQ(old.events(), (Events{"ERROR Expired"}));
}

// Memory is bounded whoever does not read; the others lose nothing, and a burst ends nobody who reads.
TEST_F(KubernetesApi, ASlowReaderIsEndedAndTheOthersGoOn) {
  start_controller("one");
  serve("one");
  wait_until_ready("one");
  WatchClient slow(loop, port("one"), "", 4096);
  WatchClient quick(loop, port("one"), "");
  ASSERT_TRUE(wait_for([&] { return slow.begun() && quick.begun(); }));
  slow.pause();
  Json big = Json::parse(body("big"));
  big["metadata"]["annotations"]["note"] = std::string(13000, 'x');
  // Kernels keep some megabytes of what nobody reads; then the history passes it by.
  std::size_t made = 0;
  while (made < 900) {
    for (int i = 0; i < 150; ++i) {
      big["metadata"]["name"] = "big-" + std::to_string(++made);
      ASSERT_EQ(ask("one", "POST", "", big.dump()).code, 201);
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
TEST_F(KubernetesApi, NullsAndBrokenKeysEndNoController) {
  start_controller("one");
  serve("one");
  wait_until_ready("one");
  Json object = Json::parse(body("null"));
  object["spec"]["completions"] = nullptr;
  object["spec"]["parallelism"] = nullptr;
  WatchClient all(loop, port("one"), "");
  ASSERT_TRUE(wait_for([&] { return all.begun(); }));
  ASSERT_EQ(ask("one", "POST", "", object.dump()).code, 201);
  ASSERT_TRUE(wait_for([&] { return all.events() == Events{"ADDED null"}; })) << all.body();
  start_controller("two");  // reads it at its start
  serve("two");
  ASSERT_TRUE(wait_for([&] { return ask("two", "GET", "/null").body["spec"]["completions"] == 1; }));
  RawRequest request(loop, port("one"), "POST", kDefaultJobs, {"", "\xff: 1\n\xff: 2\n"});
  ASSERT_TRUE(wait_for([&] { return request.status() != 0; }));
  EXPECT_EQ(request.status(), 400);
}

}  // namespace
}  // namespace corkmux

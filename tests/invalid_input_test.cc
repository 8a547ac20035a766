// Invalid input from users, workers, the cloud, peers and the state store: each is refused by itself, and the
// controller goes on.
#include <random>

#include "cloud_codec.h"
#include "dependency_barrier_record.h"
#include "fanin_messages.h"
#include "job_record.h"
#include "leader_record.h"
#include "lease_proxy_record.h"
#include "loopback_cluster.h"
#include "record_format_declaration.h"
#include "relay_record.h"
#include "scheduler_fixture.h"
#include "sync_message.h"

namespace corkmux {
namespace {

const std::string kLatin1 = "img-\xc9vora";

// The bytes of a submission whose fields each hold text in Latin-1, as a user's client may send them.
std::vector<std::string> submissions_in_latin1(const Json& valid) {
  std::vector<std::string> out;
  for (const char* field : {"bundle", "troupe", "crew", "room", "ref", "note"}) {
    Json job = valid;
    job[field] = kLatin1;
    out.push_back(codec::pack(job));
  }
  Json job = valid;
  job["builds"] = {"g8", kLatin1};
  out.push_back(codec::pack(job));
  job = valid;
  job[kLatin1] = 1;
  out.push_back(codec::pack(job));
  return out;
}

// Guards against controllers that end by themselves (review case 2): one submission with a text that is not
// UTF-8 ended every controller that got it.
TEST_F(LoopbackCluster, ASubmissionThatIsNotUtf8IsRefusedAndTheControllerGoesOn) {
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  add_worker("n-1", "a", 0.3);
  for (const std::string& body : submissions_in_latin1(job("run-1")))
    EXPECT_EQ(call("one", "POST", "/work", body).status, 400);
  EXPECT_FALSE(state.values().contains("a/run-1"));
  Json valid = job("run-1");
  valid["bundle"] = "img-\xc3\x89vora";
  EXPECT_EQ(submit("one", valid), 201);
  EXPECT_TRUE(wait_for([&] { return phase("one", "run-1") == "done"; }));
}

// Guards against a controller that ends because of one worker's heartbeat: its address was not checked before
// the first command was sent there.
TEST_F(LoopbackCluster, AHeartbeatWithAnInvalidFieldIsRefusedAndTheControllerGoesOn) {
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  const Json valid = {{"host", "n-9"},       {"address", "127.0.0.1:1"},
                      {"build", "g8"},       {"room", "a"},
                      {"lendable", false},   {"watch", 1},
                      {"tick", 1},           {"baton", 0},
                      {"warningS", nullptr}, {"parts", Json::array()}};
  for (const auto& [field, value] : std::vector<std::pair<std::string, Json>>{{"address", "nowhere"},
                                                                              {"address", "127.0.0.1:99999"},
                                                                              {"address", "10.0.0.1"},
                                                                              {"host", kLatin1},
                                                                              {"room", kLatin1}}) {
    Json heartbeat = valid;
    heartbeat[field] = value;
    EXPECT_EQ(call("one", "POST", "/v1/report", codec::pack(heartbeat)).status, 400) << field;
  }
  Json heartbeat = valid;
  heartbeat["warningS"] = 1e300;
  EXPECT_EQ(call("one", "POST", "/v1/report", codec::pack(heartbeat)).status, 200);
  EXPECT_EQ(call("one", "GET", "/ready", "").status, 200);
}

// Guards against a leader that cannot load, or ends, because of one malformed record: only the job that the
// record belongs to is not started.
TEST_F(LoopbackCluster, MalformedStoredRecordsStopNoOtherJob) {
  const Json malformed[] = {Json("text"), Json::array(),
                            Json{{"f", "2"}, {"t", 7}, {"z", 1}, {"c", "x"}, {"n", -1}},
                            Json{{"f", 2}, {"n", 1}, {"t", {{"n-1", 1, 9, 5, "0"}}}}, Json{{"d", {{"a"}}}}};
  int number = 10;
  for (const Json& value : malformed)
    for (const char* prefix : {"t/", "s/"}) {
      const std::string id = "run-" + std::to_string(++number);
      state.put("a/" + id, {{"j", codec::job_to_wire(*codec::parse_job(job(id)).job)}, {"c", 0}});
      state.put(prefix + id + (prefix[0] == 't' ? "/000000" : "/0"), value);
    }
  int key = 0;
  for (const Json& value : malformed)
    for (const char* prefix :
         {"a/run-x", "f/run-x", "k/c", "v/c", "m/one/c/", "t/", "s/run-1/x", "t/run-1/99999999999"})
      state.put(prefix + std::to_string(++key), value);
  state.put("settled", "text");
  state.put("catalog", "text");
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  add_worker("n-1", "a", 0.3);
  EXPECT_EQ(submit("one", job("run-1")), 201);
  EXPECT_TRUE(wait_for([&] { return phase("one", "run-1") == "done"; }));
  EXPECT_EQ(phase("one", "run-11"), "queued") << "its tasks may be on a machine that its record would name";
  EXPECT_FALSE(starts.contains("run-11/0"));
  EXPECT_EQ(call("one", "POST", "/work/run-11/withdraw", "").status, 200);
}

// Guards against the end of a controller by an exception that nobody foresaw: the term ends, since its state
// may be incomplete, and the next one loads it anew.
TEST_F(LoopbackCluster, AnExceptionInAHandlerEndsTheTermAndNotTheController) {
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  add_worker("n-1", "a", 0.3);
  loop.on_exception([this](const std::exception&) { controllers.at("one")->handler_failed(); });
  loop.post([] { throw std::runtime_error("unforeseen"); });
  ASSERT_TRUE(wait_for([&] { return leader().empty(); }));
  ASSERT_TRUE(wait_for([&] { return !leader().empty(); }));
  EXPECT_EQ(state.value("leader")["term"], 2);
  EXPECT_EQ(submit("one", job("run-1")), 201);
  EXPECT_TRUE(wait_for([&] { return phase("one", "run-1") == "done"; }));
}

struct HandlerExceptions : LoopTest {};

TEST_F(HandlerExceptions, LeaveTheLoopRunningWhereverTheyComeFrom) {
  std::vector<std::string> errors;
  loop.on_exception([&](const std::exception& error) { errors.emplace_back(error.what()); });
  loop.post([] { throw std::runtime_error("message"); });
  bool later_message_ran = false;
  loop.post([&] { later_message_ran = true; });
  loop.call_later(0.01, [] { throw std::runtime_error("delayed call"); });
  Timer timer(loop);
  timer.once(0.02, [] { throw std::runtime_error("timer"); });
  int pipe_ends[2];
  ASSERT_EQ(::pipe(pipe_ends), 0);
  IoWatcher watcher(loop, pipe_ends[1], [&](int) {
    watcher.set_events(0);
    throw std::runtime_error("descriptor");
  });
  watcher.set_events(EV_WRITE);
  EXPECT_TRUE(wait_for([&] { return errors.size() == 4; }));
  std::sort(errors.begin(), errors.end());
  EXPECT_EQ(errors, (std::vector<std::string>{"delayed call", "descriptor", "message", "timer"}));
  EXPECT_TRUE(later_message_ran);
}

TEST_F(HandlerExceptions, AnswerTheRequestThatCausesThemWith500) {
  spdlog::set_level(spdlog::level::off);
  http::Server server(loop, "127.0.0.1:0", 10, [&](http::Server::ConnectionId, const http::Request& request) {
    if (request.target == "/fail") throw std::runtime_error("unforeseen");
  });
  http::Client client(loop, "127.0.0.1:" + std::to_string(server.port()), 1, 10);
  int status = 0;
  client.request("GET", "/fail", "", 5, [&](const http::Result& result) { status = result.status; });
  EXPECT_TRUE(wait_for([&] { return status == 500; }));
}

TEST(InvalidText, OnlyUtf8IsRead) {
  for (const char* valid : {"", "plain", "\xc3\x89vora", "\xe2\x82\xac", "\xf0\x9f\x8d\x80", "\xed\x9f\xbf"})
    EXPECT_TRUE(codec::unpack(codec::pack(Json{{"bundle", valid}}))) << valid;
  for (const char* invalid : {"\xc9vora", "\x80", "\xc3", "\xc0\xaf", "\xe2\x82", "\xed\xa0\x80",
                              "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "\xff"}) {
    const std::string bytes = codec::pack(Json{{"bundle", invalid}, {"parts", 3}, {"list", {invalid, 1}}});
    EXPECT_FALSE(codec::unpack(bytes)) << invalid;
    const auto answer = codec::unpack_answer(bytes);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->dump(), R"({"bundle":null,"list":[null,1],"parts":3})");
    EXPECT_GT(codec::json_size(Json(invalid)), 0u);
  }
}

// One machine or type that the cloud names badly must not hide the others.
TEST(InvalidText, OfTheCloudHidesNoOtherItem) {
  const auto types = codec::parse_catalog(*codec::unpack_answer(codec::pack(
      {{"builds",
        {{{"label", kLatin1}}, {{"label", "g8"}, {"vcpus", std::nan("")}, {"memGb", 1e300}}, 7}}})));
  ASSERT_EQ(types.size(), 1u);
  EXPECT_EQ(types[0].size.cpus, 0);
  EXPECT_EQ(types[0].size.memory_gb, 0);
  const auto list = codec::parse_machines(*codec::unpack_answer(codec::pack(
      {{"hosts",
        {{{"ref", kLatin1}}, {{"ref", "n 1"}}, {{"ref", "n-1"}, {"address", "x"}, {"ageS", -1e300}}}}})));
  ASSERT_EQ(list.machines.size(), 1u);
  EXPECT_EQ(list.machines[0].address, "");
  EXPECT_EQ(list.machines[0].age_s, 0);
}

// A value of any type in any field.
Json random_value(std::mt19937& rng, int depth = 0) {
  switch (rng() % (depth < 3 ? 9 : 7)) {
    case 0:
      return nullptr;
    case 1:
      return true;
    case 2:
      return ~std::uint64_t{0} - rng() % 3;
    case 3:
      return -static_cast<std::int64_t>(rng()) * static_cast<std::int64_t>(rng());
    case 4:
      return (rng() % 2 ? 1e300 : -1e300) * (rng() % 2 ? 1e300 : 1);
    case 5:
      return rng() % 2 ? kLatin1 : std::string("n-1");
    case 6:
      return std::to_string(rng()) + "-" + std::to_string(rng());
    case 7: {
      Json list = Json::array();
      for (std::size_t i = rng() % 6; i > 0; --i) list.push_back(random_value(rng, depth + 1));
      return list;
    }
    default: {
      Json map = Json::object();
      for (const char* name :
           {"j",    "c",    "t",       "x",      "p",        "n",    "f",       "per",    "m",
            "z",    "d",    "i",       "q",      "a",        "s",    "r",       "b",      "label",
            "term", "from", "reports", "orders", "outcomes", "jobs", "cancels", "serving"})
        if (rng() % 2) map[name] = random_value(rng, depth + 1);
      return map;
    }
  }
}

// Guards against a process that ends by a record or message with fields of unexpected types and sizes.
TEST(InvalidInput, StoredRecordsAndMessagesOfAnyContentAreReadWithoutAnException) {
  std::mt19937 rng(7);
  for (int round = 0; round < 20000; ++round) {
    const Json value = random_value(rng);
    const std::string bytes = codec::pack(value);
    SCOPED_TRACE(value.dump(-1, ' ', false, Json::error_handler_t::replace));
    ASSERT_NO_THROW(parse_job_record(value));
    ASSERT_NO_THROW(parse_job_piece(value));
    ASSERT_NO_THROW(parse_job_outcome(value));
    ASSERT_NO_THROW(parse_leader_record(value));
    ASSERT_NO_THROW(parse_term_record(value));
    ASSERT_NO_THROW(parse_lease_proxy_record(value));
    ASSERT_NO_THROW(parse_dependency_barrier(value));
    ASSERT_NO_THROW(parse_record_format_declaration(value));
    ASSERT_NO_THROW(parse_relay_record(value));
    ASSERT_NO_THROW(StoredJobRecord(value).mark_cancelled());
    ASSERT_NO_THROW(StoredJobRecord(value).has_dependencies());
    ASSERT_NO_THROW(StoredJobRecord(value).size());
    ASSERT_NO_THROW(codec::parse_heartbeat(value));
    ASSERT_NO_THROW(codec::expand_heartbeat(value));
    ASSERT_NO_THROW(codec::expand_commands(value));
    ASSERT_NO_THROW(fanin::parse_heartbeats(bytes));
    ASSERT_NO_THROW(fanin::parse_commands(bytes));
    ASSERT_NO_THROW(fanin::parse_answers(bytes));
    ASSERT_NO_THROW(parse_sync_request(bytes));
    ASSERT_NO_THROW(parse_sync_answer(bytes));
    if (round % 20) continue;
    for (const char* key : {"t/run-1/000000", "s/run-1/0", "t/run-1/000256"}) {
      SchedulerConfig config;
      config.zones = {"a"};
      config.teams = {{"x", 8, 0, 8, 0}};
      Scheduler scheduler(config, 1, 0, 1);
      scheduler.upsert_job(array_spec("run-1", "x", 1000, 1), 1, false, 0);
      ASSERT_NO_THROW(scheduler.load_record(key, value, 1));
      ASSERT_NO_THROW(scheduler.records_loaded());
    }
  }
}

}  // namespace
}  // namespace corkmux

#include "codec.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>

namespace corkmux::codec {
namespace {

Json good_job() {
  return {{"ref", "run-000412"}, {"troupe", "train"},  {"crew", "vision"}, {"shape", "group"},
          {"rank", "high"},      {"parts", 16},        {"vcpus", 8.0},     {"accelerators", 1.0},
          {"memGb", 64.0},       {"bundle", "img-07"}, {"imageGb", 6.2},   {"builds", {"g8"}},
          {"room", nullptr},     {"together", true},   {"spread", false},  {"lendable", true},
          {"guessS", 240.0},     {"bookmarkS", 30.0},  {"stashS", 4.0},    {"dueS", 900.0}};
}

TEST(Job, RoundTripsThroughTheStoredFormat) {
  auto parsed = parse_job(good_job());
  ASSERT_TRUE(parsed.job) << parsed.error.text();
  auto again = parse_job(job_to_wire(*parsed.job));
  ASSERT_TRUE(again.job);
  EXPECT_EQ(job_to_wire(*again.job), job_to_wire(*parsed.job));
  EXPECT_EQ(again.job->kind, JobKind::Gang);
  EXPECT_FALSE(again.job->zone);
}

TEST(Job, RejectsEachMissingOrInvalidFieldAndNamesIt) {
  const auto inf = std::numeric_limits<double>::infinity();
  const std::vector<std::pair<const char*, Json>> bad = {
      {"ref", "job-1"},     {"ref", "run-../../x"},  {"ref", "run-a b"},  {"troupe", ""},
      {"crew", 3},          {"shape", "circle"},     {"rank", "top"},     {"parts", 0},
      {"parts", -1},        {"parts", 100001},       {"parts", 1.5},      {"parts", UINT64_MAX},
      {"vcpus", -1.0},      {"vcpus", std::nan("")}, {"memGb", inf},      {"accelerators", "one"},
      {"bundle", nullptr},  {"builds", "g8"},        {"builds", {1}},     {"room", 5},
      {"together", 1},      {"spread", nullptr},     {"lendable", "yes"}, {"guessS", -0.5},
      {"bookmarkS", 1e300}, {"stashS", nullptr},     {"dueS", "soon"},    {"crew", std::string(500, 'x')}};
  for (const auto& [name, value] : bad) {
    Json job = good_job();
    job[name] = value;
    auto parsed = parse_job(job);
    EXPECT_FALSE(parsed.job) << name << " " << value;
    EXPECT_EQ(parsed.error.text().substr(0, std::string(name).size()), name);
  }
  EXPECT_FALSE(parse_job(Json::array()).job);
  EXPECT_FALSE(parse_job(Json(5)).job);
}

TEST(Unpack, RejectsTruncatedTrailingAndDeeplyNestedInput) {
  auto bytes = pack(good_job());
  EXPECT_TRUE(unpack(bytes));
  for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(unpack(bytes.substr(0, n))) << n;
  EXPECT_FALSE(unpack(bytes + "x"));
  EXPECT_FALSE(unpack(std::string(60000, '\x91')));              // 60,000 nested arrays
  EXPECT_FALSE(unpack(std::string("\xdd\xff\xff\xff\xff", 5)));  // header of an array with 2^32 - 1 elements
  EXPECT_FALSE(unpack(std::string("\xc1", 1)));
}

TEST(Unpack, ToleratesRandomCorruption) {
  std::mt19937 rng(7);
  auto bytes = pack(good_job());
  for (int i = 0; i < 20000; ++i) {
    auto damaged = bytes;
    for (int k = 0; k < 3; ++k) damaged[rng() % damaged.size()] = static_cast<char>(rng());
    if (auto value = unpack(damaged))
      if (auto parsed = parse_job(*value); parsed.job) {
        EXPECT_GE(parsed.job->tasks, 1);
      }
  }
}

TEST(Route, MatchesPathsAndMethods) {
  EXPECT_EQ(route("POST", "/work").route, Route::Submit);
  EXPECT_EQ(route("GET", "/work/run-1").job, "run-1");
  EXPECT_EQ(route("POST", "/work/run-1/withdraw").route, Route::Cancel);
  EXPECT_EQ(route("GET", "/work/run-1/withdraw").route, Route::WrongMethod);
  EXPECT_EQ(route("DELETE", "/work/run-1").route, Route::WrongMethod);
  EXPECT_EQ(route("GET", "/work").route, Route::WrongMethod);
  EXPECT_EQ(route("GET", "/work/a/b").route, Route::None);
  EXPECT_EQ(route("GET", "/").route, Route::None);
}

TEST(Heartbeat, IgnoresUnknownFieldsAndInvalidTasks) {
  Json body = {{"host", "n-1"},
               {"address", "10.0.0.1:9000"},
               {"build", "g8"},
               {"room", "a"},
               {"lendable", true},
               {"watch", 2},
               {"tick", 9},
               {"baton", 41},
               {"warningS", nullptr},
               {"news", 1},
               {"parts",
                {{{"part", "run-1/3"}, {"try", 2}, {"phase", "ended"}, {"cause", "done"}},
                 {{"part", "run-1"}, {"try", 2}, {"phase", "running"}},
                 {{"part", "run-1/99999999999"}, {"try", 2}, {"phase", "running"}},
                 5}}};
  auto r = parse_heartbeat(body);
  ASSERT_TRUE(r);
  ASSERT_EQ(r->tasks.size(), 1u);
  EXPECT_EQ(r->tasks[0].index, 3);
  EXPECT_EQ(r->tasks[0].why, ExitReason::Done);
  EXPECT_FALSE(parse_heartbeat(Json{{"host", 4}}));
}

}  // namespace
}  // namespace corkmux::codec

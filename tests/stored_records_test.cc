// Tests of the stored records that the leader and the controllers share, against the bytes that earlier
// versions wrote and read.
#include <gtest/gtest.h>

#include "dependency_barrier_record.h"
#include "event_loop.h"
#include "job_record.h"
#include "leader_record.h"
#include "lease_proxy_record.h"
#include "record_format_declaration.h"

namespace corkmux {
namespace {

using codec::Json;

TEST(StoredRecords, LeaderAndTerm) {
  EXPECT_EQ(to_json(LeaderRecord{"c2", 7}).dump(), R"({"label":"c2","term":7})");
  auto leader = parse_leader_record(Json::parse(R"({"label":"c3","term":9})"));
  EXPECT_EQ(leader.label, "c3");
  EXPECT_EQ(leader.term, 9u);
  EXPECT_EQ(parse_leader_record(Json::object()).label, "");
  EXPECT_EQ(term_record_to_json(7).dump(), R"({"n":7})");
  EXPECT_EQ(parse_term_record(Json::parse(R"({"n":7})")), 7u);
}

TEST(StoredRecords, RecordFormatDeclaration) {
  EXPECT_EQ(to_json(RecordFormatDeclaration{2, 40}).dump(), R"({"f":2,"per":40})");
  auto declaration = parse_record_format_declaration(Json::parse(R"({"f":2,"per":40})"));
  EXPECT_EQ(declaration.format, 2);
  EXPECT_EQ(declaration.v1_tasks_per_record, 40);
  EXPECT_EQ(reader_of_current_format({"v/c2", Json::parse(R"({"f":2,"per":40})"), 1}), "c2");
  EXPECT_FALSE(reader_of_current_format({"v/c2", Json::parse(R"({"f":1})"), 1}));
  EXPECT_FALSE(reader_of_current_format({"v/c2", Json("text"), 1}));
}

TEST(StoredRecords, LeaseProxy) {
  EXPECT_EQ(to_json(LeaseProxyRecord{{"n-1", "n-2"}, 3}).dump(), R"({"m":["n-1","n-2"],"n":3})");
  EXPECT_EQ(to_json(LeaseProxyRecord{{}, 4}).dump(), R"({"m":[],"n":4})");
  auto record = parse_lease_proxy_record(Json::parse(R"({"m":["n-1",5,"n-2"],"n":3})"));
  EXPECT_EQ(record.machines, (std::vector<std::string>{"n-1", "n-2"}));
  EXPECT_EQ(record.number, 3u);
  EXPECT_TRUE(parse_lease_proxy_record(Json("text")).machines.empty());
}

TEST(StoredRecords, JobOutcome) {
  EXPECT_EQ(to_json(JobOutcomeRecord{"done", 5, 1000.5}).dump(), R"({"n":5,"p":"done","t":1000.5})");
  auto outcome = parse_job_outcome(Json::parse(R"({"n":5,"p":"done","t":1000.5})"));
  EXPECT_EQ(outcome.phase, "done");
  EXPECT_EQ(outcome.tasks_done, 5);
  EXPECT_EQ(outcome.ended_at, 1000.5);
  auto first_version = parse_job_outcome(Json::parse(R"({"n":0,"p":"cancelled"})"));
  EXPECT_EQ(first_version.phase, "cancelled");
  EXPECT_FALSE(first_version.ended_at);
}

TEST(StoredRecords, UnfinishedJob) {
  JobSpec spec;
  spec.id = "run-1";
  spec.job_class = "c";
  spec.team = "x";
  spec.image = "i";
  spec.need = {1, 0, 1};
  Json whole = {{"j", codec::job_to_wire(spec)}, {"c", 1}, {"t", 1000.5}};
  auto job = parse_job_record(whole);
  EXPECT_TRUE(job.holds_spec);
  ASSERT_TRUE(job.spec);
  EXPECT_EQ(job.spec->id, "run-1");
  EXPECT_TRUE(job.cancelled);
  EXPECT_EQ(job.accepted_at, 1000.5);

  auto in_pieces = parse_job_record(Json::parse(R"({"x":2,"c":0,"t":1000.5})"));
  EXPECT_FALSE(in_pieces.holds_spec);
  EXPECT_FALSE(in_pieces.cancelled);
  EXPECT_EQ(parse_job_piece(Json::parse(R"({"x":"text"})")), "text");
  auto joined = parse_joined_spec(codec::job_to_wire(spec).dump());
  ASSERT_TRUE(joined);
  EXPECT_EQ(joined->id, "run-1");
  EXPECT_FALSE(parse_joined_spec("no JSON"));
  EXPECT_TRUE(parse_job_record(Json::parse(R"({"c":1})")).cancelled);

  EXPECT_EQ(job_piece_to_json("text").dump(), R"({"x":"text"})");
  EXPECT_EQ(cancel_mark_to_json().dump(), R"({"c":1})");

  auto unreadable = parse_job_record(Json::parse(R"({"j":{},"c":0})"));
  EXPECT_TRUE(unreadable.holds_spec);
  EXPECT_FALSE(unreadable.spec);
}

TEST(StoredRecords, AJobsRecordAsControllersWriteIt) {
  JobSpec spec;
  spec.id = "run-1";
  auto record = StoredJobRecord::for_new_job(spec);
  EXPECT_EQ(record.json()["j"], codec::job_to_wire(spec));
  EXPECT_EQ(record.json()["c"], 0);
  EXPECT_NEAR(record.json()["t"].get<double>(), wall_now(), 60);
  EXPECT_EQ(record.json().size(), 3u);
  EXPECT_EQ(record.size(), record.json().dump().size());
  EXPECT_EQ(StoredJobRecord::for_new_job_in_pieces(3).json()["x"], 3);

  StoredJobRecord of_newer_version(Json::parse(R"({"c":0,"j":{"ref":"run-1"},"new":[1]})"));
  EXPECT_FALSE(of_newer_version.cancelled());
  of_newer_version.mark_cancelled();
  EXPECT_TRUE(of_newer_version.cancelled());
  EXPECT_EQ(of_newer_version.json().dump(), R"({"c":1,"j":{"ref":"run-1"},"new":[1]})");
}

TEST(StoredRecords, OnlyAWholeRecordShowsThatAJobHasNoDependencies) {
  auto depends = [](const char* text) { return StoredJobRecord(Json::parse(text)).has_dependencies(); };
  EXPECT_FALSE(depends(R"({"j":{"ref":"run-1"},"c":0})"));
  EXPECT_TRUE(depends(R"({"j":{"awaits":["run-0"]},"c":0})"));
  EXPECT_TRUE(depends(R"({"x":2,"c":0})"));
}

TEST(StoredRecords, DependencyBarrier) {
  auto record = dependency_barrier_to_json(steady_now() - 10);
  EXPECT_EQ(record.size(), 1u);
  EXPECT_NEAR(record["t"].get<double>(), wall_now() - 10, 1);
  EXPECT_NEAR(parse_dependency_barrier(record), steady_now() - 10, 1);
  double by_clock_ahead = parse_dependency_barrier(Json{{"t", wall_now() + 100}});
  EXPECT_LE(by_clock_ahead, steady_now()) << "the writer's clock is ahead of the reader's";
}

}  // namespace
}  // namespace corkmux

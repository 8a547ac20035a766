// Stored formats of task records, byte for byte as earlier versions wrote and read them.
#include "task_record_codec.h"

#include <gtest/gtest.h>

namespace corkmux {
namespace {

TEST(TaskRecordCodec, Keys) {
  EXPECT_EQ(task_record_key_v1("run-1", 3), "s/run-1/3");
  EXPECT_EQ(task_record_key_v2("run-1", 256), "t/run-1/000256");
  const auto v1 = parse_task_record_key("s/run-1/3");
  EXPECT_EQ(v1->format, RecordFormat::V1);
  EXPECT_EQ(v1->number, 3);
  const auto v2 = parse_task_record_key("t/run-1/000256");
  EXPECT_EQ(v2->format, RecordFormat::V2);
  EXPECT_EQ(v2->job, "run-1");
  EXPECT_EQ(v2->number, 256);
  EXPECT_FALSE(parse_task_record_key("t/run-1"));
}

TEST(TaskRecordCodec, Bytes) {
  Job job;
  job.tasks_per_record = 256;
  job.phase = {TaskPhase::Done, TaskPhase::Done, TaskPhase::Active, TaskPhase::Done, TaskPhase::Queued};
  ActiveTask& task = job.active[2];
  task.machine = "n-1";
  task.zone = "a";
  task.worker_epoch = 7;
  task.attempt = 5;
  EXPECT_EQ(encode_task_record_v1(job, 0, 5).dump(), R"({"d":[[0,1],[3,3]],"t":{"2":[5,"n-1",7,"a"]}})");
  const auto v1 = *decode_task_record_v1(nlohmann::json::parse(R"({"d":[[0,1]],"t":{"2":[5,"n-1",7,"a"]}})"));
  EXPECT_EQ(v1.done.at(0).last, 1);
  EXPECT_EQ(v1.assignments.at(0).task.attempt, 5u);
  EXPECT_EQ(v1.assignments.at(0).ranges.at(0).first, 2);
  const auto v2 = encode_task_record_v2(job, 1, 4);
  EXPECT_EQ(v2.dump(), R"({"c":256,"d":"0,2","f":2,"n":4,"t":[["n-1",7,0,5,"1"]],"z":["a"]})");
  const auto decoded = *decode_task_record_v2(v2);
  EXPECT_EQ(decoded.done.at(1).first, 2);
  EXPECT_EQ(decoded.assignments.at(0).task.machine, "n-1");
  EXPECT_EQ(decoded.assignments.at(0).task.zone, "a");
  EXPECT_EQ(decoded.assignments.at(0).ranges.at(0).last, 1);
  EXPECT_EQ(task_record_format(v2), 2);
  EXPECT_EQ(task_record_count(v2), 4);
  EXPECT_EQ(task_record_stride(v2, 9), 256);
  EXPECT_EQ(task_record_stride(nlohmann::json::object(), 9), 9);
}

TEST(TaskRecordCodec, RefusesMalformedRecords) {
  for (const char* text :
       {R"({"t":{"2":[5]}})", R"({"t":{"x":[5,"n-1",7,"a"]}})", R"({"t":{"2":[-5,"n-1",7,"a"]}})",
        R"({"d":[[1,0]]})", R"({"d":[[-2000000000,3]]})", R"({"d":[["0",1]]})", R"({"t":[]})", "7"})
    EXPECT_FALSE(decode_task_record_v1(nlohmann::json::parse(text))) << text;
  for (const char* text :
       {R"({"t":[["n-1",7,3,5,"1"]],"z":["a"]})", R"({"t":[["n-1",7,0,5,"1-"]],"z":["a"]})",
        R"({"t":[["n-1",7,0,5,"-1"]],"z":["a"]})", R"({"t":[["n-1",7,0,5,"1;3"]],"z":["a"]})",
        R"({"t":[["",7,0,5,"1"]],"z":["a"]})", R"({"t":[["n-1",7,0,5,1]],"z":["a"]})",
        R"({"d":"99999999999"})", R"({"d":5})", R"({"t":{}})", R"({"z":"a"})", "[]"})
    EXPECT_FALSE(decode_task_record_v2(nlohmann::json::parse(text))) << text;
  for (const char* key : {"t/run-1/0x", "t/run-1/-1", "t/run-1/99999999999", "t/run-1/", "t/run-1"})
    EXPECT_FALSE(parse_task_record_key(key)) << key;
}

}  // namespace
}  // namespace corkmux

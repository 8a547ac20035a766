// The scale run: what its plan says and refuses, jobs that every process computes alike, events of several
// processes in one order, and a run of seconds with the deployed program. Counts and rules, never times.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "event_merger.h"
#include "job_source.h"
#include "scale_test_plan.h"
#include "toml_reader.h"

namespace corkmux::scale_test {
namespace {

std::string small_text() { return read_file(std::string(SCALE_PLANS) + "/small.toml"); }

std::string replaced(std::string text, const std::string& what, const std::string& by) {
  auto at = text.find(what);
  EXPECT_NE(at, std::string::npos) << what;
  return text.replace(at, what.size(), by);
}

std::string error_of(const std::string& text) {
  try {
    parse_scale_plan(text, "plan.toml");
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

TEST(ScaleTestPlan, SaysWhichFieldIsWrong) {
  EXPECT_EQ(error_of(small_text()), "");
  EXPECT_EQ(error_of(replaced(small_text(), "workers = 122", "workers = 2.5")),
            "plan.toml: workers: not a count");
  EXPECT_EQ(error_of(replaced(small_text(), "teams = 6", "crews = 6")), "plan.toml: crews: no such field");
  EXPECT_EQ(error_of(replaced(small_text(), "kind = \"leader_killed\"", "kind = \"flood\"")),
            "plan.toml: faults[0].kind: no such fault");
  EXPECT_EQ(error_of(replaced(small_text(), "report_s = 2", "report_s = -2")),
            "plan.toml: worker_times.report_s: out of range");
}

TEST(ScaleTestPlan, ZonesShareAllWorkers) {
  auto plan = parse_scale_plan(small_text(), "plan.toml");
  int workers = 0;
  double accelerators = 0;
  for (std::size_t z = 0; z < plan.zone_names().size(); ++z) {
    workers += plan.machines_in(z, "plain") + plan.machines_in(z, "accelerated");
    accelerators += 8 * plan.machines_in(z, "accelerated");
  }
  EXPECT_EQ(workers, plan.workers);
  EXPECT_EQ(accelerators, plan.accelerators);
}

TEST(ScaleTestPlan, RefusesWhatTheMachineCannotCarry) {
  auto plan = parse_scale_plan(small_text(), "plan.toml");
  EXPECT_EQ(refusal(plan), "");
  plan.workers = 3'000'000;
  EXPECT_NE(refusal(plan).find("sockets"), std::string::npos);
  plan = parse_scale_plan(small_text(), "plan.toml");
  plan.controllers = 500;
  EXPECT_NE(refusal(plan).find("processes"), std::string::npos);
  plan = parse_scale_plan(small_text(), "plan.toml");
  plan.starts_per_s = 1e6;
  EXPECT_NE(refusal(plan).find("CPUs"), std::string::npos);
}

TEST(ScaleTestPlan, ControllersTakeItsSettings) {
  auto plan = parse_scale_plan(small_text(), "plan.toml");
  auto settings =
      parse_settings(controller_settings(plan, 1, {"127.0.1.1:1", "127.0.1.2:2"},
                                         {"127.0.1.1:3", "127.0.1.2:4"}, "127.0.0.1:5", "127.0.0.1:6"),
                     "settings.toml");
  EXPECT_EQ(settings.label, "c02");
  EXPECT_EQ(settings.peers.size(), 1u);
  EXPECT_EQ(settings.teams.size(), 6u);
  EXPECT_EQ(settings.zones.size(), 5u);
}

TEST(JobSource, EveryProcessComputesTheSameJob) {
  auto plan = parse_scale_plan(small_text(), "plan.toml");
  auto other_plan = parse_scale_plan(small_text(), "plan.toml");
  JobSource one(plan), other(other_plan);
  std::set<std::string> classes;
  for (int n = 1; n <= 200; ++n) {
    auto a = one.job(n), b = other.job(n);
    EXPECT_EQ(JobSource::number(a.spec.id), n);
    EXPECT_EQ(a.spec.team, b.spec.team);
    EXPECT_EQ(a.spec.tasks, b.spec.tasks);
    EXPECT_EQ(a.run_s, b.run_s);
    classes.insert(a.spec.job_class);
  }
  EXPECT_EQ(classes.size(), plan.classes.size());
  EXPECT_FALSE(JobSource::number("run-x"));
  EXPECT_FALSE(JobSource::number("other-000001"));
}

class Ordered : public ::testing::Test {
 protected:
  Ordered() : registry_(loop_, 5, nobody_), record_({{"team-001", 0, 0, 0, 0}}, 30, 2, listener_) {
    simulation::SimulatedJob work;
    work.spec.id = "run-000001", work.spec.team = "team-001", work.spec.tasks = 1;
    registry_.add(std::move(work));
    MachineType type;
    type.name = "plain", type.size = {32, 0, 128};
    machines_ = {{"n-1", {"n-1", type, "zone-1"}}, {"n-2", {"n-2", type, "zone-2"}}};
  }
  MachineEvent event(MachineEvent::Kind kind, double at, const std::string& machine) {
    return {kind, at, machine, "run-000001", 0, 1, "halted", 0};
  }
  void tell(int host, double until, std::vector<MachineEvent> events) {
    record_.add({host, until, std::move(events), Json::object(), 1, 1}, machines_, registry_);
    record_.apply();
  }
  Loop loop_;
  simulation::MachineObserver nobody_;
  simulation::JobRegistry registry_;
  EventMerger::Listener listener_;
  EventMerger record_;
  std::map<std::string, simulation::MachineFacts> machines_;
};

TEST_F(Ordered, AMoveHeardInTheWrongOrderIsNoSecondRun) {
  double t = run_time() - 10;
  tell(1, t + 3, {event(MachineEvent::Kind::On, t + 2, "n-2")});
  EXPECT_EQ(record_.checker().starts(), 0) << "what the other process saw before that is not known yet";
  tell(0, t + 3, {event(MachineEvent::Kind::On, t, "n-1"), event(MachineEvent::Kind::Off, t + 1, "n-1")});
  EXPECT_EQ(record_.checker().starts(), 2);
  EXPECT_TRUE(record_.checker().violations().empty());
}

TEST_F(Ordered, ATaskOnTwoMachinesIsFound) {
  double t = run_time() - 10;
  tell(1, t + 3, {event(MachineEvent::Kind::On, t + 2, "n-2")});
  tell(0, t + 4, {event(MachineEvent::Kind::On, t, "n-1"), event(MachineEvent::Kind::Off, t + 3, "n-1")});
  EXPECT_TRUE(record_.checker().violates("ran_twice"));
}

TEST_F(Ordered, AHostThatHasEndedIsNotWaitedFor) {
  double t = run_time() - 10;
  tell(0, t + 3, {event(MachineEvent::Kind::On, t, "n-1")});
  EXPECT_EQ(record_.checker().starts(), 0);
  record_.forget_host(1);
  record_.apply();
  EXPECT_EQ(record_.checker().starts(), 1);
}

struct CountsStarts : simulation::MachineObserver {
  int starts = 0;
  void task_placed(const simulation::MachineFacts&, const simulation::SimulatedJob&, int,
                   std::uint64_t) override {
    ++starts;
  }
};

/// A run whose machines took orders after their end looked as if tasks had run twice.
TEST(HollowWorker, TakesNoOrdersAfterItsEnd) {
  Loop loop;
  CountsStarts observer;
  simulation::JobRegistry registry(loop, 5, observer);
  simulation::SimulatedJob work;
  work.spec.id = "run-000001", work.spec.tasks = 2, work.spec.image_gb = 0;
  registry.add(std::move(work));
  MachineType type;
  type.name = "plain", type.size = {32, 0, 128};
  simulation::Worker worker(loop, {"n-1", type, "zone-1"}, {}, {{"c1", "127.0.0.1:1"}}, registry,
                            "127.0.0.1:0");
  auto launch = [&](int index) {
    http::Client client(loop, worker.address(), 1, 1);
    bool over = false;
    auto command_batch = codec::commands_to_wire(9, {{TaskCommand::Op::Start, "run-000001", index, 1, 0}}, 1);
    client.request("POST", codec::kCommandsPath, codec::pack(command_batch), 0.3,
                   [&](http::Result) { over = true; });
    while (!over) loop.run_once();
    bool waited = false;
    loop.call_later(0.2, [&] { waited = true; });
    while (!waited) loop.run_once();
  };
  launch(0);
  EXPECT_EQ(observer.starts, 1);
  worker.terminate("died");
  launch(1);
  EXPECT_EQ(observer.starts, 1);
}

int run_program(const std::string& arguments, std::string* output) {
  auto command = std::string(SCALE_PROGRAM) + " " + arguments + " 2>&1";
  FILE* pipe = ::popen(command.c_str(), "r");
  char chunk[4096];
  for (std::size_t n; (n = std::fread(chunk, 1, sizeof chunk, pipe)) > 0;) output->append(chunk, n);
  int status = ::pclose(pipe);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(ScaleProgram, AWrongFileIsStatusTwo) {
  std::string output;
  EXPECT_EQ(run_program("/nonexistent.toml", &output), 2);
  EXPECT_NE(output.find("/nonexistent.toml"), std::string::npos);
}

TEST(ScaleProgram, AnExcessiveRunIsRefusedBeforeAnythingStarts) {
  std::string output;
  EXPECT_EQ(run_program(std::string(SCALE_PLANS) + "/small.toml --workers 2000000", &output), 2);
  EXPECT_NE(output.find("more zones are needed"), std::string::npos) << output;
}

TEST(ScaleProgram, TheSmallRunHoldsAllRulesThroughTheLeadersEnd) {
  std::string output, account = ::testing::TempDir() + "/scale-run-test.json";
  EXPECT_EQ(run_program(std::string(SCALE_PLANS) + "/small.toml --json " + account, &output), 0) << output;
  auto json = Json::parse(read_file(account));
  EXPECT_TRUE(json["problems"].empty()) << json["problems"].dump();
  EXPECT_GT(json["users"]["starts"].get<int>(), 100);
  EXPECT_EQ(json["users"]["pauses"].size(), 2u);
  EXPECT_EQ(json["roles"]["single_workers"]["processes"], 2);
  EXPECT_GT(json["roles"]["state_service"]["changes_per_s_by_kind_of_key"]["t"].get<double>(), 0);
}

}  // namespace
}  // namespace corkmux::scale_test

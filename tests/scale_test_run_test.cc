// Tests of the scale run: parsing and rejection of plans, jobs that every process computes identically, the
// merged order of several processes' events, and a run of seconds with the deployed program. Checks counts
// and invariants, never times.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>

#include "controller_settings.h"
#include "event_merger.h"
#include "job_source.h"
#include "machine_limits.h"
#include "plan_overrides.h"
#include "random_process_faults.h"
#include "scale_test_plan_parser.h"
#include "toml_reader.h"

namespace corkmux::scale_test {
namespace {

std::string plan_file(const std::string& name) { return std::string(SCALE_PLANS) + "/" + name; }

std::string small_text() { return read_file(plan_file("small.toml")); }

ScaleTestPlan small_plan() { return parse_scale_plan(small_text(), "plan.toml"); }

std::string replaced(std::string text, const std::string& what, const std::string& by) {
  auto at = text.find(what);
  EXPECT_NE(at, std::string::npos) << what;
  return text.replace(at, what.size(), by);
}

/// The message of the SettingsError that the function throws; nullopt: it throws none.
template <typename Function>
std::optional<std::string> settings_error_of(Function function) {
  try {
    function();
  } catch (const SettingsError& error) {
    return error.what();
  }
  return std::nullopt;
}

std::optional<std::string> parse_error(const std::string& text) {
  return settings_error_of([&] { parse_scale_plan(text, "plan.toml"); });
}

TEST(ScaleTestPlanParser, ErrorsNameTheInvalidField) {
  EXPECT_EQ(parse_error(small_text()), std::nullopt);
  EXPECT_EQ(parse_error(replaced(small_text(), "workers = 122", "workers = 2.5")),
            "plan.toml: workers: not a count");
  EXPECT_EQ(parse_error(replaced(small_text(), "teams = 6", "crews = 6")), "plan.toml: crews: no such field");
  EXPECT_EQ(parse_error(replaced(small_text(), "kind = \"leader_killed\"", "kind = \"flood\"")),
            "plan.toml: faults[0].kind: no such fault");
  EXPECT_EQ(parse_error(replaced(small_text(), "report_s = 2", "report_s = -2")),
            "plan.toml: worker_times.report_s: out of range");
}

TEST(ScaleTestPlan, ZonesShareAllWorkers) {
  auto plan = small_plan();
  int workers = 0;
  double accelerators = 0;
  for (std::size_t zone = 0; zone < plan.zone_names().size(); ++zone) {
    workers += plan.machines_in(zone, "plain") + plan.machines_in(zone, "accelerated");
    accelerators += 8 * plan.machines_in(zone, "accelerated");
  }
  EXPECT_EQ(workers, plan.workers);
  EXPECT_EQ(accelerators, plan.accelerators);
}

TEST(PlanOverrides, ReplaceValuesOfTheFile) {
  PlanOverrides overrides;
  overrides.workers = 61;
  overrides.starts_per_s = 2.5;
  overrides.tasks_per_job = 3;
  auto plan = small_plan();
  overrides.apply(plan, "plan.toml");
  EXPECT_EQ(plan.workers, 61);
  EXPECT_EQ(plan.accelerators, small_plan().accelerators / 2);
  EXPECT_EQ(plan.starts_per_s, 2.5);
  EXPECT_EQ(plan.teams, small_plan().teams);
  for (const auto& job_class : plan.classes)
    if (job_class.kind == JobKind::Array) {
      EXPECT_EQ(job_class.tasks, std::vector<int>{3});
    }
  EXPECT_EQ(overrides.to_arguments(),
            (std::vector<std::string>{"--workers", "61", "--starts-per-s", "2.5", "--tasks-per-job", "3"}));
}

TEST(PlanOverrides, ErrorsNameTheInvalidField) {
  auto error_with = [](const PlanOverrides& overrides) {
    return settings_error_of([&] {
      auto plan = small_plan();
      overrides.apply(plan, "plan.toml");
    });
  };
  EXPECT_EQ(error_with({}), std::nullopt);
  PlanOverrides too_short;
  too_short.for_s = small_plan().warm_s;
  EXPECT_EQ(error_with(too_short), "plan.toml: warm_s: not shorter than the run");
  PlanOverrides too_small;
  too_small.workers = small_plan().single_workers + small_plan().zones;
  EXPECT_EQ(error_with(too_small), "plan.toml: workers: fewer than zones and single_workers");
}

/// The message of the PlanTooLarge error; nullopt: the plan fits the machine.
std::optional<std::string> limit_error_of(const ScaleTestPlan& plan) {
  try {
    check_machine_limits(plan, "plan.toml");
  } catch (const PlanTooLarge& error) {
    return error.what();
  }
  return std::nullopt;
}

/// Whether the plan is rejected with a message that names the file and the resource `what`.
::testing::AssertionResult rejected_for(const char* what, const ScaleTestPlan& plan) {
  auto error = limit_error_of(plan);
  if (!error) return ::testing::AssertionFailure() << "the plan is not refused";
  if (error->rfind("plan.toml: ", 0) == 0 && error->find(what) != std::string::npos)
    return ::testing::AssertionSuccess();
  return ::testing::AssertionFailure() << *error;
}

TEST(MachineLimits, RejectPlansThatExceedTheMachine) {
  EXPECT_EQ(limit_error_of(small_plan()), std::nullopt);
  auto plan = small_plan();
  plan.workers = 3'000'000;
  EXPECT_TRUE(rejected_for("sockets", plan));
  plan = small_plan();
  plan.controllers = 500;
  EXPECT_TRUE(rejected_for("processes", plan));
  plan = small_plan();
  plan.starts_per_s = 1e6;
  EXPECT_TRUE(rejected_for("CPUs", plan));
}

TEST(ControllerSettings, AreAcceptedByTheSettingsParser) {
  RunAddresses addresses;
  addresses.users = {"127.0.1.1:1", "127.0.1.2:2"};
  addresses.peers = {"127.0.1.1:3", "127.0.1.2:4"};
  addresses.state = "127.0.0.1:5";
  addresses.cloud = "127.0.0.1:6";
  auto settings = parse_settings(controller_settings(small_plan(), 1, addresses), "settings.toml");
  EXPECT_EQ(settings.label, "c02");
  EXPECT_EQ(settings.listen, "127.0.1.2:2");
  EXPECT_EQ(settings.peer_listen, "127.0.1.2:4");
  EXPECT_EQ(settings.state, "127.0.0.1:5");
  EXPECT_EQ(settings.cloud, "127.0.0.1:6");
  EXPECT_EQ(settings.peers.size(), 1u);
  EXPECT_EQ(settings.teams.size(), 6u);
  EXPECT_EQ(settings.zones.size(), 5u);
}

TEST(JobSource, EveryProcessComputesTheSameJob) {
  auto plan = small_plan();
  auto other_plan = small_plan();
  JobSource one(plan);
  JobSource other(other_plan);
  std::set<std::string> classes;
  for (int number = 1; number <= 200; ++number) {
    auto job = one.job(number);
    auto same = other.job(number);
    EXPECT_EQ(JobSource::number(job.spec.id), number);
    EXPECT_EQ(job.spec.team, same.spec.team);
    EXPECT_EQ(job.spec.tasks, same.spec.tasks);
    EXPECT_EQ(job.run_s, same.run_s);
    classes.insert(job.spec.job_class);
  }
  EXPECT_EQ(classes.size(), plan.classes.size());
  EXPECT_FALSE(JobSource::number("run-x"));
  EXPECT_FALSE(JobSource::number("other-000001"));
}

const std::string kJob = "run-000001";

simulation::SimulatedJob job_with(int tasks) {
  simulation::SimulatedJob work;
  work.spec.id = kJob;
  work.spec.team = "team-001";
  work.spec.tasks = tasks;
  return work;
}

simulation::MachineFacts plain_machine(const std::string& name, const std::string& zone) {
  MachineType type;
  type.name = "plain";
  type.size = kPlainSize;
  return {name, type, zone};
}

/// Two hosts with one machine and zone each, and one job with one task.
class EventMergerTest : public ::testing::Test {
 protected:
  EventMergerTest()
      : registry_(loop_, 5, unobserved_), merger_({{"team-001", 0, 0, 0, 0}}, 30, 2, listener_) {
    registry_.add(job_with(1));
    machines_ = {{"n-1", plain_machine("n-1", "zone-1")}, {"n-2", plain_machine("n-2", "zone-2")}};
  }
  MachineEvent event(MachineEvent::Kind kind, double at, const std::string& machine) {
    return {kind, at, machine, kJob, 0, 1, "halted", 0};
  }
  void add_status(int host, double until, std::vector<MachineEvent> events) {
    merger_.add({host, until, std::move(events), Json::object(), 1, 1}, machines_, registry_);
    merger_.apply();
  }

  double begin_ = run_time() - 10;
  Loop loop_;
  simulation::MachineObserver unobserved_;
  simulation::JobRegistry registry_;
  EventMerger::Listener listener_;
  EventMerger merger_;
  std::map<std::string, simulation::MachineFacts> machines_;
};

TEST_F(EventMergerTest, TaskMoveReportedOutOfOrderIsNotASecondRun) {
  add_status(1, begin_ + 3, {event(MachineEvent::Kind::TaskPlaced, begin_ + 2, "n-2")});
  EXPECT_EQ(merger_.checker().starts(), 0) << "earlier events of the other host are not reported yet";
  add_status(0, begin_ + 3,
             {event(MachineEvent::Kind::TaskPlaced, begin_, "n-1"),
              event(MachineEvent::Kind::TaskRemoved, begin_ + 1, "n-1")});
  EXPECT_EQ(merger_.checker().starts(), 2);
  EXPECT_TRUE(merger_.checker().violations().empty());
}

TEST_F(EventMergerTest, DetectsATaskOnTwoMachines) {
  add_status(1, begin_ + 3, {event(MachineEvent::Kind::TaskPlaced, begin_ + 2, "n-2")});
  add_status(0, begin_ + 4,
             {event(MachineEvent::Kind::TaskPlaced, begin_, "n-1"),
              event(MachineEvent::Kind::TaskRemoved, begin_ + 3, "n-1")});
  EXPECT_TRUE(merger_.checker().violates("ran_twice"));
}

TEST_F(EventMergerTest, DoesNotWaitForARemovedHost) {
  add_status(0, begin_ + 3, {event(MachineEvent::Kind::TaskPlaced, begin_, "n-1")});
  EXPECT_EQ(merger_.checker().starts(), 0);
  merger_.remove_host(1);
  merger_.apply();
  EXPECT_EQ(merger_.checker().starts(), 1);
}

/// Counts the tasks that are placed on machines.
struct StartCounter : simulation::MachineObserver {
  int starts = 0;
  void task_placed(const simulation::MachineFacts& /*machine*/, const simulation::SimulatedJob& /*job*/,
                   int /*index*/, std::uint64_t /*attempt*/) override {
    ++starts;
  }
};

/// One worker and one job with two tasks.
class HollowWorkerTest : public ::testing::Test {
 protected:
  HollowWorkerTest()
      : registry_(loop_, 5, starts_),
        worker_(loop_, plain_machine("n-1", "zone-1"), {}, {{"c1", "127.0.0.1:1"}}, registry_,
                "127.0.0.1:0") {
    auto work = job_with(2);
    work.spec.image_gb = 0;
    registry_.add(std::move(work));
  }
  void wait(double seconds) {
    bool waited = false;
    loop_.call_later(seconds, [&] { waited = true; });
    while (!waited) loop_.run_once();
  }
  /// Sends the worker a command to start the task, waits for the response or its timeout, and then 0.2 s.
  void send_start(int index) {
    http::Client client(loop_, worker_.address(), 1, 1);
    bool over = false;
    auto command_batch = codec::commands_to_wire(9, {{TaskCommand::Op::Start, kJob, index, 1, 0}}, 1);
    client.request("POST", codec::kCommandsPath, codec::pack(command_batch), 0.3,
                   [&](http::Result) { over = true; });
    while (!over) loop_.run_once();
    wait(0.2);
  }

  Loop loop_;
  StartCounter starts_;
  simulation::JobRegistry registry_;
  simulation::Worker worker_;
};

/// If a terminated worker accepted commands, the tasks that it started would appear to run twice.
TEST_F(HollowWorkerTest, RejectsCommandsAfterTermination) {
  send_start(0);
  EXPECT_EQ(starts_.starts, 1);
  worker_.terminate("died");
  send_start(1);
  EXPECT_EQ(starts_.starts, 1);
}

/// The output of the program and its exit status.
struct ProgramResult {
  std::optional<int> status;  // nullopt: the program was terminated by a signal
  std::string output;
};

ProgramResult run_program(const std::string& command_line) {
  auto command = command_line + " 2>&1";
  ProgramResult result;
  FILE* pipe = ::popen(command.c_str(), "r");
  char chunk[4096];
  for (std::size_t size; (size = std::fread(chunk, 1, sizeof chunk, pipe)) > 0;)
    result.output.append(chunk, size);
  int status = ::pclose(pipe);
  if (WIFEXITED(status)) result.status = WEXITSTATUS(status);
  return result;
}

ProgramResult run_scale_test(const std::string& arguments) {
  return run_program(std::string(SCALE_PROGRAM) + " " + arguments);
}

TEST(ScaleTestProgram, ExitsWithStatusTwoForAnUnreadablePlan) {
  auto result = run_scale_test("/nonexistent.toml");
  EXPECT_EQ(result.status, 2);
  EXPECT_NE(result.output.find("/nonexistent.toml"), std::string::npos);
}

TEST(ScaleTestProgram, RejectsAnExcessivePlanBeforeStartingProcesses) {
  auto result = run_scale_test(plan_file("small.toml") + " --workers 2000000");
  EXPECT_EQ(result.status, 2);
  EXPECT_NE(result.output.find("more zones are needed"), std::string::npos) << result.output;
}

TEST(ScaleTestProgram, SmallRunKeepsAllInvariantsWhenTheLeaderIsKilled) {
  auto report_file = ::testing::TempDir() + "/scale-run-test.json";
  auto result = run_scale_test(plan_file("small.toml") + " --json " + report_file);
  EXPECT_EQ(result.status, 0) << result.output;
  auto report = Json::parse(read_file(report_file));
  EXPECT_TRUE(report["problems"].empty()) << report["problems"].dump();
  EXPECT_GT(report["users"]["starts"].get<int>(), 100);
  EXPECT_EQ(report["users"]["pauses"].size(), 2u);
  EXPECT_EQ(report["roles"]["single_workers"]["processes"], 2);
  EXPECT_GT(report["roles"]["state_service"]["changes_per_s_by_kind_of_key"]["t"].get<double>(), 0);
}

TEST(ScaleTestProgram, ExitsWithStatusTwoForASeedThatIsNoNumber) {
  auto result = run_scale_test(plan_file("small.toml") + " --seed first");
  EXPECT_EQ(result.status, 2);
  EXPECT_NE(result.output.find("first"), std::string::npos) << result.output;
}

std::vector<std::string> described(const std::vector<Fault>& faults) {
  std::vector<std::string> lines;
  for (const auto& fault : faults)
    lines.push_back(fmt::format("{} {} {} {} {}", fault.at_s, Fault::name(fault.kind), fault.count,
                                fault.for_s, fault.back_s));
  return lines;
}

TEST(RandomProcessFaults, RepeatFromTheirSeedWithinTheLoad) {
  auto plan = small_plan();
  const auto first = draw_faults(plan, 20);
  EXPECT_GE(first.size(), 20u);
  EXPECT_EQ(described(first), described(draw_faults(plan, 20)));
  for (const auto& fault : first) EXPECT_GE(fault.at_s, plan.warm_s);
  plan.seed += 1;
  EXPECT_NE(described(first), described(draw_faults(plan, 20)));
}

TEST(Soak, KeepsAllInvariantsUnderRandomFaults) {
  auto result = run_scale_test(plan_file("soak.toml") + " --seed 3 --random-faults 10");
  EXPECT_EQ(result.status, 0) << result.output;
  EXPECT_NE(result.output.find("fault: "), std::string::npos) << result.output;
}

TEST(Soak, ARunInWhichNothingIsCancelledIsNotAPass) {
  auto plan_without_cancels = ::testing::TempDir() + "/soak-without-cancels.toml";
  auto text = replaced(read_file(plan_file("soak.toml")), "cancel_share = 0.3", "cancel_share = 0");
  std::ofstream(plan_without_cancels) << replaced(text, "for_s = 40", "for_s = 8");
  auto result = run_scale_test(plan_without_cancels);
  EXPECT_EQ(result.status, 2) << result.output;
  EXPECT_NE(result.output.find("not run: no job was cancelled"), std::string::npos) << result.output;
}

TEST(Soak, NamesTheOptionThatIsWrong) {
  auto result = run_program(std::string(SOAK_SCRIPT) + " --seeds 9-x");
  EXPECT_EQ(result.status, 2);
  EXPECT_NE(result.output.find("9-x"), std::string::npos) << result.output;
  result = run_program(std::string(SOAK_SCRIPT) + " --minutes 3");
  EXPECT_EQ(result.status, 2);
  EXPECT_NE(result.output.find("--minutes"), std::string::npos) << result.output;
}

}  // namespace
}  // namespace corkmux::scale_test

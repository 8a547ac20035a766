// Tests what the leader concludes from the answers of the controller that forwards its commands to workers.
#include "command_dispatcher.h"

#include <gtest/gtest.h>

#include "loop_test.h"
#include "scheduler_fixture.h"

namespace corkmux {
namespace {

/// A launch on the only machine, which another controller forwards and answers with `answer`.
struct ForwardedLaunch : LoopTest {
  Settings settings;
  Term term;
  SchedulerConfig config;
  std::unique_ptr<Scheduler> scheduler;
  std::unique_ptr<CommandDispatcher> dispatcher;
  JobSpec spec = array_spec("run-1", "x", 1, 1);
  int posts = 0;
  std::string posted;

  void forward(const http::Result& answer) {
    settings.label = "one";
    settings.max_connections = 100;
    term.number = 2;
    config.zones = {"a"};
    config.teams = {{"x", 0, 0, 0, 0}};
    scheduler = std::make_unique<Scheduler>(config, term.number, steady_now(), 11);
    scheduler->set_catalog({plain_type({"a"})});
    Heartbeat heartbeat = first_heartbeat("n-1");
    heartbeat.address = "127.0.0.1:1";
    join(*scheduler, heartbeat, steady_now());
    scheduler->upsert_job(spec, 1, false, steady_now());
    scheduler->schedule(steady_now());
    scheduler->records_written(scheduler->next_writes(12, true, steady_now()), 2, steady_now());
    CommandRelay relay;
    relay.reachable = [](const std::string&) { return true; };
    relay.post = [this, answer](const std::string&, std::string body,
                                std::function<void(http::Result)> done) {
      ++posts;
      posted = std::move(body);
      done(answer);
    };
    TermCallbacks callbacks{[] {}, [](StepDownReason) {}, [](RecordUpgradeReason) {}};
    dispatcher =
        std::make_unique<CommandDispatcher>(loop, settings, term, *scheduler, callbacks, std::move(relay));
    dispatcher->set_forwarder("n-1", "two");
    dispatcher->flush();
    ASSERT_EQ(posts, 1);
  }
  std::size_t assigned() const { return scheduler->job(spec.id)->active.size(); }
};

TEST_F(ForwardedLaunch, StaysAssignedWhenTheForwarderFailedHalfWay) {
  forward(http::Result::response(500, ""));
  EXPECT_EQ(assigned(), 1u);
}

TEST_F(ForwardedLaunch, StaysAssignedWhenTheForwarderDidNotAnswer) {
  forward(http::Result::unanswered("no answer in time"));
  EXPECT_EQ(assigned(), 1u);
}

TEST_F(ForwardedLaunch, IsWithdrawnWhenTheForwarderRefusedTheBatch) {
  forward(http::Result::response(503, ""));
  EXPECT_EQ(assigned(), 0u);
}

TEST_F(ForwardedLaunch, IsWithdrawnWhenTheBatchWasNotSent) {
  forward(http::Result::not_sent("connection refused"));
  EXPECT_EQ(assigned(), 0u);
}

/// The report that a worker sends after it has executed the commands.
std::string report_of(const std::string& machine) {
  return codec::pack(codec::Json{{"host", machine},
                                 {"build", "plain"},
                                 {"room", "a"},
                                 {"watch", 1},
                                 {"tick", 9},
                                 {"baton", 0},
                                 {"parts", codec::Json::array()}});
}

/// The outcome that the forwarder passes on: executed, with that report.
void pass_on_outcome(ForwardedLaunch& launch, const std::string& report) {
  const auto commands = fanin::parse_commands(launch.posted)->message.commands;
  ASSERT_EQ(commands.size(), 1u);
  launch.dispatcher->outcome({commands[0].id, WorkerReply::from_wire(200, true, report)});
}

// Guards against a task that runs twice: another machine has the address now and has executed the launch, so
// the absence of the task from the machine that it was meant for proves nothing of it.
TEST_F(ForwardedLaunch, ThatAnotherMachineHasExecutedCountsAsUnanswered) {
  forward(http::Result::response(200, ""));
  const std::uint64_t token = scheduler->machine("n-1")->worker.required_token;
  pass_on_outcome(*this, report_of("n-7"));
  EXPECT_EQ(assigned(), 1u);
  EXPECT_GT(scheduler->machine("n-1")->worker.required_token, token);
}

// Guards against a heartbeat from before the launch that would prove the started task to be absent.
TEST_F(ForwardedLaunch, ThatWasExecutedWithoutAReportCountsAsUnanswered) {
  forward(http::Result::response(200, ""));
  const std::uint64_t token = scheduler->machine("n-1")->worker.required_token;
  pass_on_outcome(*this, "not a report");
  EXPECT_EQ(assigned(), 1u);
  EXPECT_GT(scheduler->machine("n-1")->worker.required_token, token);
}

}  // namespace
}  // namespace corkmux

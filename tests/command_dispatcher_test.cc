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

  void forward(const http::Result& answer) {
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
    relay.post = [this, answer](const std::string&, std::string, std::function<void(http::Result)> done) {
      ++posts;
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

}  // namespace
}  // namespace corkmux

// Tests CommandQueue without the other modules: the commands sent to a worker and the effect of each outcome.
#include "command_queue.h"

#include <gtest/gtest.h>

#include "scheduler_modules.h"

namespace corkmux {
namespace {

constexpr std::size_t kAll = constants::kMaxCommandsPerMessage;

struct CommandQueueTest : ::testing::Test {
  SchedulerModules modules;
  CommandQueue queue{modules.state, modules.lifecycle};
  Machine& machine = modules.add_up_machine("n-1");
  Job& job = modules.add_job(array_spec("run-1", "x", 2, 4));

  /// Sends a launch, which has the given outcome.
  CommandBatch dispatch(DispatchOutcome outcome) {
    modules.launch(job, 0, machine);
    EXPECT_EQ(queue.machines_with_commands(), std::vector<std::string>{"n-1"});
    CommandBatch batch = queue.take("n-1", 1);
    EXPECT_FALSE(queue.has_commands(machine)) << "one batch at a time";
    queue.done("n-1", batch, outcome, 1);
    return batch;
  }
};

TEST_F(CommandQueueTest, AnUnansweredLaunchStaysAssignedUnderAHigherToken) {
  const CommandBatch batch = dispatch(DispatchOutcome::Unanswered);
  EXPECT_GT(machine.worker.fencing_token, batch.fencing_token);
  EXPECT_EQ(machine.worker.required_token, machine.worker.fencing_token);
  EXPECT_EQ(job.active.at(0).minimum_token, machine.worker.fencing_token);
  EXPECT_FALSE(modules.state.usable(machine, 1)) << "no task is placed while the launch may still arrive";
  EXPECT_EQ(machine.commands.channel, CommandChannel::HeartbeatReplies);
}

TEST_F(CommandQueueTest, LaunchesThatWereNotExecutedAreQueuedAgain) {
  for (auto outcome : {DispatchOutcome::Refused, DispatchOutcome::Unsent}) {
    machine.commands.channel = CommandChannel::Direct;
    const CommandBatch batch = dispatch(outcome);
    EXPECT_EQ(machine.worker.fencing_token, batch.fencing_token);
    EXPECT_TRUE(job.active.empty());
    EXPECT_EQ(job.phase[0], TaskPhase::Queued);
    EXPECT_EQ(machine.takes_commands_directly(), outcome == DispatchOutcome::Refused);
  }
}

TEST_F(CommandQueueTest, LaunchesGoWithHeartbeatRepliesOnlyWhileTheWorkerIsUnreachable) {
  modules.launch(job, 0, machine);
  EXPECT_TRUE(queue.take_launches_for_reply(machine, 7, kAll, 1).empty());
  queue.set_unreachable(machine, 1);
  EXPECT_FALSE(queue.has_commands(machine));
  EXPECT_EQ(queue.take_launches_for_reply(machine, 7, kAll, 1).size(), 1u);
  EXPECT_EQ(job.active.at(0).after_seq, 7u);
  EXPECT_TRUE(queue.take_launches_for_reply(machine, 8, kAll, 1).empty()) << "each launch is taken once";
}

TEST_F(CommandQueueTest, AStopIsSentUnlessTheTaskIsAlreadySaving) {
  ActiveTask& task = modules.run(job, 0, machine);
  modules.run(job, 1, machine);
  EXPECT_FALSE(queue.has_commands(machine));
  modules.state.request_stop(job, 0, 5);
  EXPECT_EQ(queue.machines_with_commands(), std::vector<std::string>{"n-1"});
  const CommandBatch batch = queue.take("n-1", 1);
  ASSERT_EQ(batch.commands.size(), 1u);
  EXPECT_EQ(batch.commands[0].op, TaskCommand::Op::Stop);
  EXPECT_EQ(batch.commands[0].index, 0);
  queue.done("n-1", batch, DispatchOutcome::Executed, 1);
  task.stage = ActiveTask::Stage::Saving;
  EXPECT_TRUE(queue.take("n-1", 2).commands.empty());
  modules.state.request_stop(job, 0, 0);
  EXPECT_TRUE(CommandQueue::needs_stop(task)) << "no time left to save";
}

}  // namespace
}  // namespace corkmux

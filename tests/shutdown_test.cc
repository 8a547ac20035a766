// Tests of the shutdown: the leader lease is revoked at once, a write in flight cannot take effect under the
// next leader, and the program exits with status 0 in bounded time.
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "loopback_cluster.h"
#include "platform_settings.h"

namespace corkmux {
namespace {

namespace fs = std::filesystem;

TEST_F(LoopbackCluster, ShutdownTransfersLeadershipBeforeItCompletes) {
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return leader() == "one"; }));
  start_controller("two");
  add_worker("n-1", "a", 3);
  ASSERT_EQ(submit("one", job("run-1", 4)), 201);
  ASSERT_TRUE(wait_for([&] { return workers[0]->running() == 4; }));
  bool ended = false;
  controllers["one"]->stop([&] { ended = true; });
  // An open connection is answered at once and closed; new connections are refused, so that a load balancer
  // chooses another controller.
  auto open = call("one", "GET", "/ready", "");
  EXPECT_TRUE(open.status == 503 || open.status == 0) << open.status;
  ASSERT_TRUE(wait_for([&] { return ended; }, constants::kShutdownTimeLimit + 2));
  auto values = state.values();
  EXPECT_TRUE(!values.contains("leader") || values["leader"]["label"] == "two");
  EXPECT_FALSE(controllers["one"]->leading());
  // Without the revocation, the lease of controller one would block a successor for kLeaderLeaseDuration.
  ASSERT_TRUE(wait_for([&] { return leader() == "two"; }));
  stop_controller("one");
  EXPECT_TRUE(wait_for([&] { return phase("two", "run-1") == "done"; }));
  for (const auto& [part, n] : starts) EXPECT_EQ(n, 1) << part << " was started again";
}

TEST_F(LoopbackCluster, AWriteInFlightAtShutdownFails) {
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return leader() == "one"; }));
  add_worker("n-1", "a", 1);
  state.faults.held_prefix = "t/";
  ASSERT_EQ(submit("one", job("run-1", 2)), 201);
  ASSERT_TRUE(wait_for([&] { return state.holds_transactions(); }));
  bool ended = false;
  controllers["one"]->stop([&] { ended = true; });
  ASSERT_TRUE(wait_for([&] { return ended; }, constants::kShutdownTimeLimit + 2));
  for (int status : state.release_held()) EXPECT_EQ(status, 409);  // a late write has no effect
  stop_controller("one");
  start_controller("two");
  workers.clear();
  add_worker("n-2", "a", 0.3);
  EXPECT_TRUE(wait_for([&] { return phase("two", "run-1") == "done"; }));
  for (const auto& [part, n] : starts) EXPECT_EQ(n, 1) << part;
}

TEST_F(LoopbackCluster, ShutdownIsBoundedWhileTheStateStoreIsUnresponsive) {
  start_controller("one");
  ASSERT_TRUE(wait_for([&] { return leader() == "one"; }));
  state.faults.unresponsive = true;
  bool ended = false;
  controllers["one"]->stop([&] { ended = true; });
  EXPECT_TRUE(wait_for([&] { return ended; }, constants::kShutdownTimeLimit + 2));
}

/// The real program as a child process, which logs to a file.
struct Program {
  explicit Program(const std::string& settings, const std::string& operators = "") {
    char name[] = "/tmp/corkmux-test-XXXXXX";
    dir = ::mkdtemp(name);
    std::ofstream(dir / "settings.toml") << settings;
    std::ofstream(dir / "operator.textproto") << operators;
    std::string config = dir / "settings.toml", log = dir / "log", choices = dir / "operator.textproto";
    pid = ::fork();
    if (pid == 0) {
      int fd = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
      ::dup2(fd, 2);
      ::setenv("LOG_LEVEL", "info", 1);
      ::execl(CORKMUX_PROGRAM, CORKMUX_PROGRAM, "--config", config.c_str(), "--operator", choices.c_str(),
              nullptr);
      ::_exit(127);
    }
  }
  ~Program() {
    if (!status) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
    fs::remove_all(dir);
  }
  std::string log() const {
    std::ifstream in(dir / "log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  bool exited() {
    int s = 0;
    if (!status && ::waitpid(pid, &s, WNOHANG) == pid) status = s;
    return status.has_value();
  }
  fs::path dir;
  pid_t pid = -1;
  std::optional<int> status;
};

TEST_F(LoopbackCluster, TheProgramExitsWithStatusZeroAndRevokesItsLease) {
  Program program(platform_settings(state.address(), cloud.address()));
  ASSERT_TRUE(wait_for([&] { return program.log().find("jobs loaded") != std::string::npos; }))
      << program.log();
  ASSERT_TRUE(state.values().contains("leader"));
  ::kill(program.pid, SIGTERM);
  ASSERT_TRUE(wait_for([&] { return program.exited(); }, constants::kShutdownTimeLimit + 5));
  EXPECT_TRUE(WIFEXITED(*program.status) && WEXITSTATUS(*program.status) == 0) << *program.status;
  EXPECT_FALSE(state.values().contains("leader"));
  EXPECT_NE(program.log().find("ended in order"), std::string::npos) << program.log();
}

TEST_F(LoopbackCluster, TheProgramLogsTheServicesItWaitsFor) {
  state.faults.unavailable = true;
  Program program(platform_settings(state.address(), "127.0.0.1:1"));
  ASSERT_TRUE(wait_for([&] {
    auto log = program.log();
    return log.find("waiting for the state service at " + state.address()) != std::string::npos &&
           log.find("waiting for the cloud's interface at 127.0.0.1:1") != std::string::npos;
  })) << program.log();
}

// Guards against a failure of an optional interface that stops the scheduler: when the address of the
// Kubernetes API could not be bound, every controller exited again after each restart and no task ran.
TEST_F(LoopbackCluster, TheProgramKeepsRunningIfTheKubernetesAddressIsInUse) {
  http::Server taken(loop, "127.0.0.1:0", 4, [](http::Server::ConnectionId, http::Request) {});
  Program program(platform_settings(state.address(), cloud.address()),
                  "kubernetes { listen: '127.0.0.1:" + std::to_string(taken.port()) +
                      "' namespace { name: 'default' team: 'x' } }");
  ASSERT_TRUE(wait_for([&] { return program.log().find("jobs loaded") != std::string::npos; }))
      << program.log();
  EXPECT_NE(program.log().find("are not served: cannot listen on"), std::string::npos) << program.log();
  ::kill(program.pid, SIGTERM);
  ASSERT_TRUE(wait_for([&] { return program.exited(); }, constants::kShutdownTimeLimit + 5));
  EXPECT_TRUE(WIFEXITED(*program.status) && WEXITSTATUS(*program.status) == 0) << *program.status;
}

TEST_F(LoopbackCluster, ASecondSignalEndsTheProgramAtOnce) {
  Program program(platform_settings(state.address(), cloud.address()));
  ASSERT_TRUE(wait_for([&] { return program.log().find("jobs loaded") != std::string::npos; }))
      << program.log();
  state.faults.unresponsive = true;  // the shutdown waits for the state store's response
  ::kill(program.pid, SIGINT);
  ASSERT_TRUE(wait_for([&] { return program.log().find("ending in order") != std::string::npos; }));
  ::kill(program.pid, SIGINT);
  ASSERT_TRUE(wait_for([&] { return program.exited(); }));
  EXPECT_TRUE(WIFEXITED(*program.status) && WEXITSTATUS(*program.status) == 128 + SIGINT) << *program.status;
}

}  // namespace
}  // namespace corkmux

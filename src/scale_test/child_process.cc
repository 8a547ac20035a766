#include "child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace corkmux::scale_test {
namespace {

// Exit status of a child whose program cannot be executed, as shells return it.
constexpr int kCannotExecuteStatus = 127;
constexpr mode_t kLogMode = 0644;

/// Runs in the child between fork and exec, so it makes only calls that are async-signal-safe.
[[noreturn]] void exec_command(char* const* arguments, int log, pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent)
    ::_exit(kCannotExecuteStatus);  // the parent exited before PR_SET_PDEATHSIG took effect
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  sigset_t none;
  ::sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  ::execv(arguments[0], arguments);
  ::_exit(kCannotExecuteStatus);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& log) {
  int log_descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (log_descriptor < 0) throw ProcessError(log + ": " + std::strerror(errno));
  std::vector<char*> arguments;
  for (const auto& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  pid_t parent = ::getpid();
  pid_t child = ::fork();
  if (child == 0) exec_command(arguments.data(), log_descriptor, parent);
  int error = errno;
  ::close(log_descriptor);
  if (child < 0) throw ProcessError(command.front() + " cannot be started: " + std::strerror(error));
  id_ = child;
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::kill() {
  if (!id_) return;
  ::kill(*id_, SIGKILL);
  ::waitpid(*id_, nullptr, 0);
  id_.reset();
}

void ChildProcess::signal(int number) {
  if (running()) ::kill(*id_, number);
}

bool ChildProcess::running() {
  if (!id_) return false;
  if (::waitpid(*id_, nullptr, WNOHANG) == *id_) id_.reset();
  return id_.has_value();
}

std::optional<ProcessUsage> ChildProcess::usage(bool count_files) const {
  return id_ ? read_process_usage(*id_, count_files) : std::nullopt;
}

}  // namespace corkmux::scale_test

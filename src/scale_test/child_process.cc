#include "child_process.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace corkmux::scale_test {
namespace {

/// What is left to do between fork and exec: only calls that are safe there.
[[noreturn]] void become(char* const* arguments, int log, pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);  // the run ended before it could be noticed
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  sigset_t none;
  ::sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  ::execv(arguments[0], arguments);
  ::_exit(127);
}

double megabytes_in(const std::string& status, const char* field) {
  auto at = status.find(field);
  if (at == std::string::npos) return 0;
  return std::strtod(status.c_str() + at + std::strlen(field), nullptr) / 1024;
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& log) {
  int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (out < 0) throw std::runtime_error(log + ": " + std::strerror(errno));
  std::vector<char*> arguments;
  for (const auto& a : command) arguments.push_back(const_cast<char*>(a.c_str()));
  arguments.push_back(nullptr);
  pid_t parent = ::getpid();
  id_ = ::fork();
  if (id_ == 0) become(arguments.data(), out, parent);
  int error = errno;
  ::close(out);
  if (id_ < 0) throw std::runtime_error(command.front() + " cannot be started: " + std::strerror(error));
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::kill() {
  if (id_ <= 0) return;
  ::kill(id_, SIGKILL);
  ::waitpid(id_, nullptr, 0);
  id_ = -1;
}

void ChildProcess::signal(int number) {
  if (running()) ::kill(id_, number);
}

bool ChildProcess::running() {
  if (id_ <= 0) return false;
  if (::waitpid(id_, nullptr, WNOHANG) == id_) id_ = -1;
  return id_ > 0;
}

std::optional<ProcessUsage> ChildProcess::usage(bool count_files) const {
  if (id_ <= 0) return std::nullopt;
  auto folder = "/proc/" + std::to_string(id_);
  std::ifstream stat_file(folder + "/stat"), status_file(folder + "/status");
  std::string stat((std::istreambuf_iterator<char>(stat_file)), {});
  std::string status((std::istreambuf_iterator<char>(status_file)), {});
  auto name_end = stat.rfind(')');
  if (name_end == std::string::npos) return std::nullopt;
  std::istringstream fields(stat.substr(name_end + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;  // state to cmajflt; utime and stime follow
  double user = 0, system = 0;
  fields >> user >> system;
  ProcessUsage out;
  out.cpu_s = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  out.peak_mb = megabytes_in(status, "VmHWM:");
  out.now_mb = megabytes_in(status, "VmRSS:");
  if (!count_files) return out;
  if (DIR* files = ::opendir((folder + "/fd").c_str())) {
    while (const dirent* entry = ::readdir(files)) out.files += entry->d_name[0] != '.';
    ::closedir(files);
  }
  return out;
}

ReservedAddress::ReservedAddress(const std::string& ip) {
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;
  ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  socklen_t size = sizeof address;
  if (::bind(socket_, reinterpret_cast<sockaddr*>(&address), size) != 0)
    throw std::runtime_error(ip + ": " + std::strerror(errno));
  ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
  text_ = ip + ":" + std::to_string(ntohs(address.sin_port));
}
ReservedAddress::ReservedAddress(ReservedAddress&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), text_(std::move(other.text_)) {}
ReservedAddress::~ReservedAddress() {
  if (socket_ >= 0) ::close(socket_);
}

}  // namespace corkmux::scale_test

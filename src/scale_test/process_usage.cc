#include "process_usage.h"

#include <dirent.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace corkmux::scale_test {
namespace {

constexpr double kKibPerMib = 1024;
constexpr double kBytesPerMib = 1024 * 1024;
constexpr int kFieldsBeforeCpuTimes = 11;  // of /proc/PID/stat, after the name: from state to cmajflt

std::string read_all(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

/// The sum of user and system time; nullopt if the text is not the content of /proc/PID/stat.
std::optional<double> cpu_seconds(const std::string& stat) {
  auto name_end = stat.rfind(')');
  if (name_end == std::string::npos) return std::nullopt;
  std::istringstream fields(stat.substr(name_end + 2));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeCpuTimes; ++i) fields >> skipped;
  double user_ticks = 0;
  double system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  return (user_ticks + system_ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/// Returns in MiB a field of /proc/PID/status that the kernel gives in KiB; 0 if the field is missing, as it
/// is after the process has exited.
double field_in_mb(const std::string& status, const char* field) {
  auto at = status.find(field);
  if (at == std::string::npos) return 0;
  return std::strtod(status.c_str() + at + std::strlen(field), nullptr) / kKibPerMib;
}

int count_entries(const std::string& folder) {
  DIR* entries = ::opendir(folder.c_str());
  if (!entries) return 0;
  int count = 0;
  while (const dirent* entry = ::readdir(entries))
    if (entry->d_name[0] != '.') ++count;
  ::closedir(entries);
  return count;
}

}  // namespace

std::optional<ProcessUsage> read_process_usage(pid_t process, bool count_files) {
  auto folder = "/proc/" + std::to_string(process);
  auto cpu_s = cpu_seconds(read_all(folder + "/stat"));
  if (!cpu_s) return std::nullopt;
  auto status = read_all(folder + "/status");
  ProcessUsage usage;
  usage.cpu_s = *cpu_s;
  usage.peak_mb = field_in_mb(status, "VmHWM:");
  usage.now_mb = field_in_mb(status, "VmRSS:");
  if (count_files) usage.files = count_entries(folder + "/fd");
  return usage;
}

double own_memory_mb() {
  std::ifstream statm("/proc/self/statm");
  double all_pages = 0;
  double resident_pages = 0;
  statm >> all_pages >> resident_pages;
  return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / kBytesPerMib;
}

}  // namespace corkmux::scale_test

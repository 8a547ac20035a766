#include "machine.h"

#include <algorithm>

namespace corkmux {

double Machine::slack(const Resources& unused) const {
  double share = 1;
  if (size.cpus > 0) share = std::min(share, unused.cpus / size.cpus);
  if (size.gpus > 0) share = std::min(share, unused.gpus / size.gpus);
  if (size.memory_gb > 0) share = std::min(share, unused.memory_gb / size.memory_gb);
  return std::max(0.0, share);
}

bool Machine::holds_image(const std::string& image) const {
  return std::find(images.begin(), images.end(), image) != images.end();
}

int Machine::task_slots() const {
  const int reported = static_cast<int>(tasks.size()) + worker.other_tasks;
  return std::max(0, constants::kMaxTasksOnMachine - reported);
}

int tasks_fitting(const Resources& need, const Resources& free, int task_slots) {
  return std::min(need.times_in(free), task_slots);
}

bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
  return spec.allows_type(type) && (!spec.zone || *spec.zone == zone) && (spec.spot || !spot);
}

bool allowed(const JobSpec& spec, const Machine& machine) {
  return allowed(spec, machine.type, machine.zone, machine.spot);
}

}  // namespace corkmux

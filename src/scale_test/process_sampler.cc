#include "process_sampler.h"

#include <algorithm>

#include "process_usage.h"

namespace corkmux::scale_test {

void ProcessSampler::sample() {
  if (stopped_) return;
  ++samples_;
  if (reading_) read_usage();
  for (auto* process : callbacks_.processes()) {
    if (!process->exited_unexpectedly()) continue;
    stopped_ = true;
    return callbacks_.exited_unexpectedly(*process);
  }
  loop_.call_later(kSampleInterval, [this] { sample(); });
}

void ProcessSampler::read_usage() {
  bool count_files = samples_ % kSamplesBetweenFileCounts == 0;
  double memory_mb = own_memory_mb();
  for (auto* process : callbacks_.processes()) {
    process->read_usage(count_files);
    memory_mb += process->memory_mb();
  }
  peak_memory_mb_ = std::max(peak_memory_mb_, memory_mb);
}

}  // namespace corkmux::scale_test

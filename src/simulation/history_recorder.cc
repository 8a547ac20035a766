#include "history_recorder.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace corkmux::simulation {

namespace {
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
}

HistoryRecorder::HistoryRecorder(MachineObserver& next, Callbacks callbacks)
    : next_(next), callbacks_(std::move(callbacks)) {}

void HistoryRecorder::add_to_hash(std::string_view text) {
  for (unsigned char byte : text) hash_ = (hash_ ^ byte) * kFnvPrime;
}

void HistoryRecorder::note(const std::string& event) {
  events_.push_back(fmt::format("{:7.2f} s  {}", callbacks_.now(), event));
  add_to_hash(events_.back());
}

void HistoryRecorder::task_placed(const MachineFacts& machine, const SimulatedJob& work, int index,
                                  std::uint64_t attempt) {
  add_to_hash(
      fmt::format("on {:.6f} {} {}/{} {}\n", callbacks_.now(), machine.name, work.spec.id, index, attempt));
  next_.task_placed(machine, work, index, attempt);
  callbacks_.task_placed(machine.name);
}

void HistoryRecorder::task_removed(const std::string& machine, const SimulatedJob& work, int index,
                                   std::uint64_t attempt, const std::string& why) {
  add_to_hash(fmt::format("off {:.6f} {} {}/{} {}\n", callbacks_.now(), machine, work.spec.id, index, why));
  next_.task_removed(machine, work, index, attempt, why);
}

void HistoryRecorder::progress_lost(const SimulatedJob& work, const std::string& why, double seconds) {
  next_.progress_lost(work, why, seconds);
}

void HistoryRecorder::task_running(const SimulatedJob& work, int index) { next_.task_running(work, index); }

void HistoryRecorder::task_done(const SimulatedJob& work, int index) {
  next_.task_done(work, index);
  if (std::count(work.done.begin(), work.done.end(), false) == 0) callbacks_.job_done(work.spec.id);
}

}  // namespace corkmux::simulation

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

void HistoryRecorder::on(const std::string& machine, const std::string& type, const std::string& zone,
                         bool spot, const Work& work, int index, std::uint64_t attempt) {
  add_to_hash(
      fmt::format("on {:.6f} {} {}/{} {}\n", callbacks_.now(), machine, work.spec.id, index, attempt));
  next_.on(machine, type, zone, spot, work, index, attempt);
  callbacks_.task_placed(machine);
}

void HistoryRecorder::off(const std::string& machine, const Work& work, int index, std::uint64_t attempt,
                          const std::string& why) {
  add_to_hash(fmt::format("off {:.6f} {} {}/{} {}\n", callbacks_.now(), machine, work.spec.id, index, why));
  next_.off(machine, work, index, attempt, why);
}

void HistoryRecorder::lost(const Work& work, const std::string& why, double seconds) {
  next_.lost(work, why, seconds);
}

void HistoryRecorder::running(const Work& work, int index) { next_.running(work, index); }

void HistoryRecorder::done(const Work& work, int index) {
  next_.done(work, index);
  if (std::count(work.done.begin(), work.done.end(), false) == 0) callbacks_.job_done(work.spec.id);
}

}  // namespace corkmux::simulation

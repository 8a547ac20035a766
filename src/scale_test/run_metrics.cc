#include "run_metrics.h"

#include <algorithm>

namespace corkmux::scale_test {

double TimeHistogram::count() const { return boost::histogram::algorithm::sum(histogram_); }

double TimeHistogram::quantile(double share) const {
  double wanted = share * count(), so_far = 0;
  if (wanted <= 0) return 0;
  for (auto&& bin : boost::histogram::indexed(histogram_)) {
    so_far += *bin;
    if (so_far >= wanted) return bin.bin().upper();
  }
  return kMostTime;
}

double TimeHistogram::share_within(double seconds) const {
  double all = count(), within = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_))
    if (bin.bin().lower() < seconds) within += *bin;
  return all > 0 ? within / all : 1;
}

void RunMetrics::submitted(const JobSpec& job, double at) {
  if (!counts(at)) return;
  ++submitted_;
  waiting_for_answer_[job.id] = {at, false};
  waiting_for_start_[job.id] = {at, job.priority == Priority::High};
}

void RunMetrics::accepted(const std::string& job, double at) {
  auto waiting = waiting_for_answer_.extract(job);
  if (waiting) accepted_in_.add(at - waiting.mapped().since);
}

void RunMetrics::refused(int status, double at) { refusals_[status] += counts(at); }

void RunMetrics::started(const simulation::SimulatedJob&, int, double at) {
  most_running_ = std::max(most_running_, ++running_now_);
  double gap = last_start_ > 0 ? at - last_start_ : 0;
  if (counts(at)) {
    ++starts_;
    longest_pause_ = std::max(longest_pause_, gap);
  }
  // Once nothing is submitted any more, a time without starts is no pause.
  for (auto& p : pauses_)
    if (at > p.at && at < to_ && last_start_ < p.at + kPauseWindow)
      p.longest_s = std::max(p.longest_s, at - std::max(last_start_, p.at));
  last_start_ = at;
}

/// Of a gang all tasks run from the same moment on; of an array the first counts.
void RunMetrics::running(const simulation::SimulatedJob& work, double at) {
  auto waiting = waiting_for_start_.extract(work.spec.id);
  if (!waiting) return;
  (waiting.mapped().urgent ? urgent_running_in_ : other_running_in_).add(at - waiting.mapped().since);
}

void RunMetrics::left(const simulation::SimulatedJob&, const std::string& why, double) {
  --running_now_;
  ++exits_by_why_[why];
}

codec::Json RunMetrics::to_json() const {
  auto times = [](const TimeHistogram& h) {
    return codec::Json{{"count", h.count()},
                       {"p50_s", h.quantile(0.5)},
                       {"p95_s", h.quantile(0.95)},
                       {"p99_s", h.quantile(0.99)}};
  };
  auto urgent = times(urgent_running_in_);
  urgent["share_within_aim"] = urgent_running_in_.share_within(kUrgentWithin);
  codec::Json refusals = codec::Json::object(), pauses = codec::Json::array();
  for (const auto& [status, count] : refusals_) refusals[std::to_string(status)] = count;
  for (const auto& p : pauses_)
    pauses.push_back({{"fault", p.after}, {"at_s", p.at - from_}, {"longest_pause_s", p.longest_s}});
  int urgent_left = 0;
  for (const auto& [job, waiting] : waiting_for_start_) urgent_left += waiting.urgent;
  return {{"submitted", submitted_},
          {"starts", starts_},
          {"starts_per_s", starts_ / std::max(1e-9, to_ - from_)},
          {"most_tasks_on_machines", most_running_},
          {"accepted_in", times(accepted_in_)},
          {"urgent_running_in", urgent},
          {"urgent_never_running", urgent_left},
          {"other_running_in", times(other_running_in_)},
          {"longest_pause_s", longest_pause_},
          {"refused_submissions", refusals},
          {"task_exits", exits_by_why_},
          {"pauses", pauses}};
}

}  // namespace corkmux::scale_test

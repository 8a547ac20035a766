#include "run_metrics.h"

#include "scale_test_plan.h"
#include "time_constants.h"

namespace corkmux::scale_test {
namespace {

constexpr double kMinWindowLength = 1e-9;  // s; keeps a rate finite

codec::Json quantiles(const TimeHistogram& times) {
  return {{"count", times.count()},
          {"p50_s", times.quantile(0.5)},
          {"p95_s", times.quantile(0.95)},
          {"p99_s", times.quantile(0.99)}};
}

}  // namespace

double TimeHistogram::count() const { return boost::histogram::algorithm::sum(histogram_); }

double TimeHistogram::quantile(double share) const {
  double rank = share * count();
  if (rank <= 0) return 0;
  double so_far = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_)) {
    so_far += *bin;
    if (so_far >= rank) return bin.bin().upper();
  }
  return kMaxTime;
}

double TimeHistogram::share_within(double seconds) const {
  double all = count();
  double within = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_))
    if (bin.bin().lower() < seconds) within += *bin;
  return all > 0 ? within / all : 1;
}

void RunMetrics::submitted(const JobSpec& job, double at) {
  if (!counts(at)) return;
  ++submitted_;
  waiting_for_acceptance_[job.id] = at;
  waiting_for_start_[job.id] = {at, job.priority == Priority::High};
}

void RunMetrics::accepted(const std::string& job, double at) {
  auto since = waiting_for_acceptance_.extract(job);
  if (since) accepted_in_.add(at - since.mapped());
}

void RunMetrics::refused(int status, double at) { refusals_[status] += counts(at) ? 1 : 0; }

void RunMetrics::started(const simulation::SimulatedJob& /*work*/, int /*index*/, double at) {
  ++running_now_;
  max_running_ = std::max(max_running_, running_now_);
  if (counts(at)) {
    ++starts_;
    if (last_start_) longest_pause_ = std::max(longest_pause_, at - *last_start_);
  }
  extend_pauses(at);
  last_start_ = at;
}

void RunMetrics::extend_pauses(double start_at) {
  // Submissions stop at the end of the window, so a time without starts after it is not a pause.
  if (!window_ || start_at >= window_->to) return;
  double last_start = last_start_.value_or(kLongAgo);
  for (auto& pause : pauses_)
    if (start_at > pause.at && last_start < pause.at + kPauseWindow)
      pause.longest_s = std::max(pause.longest_s, start_at - std::max(last_start, pause.at));
}

/// Records the first `running` event of a job: all tasks of a gang start to run at the same time, and of an
/// array the first task counts.
void RunMetrics::running(const simulation::SimulatedJob& work, double at) {
  auto job = waiting_for_start_.extract(work.spec.id);
  if (!job) return;
  TimeHistogram& times = job.mapped().urgent ? urgent_running_in_ : other_running_in_;
  times.add(at - job.mapped().since);
}

void RunMetrics::left(const simulation::SimulatedJob& /*work*/, const std::string& why, double /*at*/) {
  --running_now_;
  ++exits_by_why_[why];
}

codec::Json RunMetrics::pauses_to_json() const {
  double window_from = window_ ? window_->from : 0;
  auto pauses = codec::Json::array();
  for (const auto& pause : pauses_)
    pauses.push_back(
        {{"fault", pause.after}, {"at_s", pause.at - window_from}, {"longest_pause_s", pause.longest_s}});
  return pauses;
}

codec::Json RunMetrics::to_json() const {
  double length_s = window_ ? window_->length_s() : 0;
  auto urgent = quantiles(urgent_running_in_);
  urgent["share_within_aim"] = urgent_running_in_.share_within(kUrgentWaitObjective);
  int urgent_waiting = 0;
  for (const auto& [id, job] : waiting_for_start_)
    if (job.urgent) ++urgent_waiting;
  auto refusals = codec::Json::object();
  for (const auto& [status, count] : refusals_) refusals[std::to_string(status)] = count;
  return {{"submitted", submitted_},
          {"starts", starts_},
          {"starts_per_s", starts_ / std::max(kMinWindowLength, length_s)},
          {"most_tasks_on_machines", max_running_},
          {"accepted_in", quantiles(accepted_in_)},
          {"urgent_running_in", urgent},
          {"urgent_never_running", urgent_waiting},
          {"other_running_in", quantiles(other_running_in_)},
          {"longest_pause_s", longest_pause_},
          {"refused_submissions", refusals},
          {"task_exits", exits_by_why_},
          {"pauses", pauses_to_json()}};
}

}  // namespace corkmux::scale_test

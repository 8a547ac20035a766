#include "job_arrivals.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace corkmux::simulation {
namespace {

// Initial jobs are submitted between these two times, once the controllers are up.
constexpr double kFirstSubmission = 2;        // s
constexpr double kLastInitialSubmission = 6;  // s
constexpr double kStreamStart = 4;            // s
constexpr int kUnknownJobs = 5;               // polls of jobs that were never submitted
constexpr double kFirstUnknownJob = 10;       // s

}  // namespace

JobArrivals::JobArrivals(EventSimulator& simulator, const SimulationPlan& plan, Host& users_host,
                         Loop& users_loop, Users& users)
    : simulator_(simulator), plan_(plan), users_host_(users_host), users_loop_(users_loop), users_(users) {}

void JobArrivals::start() {
  for (const auto& workload : plan_.workloads) {
    streams_.push_back(std::make_unique<Stream>(users_loop_, workload));
    auto& stream = *streams_.back();
    for (int i = 0; i < workload.at_start; ++i)
      users_host_.start(simulator_.uniform(kFirstSubmission, kLastInitialSubmission),
                        [this, &workload] { submit(workload); });
    stream.next.once(kStreamStart, [this, &stream] { schedule_next(stream); });
  }
  for (int i = 0; i < kUnknownJobs; ++i)
    users_host_.start(simulator_.uniform(kFirstUnknownJob, plan_.until_s),
                      [this, i] { users_.poll_once(fmt::format("run-9{:05d}", i)); });
}

void JobArrivals::schedule_next(Stream& stream) {
  if (stream.workload.per_minute <= 0 || simulator_.now() >= plan_.jobs_until_s) return;
  std::exponential_distribution<double> gap_s(stream.workload.per_minute * stream.factor / 60);
  stream.next.once(gap_s(simulator_.rng()), [this, &stream] {
    if (simulator_.now() < plan_.jobs_until_s) submit(stream.workload);
    schedule_next(stream);
  });
}

void JobArrivals::burst(const std::string& job_class, const std::string& team, double factor, double for_s) {
  for (auto& stream : streams_) {
    const JobSpec& spec = stream->workload.job_template;
    if (!job_class.empty() && spec.job_class != job_class) continue;
    if (!team.empty() && spec.team != team) continue;
    set_factor(*stream, factor);
    simulator_.schedule_after(for_s, [this, stream = stream.get()] { set_factor(*stream, 1); });
  }
}

void JobArrivals::set_factor(Stream& stream, double factor) {
  simulator_.run_as(users_host_, [&] {
    stream.factor = factor;
    schedule_next(stream);
  });
}

void JobArrivals::submit(const Workload& workload) {
  auto job = draw_job(workload);
  auto cancel_after_s = draw_cancellation(job, workload);
  users_.submit(std::move(job), cancel_after_s);
}

SimulatedJob JobArrivals::draw_job(const Workload& workload) {
  SimulatedJob job;
  job.spec = workload.job_template;
  job.spec.id = fmt::format("run-{:06d}", ++jobs_drawn_);
  job.spec.tasks = workload.tasks[simulator_.below(workload.tasks.size())];
  job.spec.image = fmt::format("{}-{}", workload.job_template.job_class,
                               simulator_.below(static_cast<std::size_t>(workload.images)));
  std::lognormal_distribution<double> spread(0, 0.35);
  double run_s = workload.run_s * std::clamp(spread(simulator_.rng()), 0.4, 2.5);
  for (int i = 0; i < job.spec.tasks; ++i) job.run_s.push_back(run_s * simulator_.uniform(0.85, 1.15));
  bool endless = job.spec.kind == JobKind::Service;
  job.spec.estimate_s = endless ? 0 : run_s * simulator_.uniform(0.6, 1.5);
  job.always_fails = simulator_.uniform(0, 1) < workload.bad_share;
  return job;
}

std::optional<double> JobArrivals::draw_cancellation(const SimulatedJob& job, const Workload& workload) {
  // Services and jobs that always fail only end when their users cancel them.
  if (job.always_fails || job.spec.kind == JobKind::Service) return simulator_.uniform(40, 80);
  if (simulator_.uniform(0, 1) < workload.cancel_share) return simulator_.uniform(1, 2 * workload.run_s);
  return std::nullopt;
}

}  // namespace corkmux::simulation

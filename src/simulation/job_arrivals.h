// Generates the jobs that users submit in a simulation: draws sizes, run times and arrival times from the
// plan's workloads. Owns the arrival streams; Users submits the drawn jobs.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_simulator.h"
#include "simulation_plan.h"
#include "timer.h"
#include "users.h"

namespace corkmux::simulation {

class JobArrivals {
 public:
  /// `users_loop` runs on `users_host`. All arguments must outlive this object.
  JobArrivals(EventSimulator& simulator, const SimulationPlan& plan, Host& users_host, Loop& users_loop,
              Users& users);
  /// Schedules the initial jobs, the streams, and polls of jobs that were never submitted. Runs on the users'
  /// host.
  void start();
  /// Multiplies the arrival rate for `for_s` seconds; an empty class or team matches all.
  void burst(const std::string& job_class, const std::string& team, double factor, double for_s);

 private:
  /// Jobs of one workload, with exponentially distributed gaps.
  struct Stream {
    Stream(Loop& loop, const Workload& drawn_from) : workload(drawn_from), next(loop) {}
    const Workload& workload;
    double factor = 1;
    Timer next;
  };
  void schedule_next(Stream& stream);
  void set_factor(Stream& stream, double factor);
  void submit(const Workload& workload);
  SimulatedJob draw_job(const Workload& workload);
  /// Seconds from the submission until the user cancels the job; empty: never.
  std::optional<double> draw_cancellation(const SimulatedJob& job, const Workload& workload);

  EventSimulator& simulator_;
  const SimulationPlan& plan_;
  Host& users_host_;
  Loop& users_loop_;
  Users& users_;
  std::vector<std::unique_ptr<Stream>> streams_;
  int jobs_drawn_ = 0;
};

}  // namespace corkmux::simulation

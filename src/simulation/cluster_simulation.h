// A whole cluster in one process and in stepped time: real controllers, and around them machines, users, a
// state service, a cloud and a network, from one seed. Plays a plan and gives the report of it.
#pragma once
#include <spdlog/formatter.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "controller.h"
#include "event_simulator.h"
#include "invariant_checker.h"
#include "simulation_plan.h"
#include "state_service.h"
#include "users.h"

namespace corkmux::simulation {

class ClusterSimulation {
 public:
  ClusterSimulation(SimulationPlan plan, std::uint64_t seed);
  ~ClusterSimulation();
  /// Plays on until then, s of simulated time.
  void run_until(double time);
  /// Plays the plan to its end.
  void run();

  const SimulationPlan& plan() const { return plan_; }
  const InvariantChecker& checker() const { return checker_; }
  EventSimulator& simulator() { return simulator_; }
  StateService& state() { return *state_; }
  /// The rules hold, and every class and team is served by at least the plan's share.
  bool good() const { return problems().empty(); }
  std::vector<std::string> problems() const;
  /// What happened, a line each, in order of time: faults, terms, pauses.
  const std::vector<std::string>& events() const { return events_; }
  codec::Json report() const;
  /// The account for a reader, about twenty lines.
  std::string report_text() const;
  /// How often it came to what a test wants to have happened.
  struct Occurrences {
    int cancelled = 0;                 // jobs called off at once, and of these
    int cancelled_on_unreachable = 0;  // with a task on a machine that is cut off or hangs,
    int cancelled_at_quota_limit = 0;  // and their team within a twentieth of a limit
    int young_starts = 0;              // starts on machines up for less than 3 s while writes lagged
    std::size_t copies = 0;            // heartbeats that reached all controllers as a new leader began
  };
  const Occurrences& occurrences() const { return occurrences_; }
  /// Leaders that began.
  int terms() const { return terms_; }
  /// Stands for everything that users and machines saw, in order: equal histories have equal ones.
  std::uint64_t history() const { return history_.value; }

 private:
  struct Process {
    std::string label, zone;
    std::size_t listener = 0;
    Host* host = nullptr;
    std::unique_ptr<Loop> loop;
    std::unique_ptr<Controller> controller;
    bool led = false;  // when last looked at
  };
  struct Machine {
    Host* host = nullptr;
    std::unique_ptr<Loop> loop;
    std::unique_ptr<Worker> worker;
    bool faulty = false, cut = false;
    double booted = 0;
  };
  struct Stream {
    const Workload* load;
    double factor = 1;
    Timer next;
    Stream(Loop& loop, const Workload& l) : load(&l), next(loop) {}
  };
  /// Remembers the order of what was seen as one number.
  struct History {
    std::uint64_t value = 1469598103934665603ull;
    void add(std::string_view text);
  };
  /// Passes on to the checker, and to the history.
  struct Recorder : MachineObserver {
    ClusterSimulation& simulation;
    explicit Recorder(ClusterSimulation& w) : simulation(w) {}
    void task_placed(const MachineFacts& machine, const SimulatedJob& work, int index,
                     std::uint64_t attempt) override;
    void task_removed(const std::string& machine, const SimulatedJob& work, int index, std::uint64_t attempt,
                      const std::string& why) override;
    void progress_lost(const SimulatedJob& work, const std::string& why, double seconds) override;
    void task_running(const SimulatedJob& work, int index) override {
      simulation.checker_.task_running(work, index);
    }
    void task_done(const SimulatedJob& work, int index) override;
  };
  Settings settings_of(const Process& process) const;
  void start(Process& process);
  void crash(Process& process, double back_s);  // 0: as the plan says
  void end(Process& process, bool silent, double back_s);
  void boot(const MachineFacts& facts);
  void lose_machine(const std::string& name, const std::string& why);
  std::string machine_ip(const std::string& name) const;
  void submit(const Workload& load);
  void arrivals(Stream& stream);
  void arm(Stream& stream);
  void sample_progress();
  std::vector<std::string> fitting_jobs();
  void detect_new_leader();
  void note(const std::string& what);

  void begin(const Fault& fault);
  void node_fault(const Fault& fault);
  void machine_fault(const Fault& fault);
  void cut_fault(const Fault& fault);
  void late_fault(const Fault& fault);
  void late_batches(const Fault& fault);
  void users_fault(const Fault& fault);
  void cancel_running_jobs(const Fault& fault);
  void hang(const std::string& name, double for_s);
  void lose_answers_to(const std::vector<std::string>& names, double until);
  void lose_requests_from(const std::vector<std::string>& names, double until);
  std::vector<Process*> chosen(const Fault& fault);
  std::vector<std::string> some_machines(int count, const std::string& zone, bool spot_only);
  void after(double s, std::function<void()> fn) {
    simulator_.at(simulator_.now() + s, nullptr, std::move(fn));
  }

  SimulationPlan plan_;
  EventSimulator simulator_;
  InvariantChecker checker_;
  Recorder recorder_{*this};
  History history_;
  std::vector<std::string> events_;
  Host &services_host_, &users_host_;
  std::unique_ptr<Loop> services_loop_, users_loop_;
  std::unique_ptr<StateService> state_;
  std::unique_ptr<JobRegistry> registry_;
  std::unique_ptr<Cloud> cloud_;
  std::map<std::string, std::string> addresses_;  // of controllers, for users and workers
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::string, Machine> machines_;
  std::unique_ptr<Users> users_;
  std::vector<std::unique_ptr<Stream>> streams_;
  int next_job_ = 0, terms_ = 0;
  double for_next_until_ = -1, writes_lag_until_ = -1;
  Occurrences occurrences_;
};

/// Log lines with the simulated time and the host that writes them.
std::unique_ptr<spdlog::formatter> log_formatter();

}  // namespace corkmux::simulation

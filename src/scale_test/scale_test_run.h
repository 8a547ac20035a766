// One scale run: deployed controllers as processes of their own, hollow workers, a stand-in state service and
// cloud, and users around them, on the sockets and the clock of this machine. Measures what each role uses,
// brings about the plan's faults and holds PROTOCOL's rules against what was seen.
#pragma once
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "child_process.h"
#include "cloud.h"
#include "event_merger.h"
#include "job_source.h"
#include "run_metrics.h"
#include "scale_test_plan.h"
#include "state_host.h"
#include "users.h"

namespace corkmux::scale_test {

/// The programs that a run starts.
struct Programs {
  std::string own, controller;  // this program, for its other roles; the deployed one
};

class ScaleTestRun {
 public:
  /// `plan_file`: handed to the processes of other roles, which read the same plan, with `overrides`.
  ScaleTestRun(Loop& loop, ScaleTestPlan plan, Programs programs, std::string plan_file,
               std::vector<std::string> overrides);
  ~ScaleTestRun();
  /// Plays the plan; `done` when it is over. Throws std::runtime_error if something cannot be started.
  void start(std::function<void()> done);
  /// Every rule held and enough of every class and team was served.
  bool good() const { return problems().empty(); }
  std::vector<std::string> problems() const;
  codec::Json account() const;
  /// The account for a reader.
  std::string report_text() const;

 private:
  struct Role {
    std::unique_ptr<ChildProcess> process;
    std::string label, log;
    ProcessUsage used, at_start;  // latest, and as the window began
    double peak_mb = 0, cpu_before = 0;
    int most_files = 0, most_files_before = 0, restarts = 0;  // open, in the window and before it
    codec::Json traffic = codec::Json::object(), traffic_at_start = codec::Json::object();
  };
  struct Host : Role {
    std::vector<simulation::MachineFacts> to_boot;
    HostInstructions instructions;
    int workers = 0, tasks = 0;
  };
  void serve(http::Server::ConnectionId id, const http::Request& request);
  void host_status(http::Server::ConnectionId id, const HostStatus& report);
  void state_counts_received(http::Server::ConnectionId id, StateCounts counts);
  void begin_outside();
  void start_controllers();
  void start_controller(std::size_t number);
  void start_hosts();
  /// Goes on once `there` holds; the run fails with `what` if it does not in time.
  void wait_for(std::string what, std::function<bool()> there, std::function<void()> then);
  void begin_load();
  void submit_next();
  void open_window();
  void close_window();
  void drain();
  void finish();
  void fail(const std::string& why);
  void inject(const Fault& fault);
  void restart_controller(std::size_t number);
  void lose_machines(int count, const std::string& why, bool come_back);
  std::size_t leader() const;  // number of the controller that leads; controllers_.size(): none
  void sample();
  void read_usage(Role& role, bool count_files);
  void ask_for_traffic();
  void read_traffic(Role& role) const;
  void progress();
  std::vector<Role*> roles();
  codec::Json role_account(const std::vector<const Role*>& of) const;
  codec::Json state_account() const;
  double seconds() const { return run_time() - began_; }

  Loop& loop_;
  ScaleTestPlan plan_;
  Programs programs_;
  std::string plan_file_;
  std::vector<std::string> overrides_;
  JobSource jobs_;
  RunMetrics metrics_;
  EventMerger record_;
  std::filesystem::path folder_;  // settings and logs; removed with the run unless it failed
  std::unique_ptr<simulation::MachineObserver> nobody_;
  simulation::JobRegistry registry_;
  http::Server collector_;
  std::unique_ptr<simulation::Cloud> cloud_;
  std::unique_ptr<simulation::Users> users_;
  std::vector<ReservedAddress> user_addresses_, peer_addresses_;
  std::vector<std::unique_ptr<Role>> controllers_;
  std::vector<std::unique_ptr<Host>> hosts_;
  Role state_;
  StateCounts state_counts_, state_at_start_;
  std::map<std::string, simulation::MachineFacts> machines_;
  std::map<std::string, std::string> machine_addresses_;
  std::size_t leader_at_start_ = 0, leader_at_end_ = 0;
  std::mt19937_64 random_;
  double began_ = 0, window_from_ = 0, window_to_ = 0, peak_mb_ = 0;
  int next_job_ = 0, samples_ = 0;
  bool submitting_ = false, over_ = false;
  std::string failure_;
  std::function<void()> done_;
};

}  // namespace corkmux::scale_test

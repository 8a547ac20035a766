// The controllers of a run: one process of the deployed program each, with its own settings file.
#pragma once
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "measured_process.h"
#include "reserved_address.h"
#include "run_folder.h"
#include "scale_test_plan.h"

namespace corkmux::scale_test {

class ControllerGroup {
 public:
  /// The references must outlive the group. `program`: path of the deployed controller program.
  ControllerGroup(const ScaleTestPlan& plan, const RunFolder& folder, std::string program)
      : plan_(plan), folder_(folder), program_(std::move(program)) {}

  /// Writes the settings files and starts all controllers. `state`, `cloud`: host:port. Throws
  /// std::runtime_error on failure.
  void start_all(const std::string& state, const std::string& cloud);
  void start(std::size_t number);
  /// Kills the controller as a crash would, so that start() can restart it. False: it is not running.
  bool kill_for_restart(std::size_t number) { return controllers_[number]->process.kill_for_restart(); }
  /// Kills all controllers.
  void end();

  std::size_t size() const { return controllers_.size(); }
  /// nullopt: no controller has that label.
  std::optional<std::size_t> find(const std::string& label) const;
  /// The user-facing address of each controller, by label.
  std::map<std::string, std::string> user_addresses() const;
  /// The processes in the order of the controllers' numbers.
  std::vector<MeasuredProcess*> processes() const;

  /// Signals all controllers (SIGUSR1) to log their message counts; the lines appear after a short delay.
  void request_traffic();
  /// Reads the message counts that the controllers have logged.
  void read_traffic();

 private:
  struct Controller {
    Controller(std::string its_label, const std::string& ip, std::string log)
        : label(std::move(its_label)), user_address(ip), peer_address(ip), process(std::move(log)) {}
    std::string label;
    ReservedAddress user_address;
    ReservedAddress peer_address;
    MeasuredProcess process;
  };

  const ScaleTestPlan& plan_;
  const RunFolder& folder_;
  std::string program_;
  std::vector<std::unique_ptr<Controller>> controllers_;
};

}  // namespace corkmux::scale_test

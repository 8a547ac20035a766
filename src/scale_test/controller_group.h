// The deployed controllers of a run, one process each, with settings files of their own.
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
  /// The references have to outlive it. `program`: the deployed one.
  ControllerGroup(const ScaleTestPlan& plan, const RunFolder& folder, std::string program)
      : plan_(plan), folder_(folder), program_(std::move(program)) {}

  /// Writes the settings and starts all. `state`, `cloud`: host:port. Throws std::runtime_error.
  void start_all(const std::string& state, const std::string& cloud);
  void start(std::size_t number);
  /// Ends it as a crash would, to be started again. False: it does not run.
  bool end_for_restart(std::size_t number) { return controllers_[number]->process.end_for_restart(); }
  /// Ends all.
  void end();

  std::size_t size() const { return controllers_.size(); }
  /// nullopt: no controller has that label.
  std::optional<std::size_t> find(const std::string& label) const;
  /// By label.
  std::map<std::string, std::string> user_addresses() const;
  /// By number.
  std::vector<MeasuredProcess*> processes() const;

  /// Asks all to log their counts of messages, which takes a moment.
  void request_traffic();
  /// Reads what they have logged.
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

// Provisions, lists and deletes machines through the cloud's interface.
//
// Owns the term's unsettled requests to the cloud. plan_scaling() decides how many machines there should be,
// and the scheduler decides which machines are deleted. An actor of one term.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "codec.h"
#include "http.h"
#include "scaling.h"
#include "scheduler.h"
#include "settings.h"
#include "term.h"
#include "time_constants.h"

namespace corkmux {

class MachineProvisioner : public Actor<MachineProvisioner> {
 public:
  /// Requests a worker's heartbeat.
  using InspectCallback = std::function<void(const std::string& machine)>;

  MachineProvisioner(Loop& loop, const Settings& settings, const OperatorChoices& choices,
                     http::Client& cloud, Term& term, Scheduler& scheduler, TermCallbacks callbacks,
                     InspectCallback inspect);
  void start();

 private:
  /// A request to the cloud that is not settled yet. It is repeated under the same name, so that no machine
  /// is provisioned twice.
  struct PendingRequest {
    std::string name;
    ScaleOutRequest request;
  };
  static constexpr double kTickInterval = 1.0;       // s
  static constexpr double kListInterval = 8.0;       // s
  static constexpr double kNoCapacityPause = 20.0;   // s before a refused type and zone is requested again
  static constexpr double kRefusedPause = 2.0;       // s, if it was refused for another reason
  static constexpr double kNextRequestPause = 0.05;  // s after an answer
  static constexpr double kFirstHeartbeatIntervals =
      1.25;  // from the term's start until scaling, so that existing machines have reported
  static constexpr int kMaxRequestsAtOnce = 3;    // lists and deletions share the cloud's rate
  static constexpr int kListPage = 200;           // machines
  static constexpr std::size_t kMaxDelete = 100;  // names in one request, by the protocol

  void tick();
  bool may_act() const;
  void scale();
  int repeat_pending();
  void provision(const ScaleOutRequest& request);
  void provisioned(const ScaleOutRequest& request, const http::Result& result);
  void add_machines(const ScaleOutRequest& request, const std::vector<std::string>& names);
  void list(const std::string& after);
  void listed(const http::Result& result);
  void inspect_machines_without_heartbeat(const std::vector<ListedMachine>& machines);
  void delete_machines();

  Settings settings_;
  OperatorChoices choices_;
  http::Client& cloud_;
  Term& term_;
  Scheduler& scheduler_;
  TermCallbacks callbacks_;
  InspectCallback inspect_;
  bool deleting_ = false;
  bool listing_ = false;
  double listed_at_ = kLongAgo;
  RefusedUntil refused_until_;  // s of the steady clock
  std::map<MachineKind, PendingRequest> pending_;
  std::set<MachineKind> in_flight_;
  std::uint64_t requests_ = 0;
  Timer tick_timer_;
  Timer scale_timer_;
};

}  // namespace corkmux

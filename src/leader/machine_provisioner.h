// Rents, lists and returns machines.
//
// Owns the term's unsettled requests to the cloud. How many machines there should be is plan_scaling()'s to
// say, and which are to be returned the book's.
#pragma once
#include <map>
#include <set>
#include <string>

#include "http.h"
#include "scaling.h"
#include "scheduler.h"
#include "settings.h"
#include "term.h"

namespace corkmux {

class MachineProvisioner : public Actor<MachineProvisioner> {
 public:
  /// `inspect`: asks a worker for its report.
  MachineProvisioner(Loop& loop, const Settings& settings, const OperatorChoices& choices,
                     http::Client& cloud, Term& term, Scheduler& scheduler, TermCallbacks callbacks,
                     std::function<void(const std::string& machine)> inspect);
  void start();

 private:
  using Kind = MachineKind;
  void tick();
  void rent_machines();
  void rent(const ScaleOutRequest& wish);
  void list(const std::string& after);
  void return_machines();
  Settings settings_;
  OperatorChoices choices_;
  http::Client& cloud_;
  Term& term_;
  Scheduler& scheduler_;
  TermCallbacks callbacks_;
  std::function<void(const std::string&)> inspect_;
  bool deleting_ = false, listing_ = false;
  double last_list_ = -1e9;
  RefusedUntil refused_;
  std::map<Kind, std::pair<std::string, int>> renting_;  // unsettled requests: name, count
  std::set<Kind> in_flight_;
  int requests_ = 0;
  Timer timer_, rent_soon_;
};

}  // namespace corkmux

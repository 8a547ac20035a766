#include "machine_provisioner.h"

#include <spdlog/spdlog.h>

#include "codec.h"
#include "leader_constants.h"
#include "state_store_constants.h"

namespace corkmux {
namespace c = constants;

MachineProvisioner::MachineProvisioner(Loop& loop, const Settings& settings, const OperatorChoices& choices,
                                       http::Client& cloud, Term& term, Scheduler& scheduler,
                                       TermCallbacks callbacks,
                                       std::function<void(const std::string&)> inspect)
    : Actor(loop),
      settings_(settings),
      choices_(choices),
      cloud_(cloud),
      term_(term),
      scheduler_(scheduler),
      callbacks_(std::move(callbacks)),
      inspect_(std::move(inspect)),
      timer_(loop),
      rent_soon_(loop) {}

void MachineProvisioner::start() {
  timer_.every(c::kFleetTick, [this] { tick(); });
  list("");
}

void MachineProvisioner::tick() {
  // Guards against a process that stood still and does not know yet whether it still leads: what it holds for
  // idle or silent may be at work under another leader, and the cloud asks for no stamp.
  if (term_.over() || term_.resigning || !term_.awake()) return;
  return_machines();
  if (steady_now() - last_list_ > c::kListEvery) list("");
  rent_machines();
}

void MachineProvisioner::rent_machines() {
  double now = steady_now();
  if (term_.over() || term_.resigning || !term_.awake()) return;
  if (now - term_.since < 1.25 * settings_.report_s) return;  // first hear from what is there
  auto plan = plan_scaling(scheduler_, choices_, refused_, now);
  int n = 0;
  for (const auto& [key, request] : renting_) {
    if (in_flight_.count(key)) continue;
    rent({key.type, key.zone, key.spot, request.second});
    if (++n >= c::kRentsAtOnce) return;
  }
  for (const auto& wish : plan.scale_out) {
    if (renting_.count(wish.key())) continue;
    rent(wish);
    if (++n >= c::kRentsAtOnce) break;  // the cloud's rate is shared with lists and returns
  }
  for (const auto& name : plan.scale_in) {
    spdlog::info("machine {} is idle beyond the headroom: returned", name);
    scheduler_.decommission(name, now);
  }
}

void MachineProvisioner::rent(const ScaleOutRequest& wish) {
  auto [it, fresh] = renting_.try_emplace(wish.key());
  // A request without an answer is repeated under its name, so that nothing is rented twice.
  if (fresh)
    it->second = {"r-" + std::to_string(term_.number) + "-" + std::to_string(++requests_), wish.count};
  std::string request = it->second.first;
  int count = it->second.second;
  in_flight_.insert(wish.key());
  cloud_.request("POST", codec::kRentPath,
                 codec::pack(codec::rent_request(request, wish.type, wish.zone, wish.spot, count)),
                 c::kCloudTimeout, term_.guard([this, wish, count](http::Result r) {
                   double now = steady_now();
                   in_flight_.erase(wish.key());
                   rent_soon_.once(0.05, [this] { rent_machines(); });
                   auto body = codec::unpack(r.body);
                   if (r.ok() && body) {
                     auto names = codec::parse_rented(*body);
                     renting_.erase(wish.key());
                     for (const auto& name : names)
                       scheduler_.provisioned(name, wish.type, wish.zone, wish.spot, now);
                     if (static_cast<int>(names.size()) < count)
                       refused_[wish.key()] = now + c::kNoCapacityPause;
                     spdlog::info("rented {} {} machines in {}{}", names.size(), wish.type, wish.zone,
                                  wish.spot ? ", spot" : "");
                   } else if (r.status == 503 || r.status == 400) {
                     renting_.erase(wish.key());
                     bool full = body && codec::is_no_capacity(*body);
                     refused_[wish.key()] = now + (full ? c::kNoCapacityPause : 2.0);
                   } else if (r.status == 429) {
                     renting_.erase(wish.key());
                   }
                 }));
}

void MachineProvisioner::return_machines() {
  if (deleting_) return;
  auto names = scheduler_.decommissioning();
  if (names.empty()) return;
  if (names.size() > c::kMaxDelete) names.resize(c::kMaxDelete);
  deleting_ = true;
  cloud_.request("POST", codec::kDeletePath, codec::pack(codec::delete_request(names)), c::kCloudTimeout,
                 term_.guard([this, names](http::Result r) {
                   deleting_ = false;
                   if (r.ok()) scheduler_.deleted(names, steady_now());
                   callbacks_.changed();
                 }));
}

void MachineProvisioner::list(const std::string& after) {
  if (after.empty()) {
    if (listing_) return;
    listing_ = true;
    last_list_ = steady_now();
  }
  cloud_.request("GET", codec::list_path(after, 200), "", c::kCloudTimeout,
                 term_.guard([this](http::Result r) {
                   double now = steady_now();
                   auto body = r.ok() ? codec::unpack(r.body) : std::nullopt;
                   listing_ = false;
                   if (!body) return;
                   auto page = codec::parse_machines(*body);
                   scheduler_.listed(page.machines, now);
                   // After a change of leader the machines are looked up at once, before their workers have
                   // found us.
                   if (now - term_.since < settings_.lease_s)
                     for (const auto& l : page.machines)
                       if (const Machine* m = scheduler_.machine(l.name);
                           m && !m->up && !m->decommissioning && l.phase == ListedMachine::Phase::Running)
                         inspect_(l.name);
                   if (page.more && !page.machines.empty()) {
                     listing_ = true;
                     list(page.machines.back().name);
                   }
                   callbacks_.changed();
                 }));
}

}  // namespace corkmux

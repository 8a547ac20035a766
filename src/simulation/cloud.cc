#include "cloud.h"

#include <fmt/format.h>

#include <algorithm>

#include "simulation_constants.h"

namespace corkmux::simulation {

using codec::Json;

namespace {

constexpr double kMinBilledTime = 60;  // s
constexpr double kSecondsPerHour = 3600;
constexpr int kMaxProvisionedAtOnce = 50;      // machines per request
constexpr std::size_t kMaxListedAtOnce = 500;  // machines per page of a list
// Bounds of a boot's duration as multiples of its type's usual boot time, and of a list's age as multiples of
// the usual lag.
constexpr double kMinBootShare = 0.6;
constexpr double kMaxBootShare = 1.5;
constexpr double kMinLagShare = 0.5;
constexpr double kMaxLagShare = 2;

MachineType small_type() { return {"g8", {16, 0, 64}, 50, 1.0, 1.0, 0.5, 1, {"a", "b"}}; }

}  // namespace

Cloud::Cloud(Loop& loop, std::vector<MachineType> types, std::vector<Capacity> capacity, double list_lag_s,
             Callbacks callbacks, const std::string& listen)
    : loop_(loop),
      types_(std::move(types)),
      capacity_(std::move(capacity)),
      list_lag_s_(list_lag_s),
      callbacks_(std::move(callbacks)),
      rng_(fresh_seed()),
      server_(loop, listen, kMaxCloudConnections,
              [this](http::Server::ConnectionId id, const http::Request& request) {
                answer(id, handle(request), request.target == codec::kDeletePath ? deletion_delay_s : 0);
              }) {}

Cloud::Cloud(Loop& loop) : Cloud(loop, {small_type()}, {}, 0, {}) {}

// ---------------------------------------------------------------- machines

Cloud::Machine& Cloud::create(const std::string& type, const std::string& zone, bool spot) {
  const auto name = fmt::format("n-{:06d}", ++last_machine_);
  const auto known_type = std::find_if(types_.begin(), types_.end(),
                                       [&](const MachineType& candidate) { return candidate.name == type; });
  Machine& machine = machines_[name];
  machine.facts = {name, *known_type, zone, spot};
  machine.provisioned_at = steady_now();
  return machine;
}

MachineFacts Cloud::add_machine(const std::string& type, const std::string& zone, bool spot) {
  Machine& machine = create(type, zone, spot);
  machine.up_at = machine.provisioned_at;
  return machine.facts;
}

void Cloud::machine_died(const std::string& name) { machines_.at(name).died_at = steady_now(); }

void Cloud::machine_reclaimed(const std::string& name) { machines_.at(name).gone_at = steady_now(); }

void Cloud::boot(Machine& machine, double after_s) {
  boots_.push_back(std::make_unique<Timer>(loop_));
  boots_.back()->once(after_s, [this, &machine] {
    if (machine.gone_at) return;
    machine.up_at = steady_now();
    if (callbacks_.booted) callbacks_.booted(machine.facts);
  });
}

int Cloud::free_capacity(const std::string& type, const std::string& zone, bool spot) const {
  int free = 0;
  for (const auto& capacity : capacity_)
    if (capacity.type == type && capacity.zone == zone && capacity.spot == spot) free = capacity.max_machines;
  for (const auto& [name, machine] : machines_) {
    const MachineFacts& facts = machine.facts;
    const bool exists = !machine.gone_at && !machine.died_at;
    if (exists && facts.type.name == type && facts.zone == zone && facts.spot == spot) --free;
  }
  return free;
}

double Cloud::cost() const {
  double cost = 0;
  for (const auto& [name, machine] : machines_) {
    double end = machine.died_at.value_or(steady_now());
    if (machine.gone_at) end = std::max(*machine.gone_at, machine.provisioned_at + kMinBilledTime);
    const MachineType& type = machine.facts.type;
    const double price = machine.facts.spot ? type.spot_price : type.price;
    cost += (end - machine.provisioned_at) / kSecondsPerHour * price;
  }
  return cost;
}

// ---------------------------------------------------------------- endpoints

void Cloud::answer(http::Server::ConnectionId id, const ServiceReply& reply, double delay_s) {
  http::Response response{reply.status, codec::pack(reply.body), 0, false};
  if (!loop_.runtime() && delay_s > 0) {
    loop_.call_later(delay_s, [this, id, response] { server_.respond(id, response); });
    return;
  }
  if (!loop_.runtime()) return server_.respond(id, response);
  loop_.runtime()->start(kCloudResponseDelay,
                         [this, id, response = std::move(response)] { server_.respond(id, response); });
}

ServiceReply Cloud::handle(const http::Request& request) {
  if (unavailable) return {503, {{"error", "trouble"}}};
  if (!request_rate.take(1)) return {429, {{"error", "too many requests"}}};
  if (request.target == "/catalog") return {200, codec::catalog_to_wire(types_)};
  const Json body =
      request.body.empty() ? Json::object() : codec::unpack(request.body).value_or(Json::object());
  if (request.target == "/hosts") return provision(body);
  if (request.target == codec::kDeletePath) return remove(body);
  return list(request.target);
}

ServiceReply Cloud::provision(const Json& body) {
  const auto request_name = body.value("ask", "");
  if (auto known = provisioned_.find(request_name); known != provisioned_.end()) return {200, known->second};
  const auto type = body.value("build", "");
  const auto zone = body.value("room", "");
  const bool spot = body.value("lendable", false);
  const int count =
      std::min({free_capacity(type, zone, spot), body.value("howMany", 0), kMaxProvisionedAtOnce});
  if (count <= 0) return {503, {{"error", "no capacity"}}};
  Json names = Json::array();
  std::uniform_real_distribution<double> boot_share(kMinBootShare, kMaxBootShare);
  std::uniform_real_distribution<double> chance(0, 1);
  for (int i = 0; i < count; ++i) {
    Machine& machine = create(type, zone, spot);
    names.push_back(machine.facts.name);
    if (chance(rng_) < kFailedBootShare) continue;
    boot(machine, machine.facts.type.boot_s * boot_share(rng_));
  }
  const Json answer = {{"hosts", names}};
  provisioned_[request_name] = answer;
  return {200, answer};
}

ServiceReply Cloud::remove(const Json& body) {
  ++deletion_requests_;
  for (const auto& name : body.value("hosts", Json::array())) {
    const auto found = machines_.find(name.get<std::string>());
    if (found == machines_.end() || found->second.gone_at) continue;
    Machine& machine = found->second;
    const bool was_up = machine.up_at && !machine.died_at;
    machine.gone_at = steady_now();
    if (was_up && callbacks_.deleted) callbacks_.deleted(found->first);
  }
  return {200, Json::object()};
}

ServiceReply Cloud::list(const std::string& target) {
  const auto after = query_field(target, "after");
  // The prefixed zero makes an absent field read as 0.
  const std::size_t wanted = std::stoul("0" + query_field(target, "most"));
  const std::size_t max_machines = std::min(kMaxListedAtOnce, wanted);
  std::uniform_real_distribution<double> lag_share(kMinLagShare, kMaxLagShare);
  const double as_of = steady_now() - list_lag_s_ * lag_share(rng_);
  Json hosts = Json::array();
  bool truncated = false;
  for (auto entry = machines_.upper_bound(after); entry != machines_.end(); ++entry) {
    const Machine& machine = entry->second;
    if (machine.provisioned_at > as_of || (machine.gone_at && *machine.gone_at <= as_of)) continue;
    if (hosts.size() >= max_machines) {
      truncated = true;
      break;
    }
    hosts.push_back(listed(machine, as_of));
  }
  return {200, {{"hosts", hosts}, {"truncated", truncated}}};
}

Json Cloud::listed(const Machine& machine, double as_of) const {
  const MachineFacts& facts = machine.facts;
  const char* phase = "starting";
  if (machine.up_at && *machine.up_at <= as_of) phase = "running";
  if (machine.died_at && *machine.died_at + kDeadListingTime <= as_of) phase = "failed";
  return {{"ref", facts.name},
          {"address", callbacks_.address ? callbacks_.address(facts.name) : ""},
          {"build", facts.type.name},
          {"room", facts.zone},
          {"lendable", facts.spot},
          {"phase", phase},
          {"ageS", as_of - machine.provisioned_at}};
}

}  // namespace corkmux::simulation

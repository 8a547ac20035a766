#include "cloud.h"

#include <algorithm>

#include "simulation_constants.h"

namespace corkmux::simulation {
namespace {
MachineType small_type() { return {"g8", {16, 0, 64}, 50, 1.0, 1.0, 0.5, 1, {"a", "b"}}; }
}  // namespace

Cloud::Cloud(Loop& loop, std::vector<MachineType> types, std::vector<Capacity> capacity, double list_lag_s,
             Callbacks hooks, const std::string& listen)
    : loop_(loop),
      types_(std::move(types)),
      capacity_(std::move(capacity)),
      list_lag_s_(list_lag_s),
      callbacks_(std::move(hooks)),
      rng_(fresh_seed()),
      server_(loop, listen, kCloudConnections, [this](Id id, http::Request r) { serve(id, std::move(r)); }) {}
Cloud::Cloud(Loop& loop) : Cloud(loop, {small_type()}, {}, 0, {}) {}

Cloud::Machine& Cloud::create(const std::string& type, const std::string& zone, bool spot) {
  char name[16];
  std::snprintf(name, sizeof name, "n-%06d", ++named_);
  auto t = std::find_if(types_.begin(), types_.end(), [&](const auto& x) { return x.name == type; });
  Machine& m = machines_[name];
  m.facts = {name, *t, zone, spot};
  m.rented = steady_now();
  return m;
}
MachineFacts Cloud::add_machine(const std::string& type, const std::string& zone, bool spot) {
  Machine& m = create(type, zone, spot);
  m.up = m.rented;
  return m.facts;
}
void Cloud::machine_died(const std::string& name) { machines_.at(name).died = steady_now(); }
void Cloud::machine_reclaimed(const std::string& name) { machines_.at(name).gone = steady_now(); }

double Cloud::cost() const {
  double sum = 0;
  for (const auto& [name, m] : machines_) {
    double end = m.gone > 0 ? std::max(m.gone, m.rented + 60) : m.died > 0 ? m.died : steady_now();
    sum += (end - m.rented) / 3600 * (m.facts.spot ? m.facts.type.spot_price : m.facts.type.price);
  }
  return sum;
}

void Cloud::answer(Id id, int status, const Json& body) {
  http::Response response{status, codec::pack(body), 0, false};
  if (!loop_.runtime()) return server_.respond(id, response);
  loop_.runtime()->start(kCloudAnswer,
                         [this, id, response = std::move(response)] { server_.respond(id, response); });
}

void Cloud::serve(Id id, http::Request r) {
  if (unavailable) return answer(id, 503, {{"error", "trouble"}});
  if (!request_rate.take(1)) return answer(id, 429, {{"error", "too many requests"}});
  if (r.target == "/catalog") return answer(id, 200, codec::catalog_to_wire(types_));
  Json body = r.body.empty() ? Json::object() : codec::unpack(r.body).value_or(Json::object());
  if (r.target == "/hosts") return rent(id, body);
  if (r.target == "/hosts/delete") {
    ++deletion_requests_;
    for (const auto& name : body.value("hosts", Json::array())) {
      auto it = machines_.find(name.get<std::string>());
      if (it == machines_.end() || it->second.gone > 0) continue;
      bool was_up = it->second.up > 0 && it->second.died <= 0;
      it->second.gone = steady_now();
      if (was_up && callbacks_.gone) callbacks_.gone(it->first);
    }
    return answer(id, 200, Json::object());
  }
  list(id, r.target);
}

void Cloud::rent(Id id, const Json& body) {
  auto ask = body.value("ask", "");
  if (auto it = asked_.find(ask); it != asked_.end()) return answer(id, 200, it->second);
  auto type = body.value("build", ""), zone = body.value("room", "");
  bool spot = body.value("lendable", false);
  int left = 0;
  for (const auto& c : capacity_)
    if (c.type == type && c.zone == zone && c.spot == spot) left = c.max_machines;
  for (const auto& [name, m] : machines_)
    left -= m.gone <= 0 && m.died <= 0 && m.facts.type.name == type && m.facts.zone == zone &&
            m.facts.spot == spot;
  int n = std::min({left, body.value("howMany", 0), 50});
  if (n <= 0) return answer(id, 503, {{"error", "no capacity"}});
  Json hosts = Json::array();
  std::uniform_real_distribution<double> boot(0.6, 1.5), one(0, 1);
  for (int i = 0; i < n; ++i) {
    Machine& m = create(type, zone, spot);
    hosts.push_back(m.facts.name);
    if (one(rng_) < kNeverUp) continue;
    boots_.push_back(std::make_unique<Timer>(loop_));
    boots_.back()->once(m.facts.type.boot_s * boot(rng_), [this, &m] {
      if (m.gone > 0) return;
      m.up = steady_now();
      if (callbacks_.up) callbacks_.up(m.facts);
    });
  }
  asked_[ask] = {{"hosts", hosts}};
  answer(id, 200, asked_[ask]);
}

void Cloud::list(Id id, const std::string& target) {
  auto after = query(target, "after");
  auto most = std::min(500ul, std::stoul("0" + query(target, "most")));
  double then = steady_now() - list_lag_s_ * std::uniform_real_distribution<double>(0.5, 2)(rng_);
  Json hosts = Json::array();
  bool more = false;
  for (auto it = machines_.upper_bound(after); it != machines_.end(); ++it) {
    const Machine& m = it->second;
    if (m.rented > then || (m.gone > 0 && m.gone <= then)) continue;
    if (hosts.size() >= most) {
      more = true;
      break;
    }
    bool failed = m.died > 0 && m.died + kDeadListed <= then;
    const char* phase = failed ? "failed" : m.up > 0 && m.up <= then ? "running" : "starting";
    hosts.push_back({{"ref", it->first},
                     {"address", callbacks_.address ? callbacks_.address(it->first) : ""},
                     {"build", m.facts.type.name},
                     {"room", m.facts.zone},
                     {"lendable", m.facts.spot},
                     {"phase", phase},
                     {"ageS", then - m.rented}});
  }
  answer(id, 200, {{"hosts", hosts}, {"truncated", more}});
}

}  // namespace corkmux::simulation

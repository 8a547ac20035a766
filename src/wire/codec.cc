#include "codec.h"

#include <cmath>
#include <unordered_set>

#include "wire_constants.h"

namespace corkmux::codec {
namespace {

constexpr std::string_view kJobPrefix = "run-";

template <typename E>
using Names = std::vector<std::pair<const char*, E>>;
const Names<JobKind> kKinds{
    {"batch", JobKind::Array}, {"group", JobKind::Gang}, {"standing", JobKind::Service}};
const Names<Priority> kPriorities{{"production", Priority::Production},
                                  {"high", Priority::High},
                                  {"normal", Priority::Normal},
                                  {"low", Priority::Low}};
const Names<TaskState> kStates{{"fetching", TaskState::Fetching},
                               {"waiting", TaskState::Waiting},
                               {"running", TaskState::Running},
                               {"flushing", TaskState::Saving},
                               {"ended", TaskState::Exited}};
const Names<ExitReason> kReasons{
    {"done", ExitReason::Done},   {"halted", ExitReason::Stopped}, {"mates_gone", ExitReason::PeersGone},
    {"alone", ExitReason::Alone}, {"error", ExitReason::Error},    {"no_room", ExitReason::NoRoom},
    {"busy", ExitReason::Busy},   {"unknown", ExitReason::Unknown}};

template <typename E>
std::optional<E> from_name(const Names<E>& names, const std::string& text) {
  for (const auto& [name, value] : names)
    if (text == name) return value;
  return std::nullopt;
}
template <typename E>
const char* to_name(const Names<E>& names, E wanted) {
  for (const auto& [name, value] : names)
    if (value == wanted) return name;
  return "";
}

const Json* field(const Json& map, const char* name) {
  if (!map.is_object()) return nullptr;
  auto it = map.find(name);
  return it == map.end() || it->is_null() ? nullptr : &*it;
}
std::string text(const Json& map, const char* name) {
  const Json* f = field(map, name);
  return f && f->is_string() ? f->get<std::string>() : std::string();
}
double number(const Json& map, const char* name, double otherwise = 0) {
  const Json* f = field(map, name);
  return f && f->is_number() ? f->get<double>() : otherwise;
}
std::uint64_t integer(const Json& map, const char* name) {
  const Json* f = field(map, name);
  if (!f || !f->is_number_integer()) return 0;
  if (f->is_number_unsigned()) return f->get<std::uint64_t>();
  auto value = f->get<std::int64_t>();
  return value < 0 ? 0 : static_cast<std::uint64_t>(value);
}
bool flag(const Json& map, const char* name) {
  const Json* f = field(map, name);
  return f && f->is_boolean() && f->get<bool>();
}

/// Guards against hostile submissions: names end up in state keys, logs and memory.
bool good_text(const std::string& s) {
  if (s.empty() || s.size() > constants::kMaxText) return false;
  for (unsigned char c : s)
    if (c <= ' ' || c == 127) return false;
  return true;
}

struct FieldError {
  std::string text;
};
std::string need_text(const Json& map, const char* name) {
  std::string value = text(map, name);
  if (!good_text(value)) throw FieldError{std::string(name) + ": missing or not a short text"};
  return value;
}
/// An amount: finite, not negative, and within a bound far above any machine or duration.
double need_amount(const Json& map, const char* name) {
  const Json* f = field(map, name);
  if (!f || !f->is_number()) throw FieldError{std::string(name) + ": missing or not a number"};
  double v = f->get<double>();
  if (!std::isfinite(v) || v < 0 || v > 1e9) throw FieldError{std::string(name) + ": out of range"};
  return v;
}
bool need_flag(const Json& map, const char* name) {
  const Json* f = field(map, name);
  if (!f || !f->is_boolean()) throw FieldError{std::string(name) + ": missing or not true or false"};
  return f->get<bool>();
}

std::string task_name(const std::string& job, int index) { return job + "/" + std::to_string(index); }
bool split_task(const std::string& name, std::string& job, int& index) {
  auto slash = name.rfind('/');
  if (slash == std::string::npos || slash + 1 >= name.size() || name.size() - slash > 8) return false;
  index = 0;
  for (std::size_t i = slash + 1; i < name.size(); ++i) {
    if (name[i] < '0' || name[i] > '9') return false;
    index = index * 10 + (name[i] - '0');
  }
  job = name.substr(0, slash);
  return true;
}

}  // namespace

std::string pack(const Json& value) {
  std::string out;
  Json::to_msgpack(value, out);
  return out;
}

namespace {
/// Guards the stack: in MessagePack one byte opens a level, and both parser and destructor recurse.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  explicit BoundedBuilder(Json& out) : json_sax_dom_parser(out, false) {}
  bool start_object(std::size_t n) { return ++depth_ <= kMaxDepth && json_sax_dom_parser::start_object(n); }
  bool end_object() { return --depth_, json_sax_dom_parser::end_object(); }
  bool start_array(std::size_t n) { return ++depth_ <= kMaxDepth && json_sax_dom_parser::start_array(n); }
  bool end_array() { return --depth_, json_sax_dom_parser::end_array(); }

 private:
  static constexpr int kMaxDepth = constants::kMaxDepth;
  int depth_ = 0;
};
}  // namespace

std::optional<Json> unpack(std::string_view bytes) {
  Json value;
  BoundedBuilder builder(value);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::msgpack, true))
    return std::nullopt;
  return value;
}

bool valid_job_id(std::string_view id) {
  if (id.size() <= kJobPrefix.size() || id.size() > 64 || id.substr(0, kJobPrefix.size()) != kJobPrefix)
    return false;
  for (char c : id.substr(kJobPrefix.size()))
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_'))
      return false;
  return true;
}

ParsedJob parse_job(const Json& body) {
  if (!body.is_object()) return {std::nullopt, "the body is not a map"};
  try {
    JobSpec job;
    job.id = need_text(body, "ref");
    if (!valid_job_id(job.id)) throw FieldError{"ref: not a job id"};
    job.job_class = need_text(body, "troupe");
    job.team = need_text(body, "crew");
    auto kind = from_name(kKinds, need_text(body, "shape"));
    if (!kind) throw FieldError{"shape: unknown"};
    job.kind = *kind;
    auto priority = from_name(kPriorities, need_text(body, "rank"));
    if (!priority) throw FieldError{"rank: unknown"};
    job.priority = *priority;
    const Json* parts = field(body, "parts");
    if (!parts || !parts->is_number_integer()) throw FieldError{"parts: missing or not an integer"};
    auto tasks = integer(body, "parts");
    if (tasks < 1 || tasks > static_cast<std::uint64_t>(constants::kMaxTasks))
      throw FieldError{"parts: out of range"};
    job.tasks = static_cast<int>(tasks);
    job.need.cpus = need_amount(body, "vcpus");
    job.need.gpus = need_amount(body, "accelerators");
    job.need.memory_gb = need_amount(body, "memGb");
    if (job.need.cpus + job.need.gpus + job.need.memory_gb <= 0)
      throw FieldError{"vcpus: a task takes nothing"};
    job.image = need_text(body, "bundle");
    job.image_gb = need_amount(body, "imageGb");
    if (const Json* builds = field(body, "builds")) {
      if (!builds->is_array() || builds->size() > constants::kMaxTypes)
        throw FieldError{"builds: not a list"};
      std::vector<std::string> types;
      for (const auto& b : *builds) {
        if (!b.is_string() || !good_text(b.get_ref<const std::string&>()))
          throw FieldError{"builds: not a list of texts"};
        types.push_back(b.get<std::string>());
      }
      job.types = std::move(types);
    }
    if (field(body, "room")) job.zone = need_text(body, "room");
    job.one_zone = need_flag(body, "together");
    job.spread = need_flag(body, "spread");
    job.spot = need_flag(body, "lendable");
    job.estimate_s = need_amount(body, "guessS");
    job.checkpoint_s = need_amount(body, "bookmarkS");
    job.save_s = need_amount(body, "stashS");
    if (field(body, "dueS")) job.deadline_s = need_amount(body, "dueS");
    if (const Json* dependencies = field(body, "awaits")) {
      if (!dependencies->is_array()) throw FieldError{"awaits: not a list"};
      std::unordered_set<std::string> seen;
      for (const auto& a : *dependencies) {
        if (!a.is_string() || !valid_job_id(a.get_ref<const std::string&>()))
          throw FieldError{"awaits: not a list of job ids"};
        if (auto id = a.get<std::string>(); seen.insert(id).second) job.dependencies.push_back(std::move(id));
      }
    }
    return {std::move(job), ""};
  } catch (const FieldError& e) {
    return {std::nullopt, e.text};
  }
}

Json job_to_wire(const JobSpec& j) {
  Json out = {{"ref", j.id},
              {"troupe", j.job_class},
              {"crew", j.team},
              {"shape", to_name(kKinds, j.kind)},
              {"rank", to_name(kPriorities, j.priority)},
              {"parts", j.tasks},
              {"vcpus", j.need.cpus},
              {"accelerators", j.need.gpus},
              {"memGb", j.need.memory_gb},
              {"bundle", j.image},
              {"imageGb", j.image_gb},
              {"together", j.one_zone},
              {"spread", j.spread},
              {"lendable", j.spot},
              {"guessS", j.estimate_s},
              {"bookmarkS", j.checkpoint_s},
              {"stashS", j.save_s}};
  if (j.types) out["builds"] = *j.types;
  if (j.zone) out["room"] = *j.zone;
  if (j.deadline_s) out["dueS"] = *j.deadline_s;
  if (!j.dependencies.empty()) out["awaits"] = j.dependencies;
  return out;
}

Json view_to_wire(const JobView& v, bool with_counts) {
  Json out = {{"ref", v.id}, {"phase", v.phase}};
  if (with_counts) out["done"] = v.done, out["running"] = v.running;
  if (!v.reason.empty()) out["reason"] = v.reason;
  return out;
}

Json error_to_wire(std::string_view t) { return {{"error", std::string(t)}}; }

Routed route(std::string_view method, std::string_view target) {
  auto path = target.substr(0, target.find('?'));
  if (path == "/ready") return {method == "GET" ? Route::Ready : Route::WrongMethod, ""};
  if (path == "/v1/report") return {method == "POST" ? Route::Heartbeat : Route::WrongMethod, ""};
  if (path == "/work") return {method == "POST" ? Route::Submit : Route::WrongMethod, ""};
  constexpr std::string_view kWork = "/work/", kWithdraw = "/withdraw";
  if (path.substr(0, kWork.size()) != kWork) return {};
  auto rest = path.substr(kWork.size());
  if (rest.size() > kWithdraw.size() && rest.substr(rest.size() - kWithdraw.size()) == kWithdraw)
    return {method == "POST" ? Route::Cancel : Route::WrongMethod,
            std::string(rest.substr(0, rest.size() - kWithdraw.size()))};
  if (rest.empty() || rest.find('/') != std::string_view::npos) return {};
  return {method == "GET" ? Route::Query : Route::WrongMethod, std::string(rest)};
}

std::optional<Heartbeat> parse_heartbeat(const Json& body) {
  Heartbeat r;
  r.machine = text(body, "host");
  r.address = text(body, "address");
  r.type = text(body, "build");
  r.zone = text(body, "room");
  if (!good_text(r.machine) || !good_text(r.type) || !good_text(r.zone) || r.address.size() > 64)
    return std::nullopt;
  r.spot = flag(body, "lendable");
  r.worker_epoch = integer(body, "watch");
  r.seq = integer(body, "tick");
  r.fencing_token = integer(body, "baton");
  if (field(body, "warningS")) r.notice_s = number(body, "warningS");
  if (const Json* parts = field(body, "parts"); parts && parts->is_array()) {
    r.tasks.reserve(parts->size());
    for (const auto& p : *parts) {
      TaskStatus t;
      if (!split_task(text(p, "part"), t.job, t.index)) continue;
      t.attempt = integer(p, "try");
      auto state = from_name(kStates, text(p, "phase"));
      if (!state) continue;
      t.state = *state;
      t.why = from_name(kReasons, text(p, "cause")).value_or(ExitReason::None);
      t.saved = flag(p, "kept");
      r.tasks.push_back(std::move(t));
    }
  }
  return r;
}

Json commands_to_wire(std::uint64_t fencing_token, const std::vector<TaskCommand>& commands,
                      std::optional<std::uint64_t> worker_epoch) {
  Json orders = Json::array();
  for (const auto& c : commands) {
    Json o = {{"part", task_name(c.job, c.index)}, {"try", c.attempt}};
    switch (c.op) {
      case TaskCommand::Op::Start:
        o["verb"] = "launch";
        break;
      case TaskCommand::Op::Stop:
        o["verb"] = "halt", o["mercyS"] = c.grace_s;
        break;
      case TaskCommand::Op::Forget:
        o["verb"] = "clear";
        break;
    }
    orders.push_back(std::move(o));
  }
  Json out = {{"baton", fencing_token}, {"orders", std::move(orders)}};
  if (worker_epoch) out["watch"] = *worker_epoch;
  return out;
}

namespace {
/// States and reasons as their places in the tables above.
template <typename E>
int place_of(const Names<E>& names, const std::string& text) {
  for (std::size_t i = 0; i < names.size(); ++i)
    if (text == names[i].first) return static_cast<int>(i);
  return -1;
}
template <typename E>
const char* name_at(const Names<E>& names, const Json& place) {
  if (!place.is_number_integer()) return "";
  auto i = place.get<std::int64_t>();
  return i >= 0 && i < static_cast<std::int64_t>(names.size()) ? names[static_cast<std::size_t>(i)].first
                                                               : "";
}
std::string text_at(const Json& list, std::size_t i) {
  return i < list.size() && list[i].is_string() ? list[i].get<std::string>() : std::string();
}
}  // namespace

// [machine, address, type, zone, spot, session, sequence, token, notice,
//  {job: [index, attempt, state(, reason, saved)]...}]: tasks stand under their job, whose name is the long
//  part.
Json compact_heartbeat(const Json& body) {
  if (!body.is_object()) return nullptr;
  Json tasks = Json::object();
  if (const Json* parts = field(body, "parts"); parts && parts->is_array())
    for (const auto& p : *parts) {
      std::string job;
      int index = 0, state = place_of(kStates, text(p, "phase"));
      if (!split_task(text(p, "part"), job, index) || state < 0) continue;
      Json t = {index, integer(p, "try"), state};
      if (int why = place_of(kReasons, text(p, "cause")); why >= 0) t.push_back(why);
      if (flag(p, "kept")) t.push_back(1);
      tasks[job].push_back(std::move(t));
    }
  const Json* notice = field(body, "warningS");
  return {text(body, "host"),    text(body, "address"),          text(body, "build"),
          text(body, "room"),    flag(body, "lendable") ? 1 : 0, integer(body, "watch"),
          integer(body, "tick"), integer(body, "baton"),         notice ? *notice : Json(),
          std::move(tasks)};
}

Json expand_heartbeat(const Json& b) {
  if (!b.is_array() || b.size() != 10 || !b[9].is_object()) return nullptr;
  Json parts = Json::array();
  for (const auto& [job, tasks] : b[9].items())
    for (const auto& t : tasks) {
      if (!t.is_array() || t.size() < 3 || !t[0].is_number_integer()) continue;
      Json p = {{"part", task_name(job, t[0].get<int>())}, {"try", t[1]}, {"phase", name_at(kStates, t[2])}};
      if (t.size() > 3) p["cause"] = name_at(kReasons, t[3]);
      if (t.size() > 4) p["kept"] = true;
      parts.push_back(std::move(p));
    }
  return {{"host", text_at(b, 0)},  {"address", text_at(b, 1)},
          {"build", text_at(b, 2)}, {"room", text_at(b, 3)},
          {"lendable", b[4] == 1},  {"watch", b[5]},
          {"tick", b[6]},           {"baton", b[7]},
          {"warningS", b[8]},       {"parts", std::move(parts)}};
}

// [token, [verb, task, attempt(, grace)]...]
Json compact_answer(const Json& body) {
  if (!body.is_object()) return nullptr;
  Json out = {integer(body, "baton")};
  if (const Json* orders = field(body, "orders"); orders && orders->is_array())
    for (const auto& o : *orders) {
      Json order = {text(o, "verb").substr(0, 1), text(o, "part"), integer(o, "try")};
      if (const Json* grace = field(o, "mercyS")) order.push_back(*grace);
      out.push_back(std::move(order));
    }
  return out;
}

Json expand_answer(const Json& b) {
  if (!b.is_array() || b.empty()) return nullptr;
  Json orders = Json::array();
  for (std::size_t i = 1; i < b.size(); ++i) {
    const Json& o = b[i];
    if (!o.is_array() || o.size() < 3) continue;
    std::string verb;
    for (const char* known : {"launch", "halt", "clear"})
      if (text_at(o, 0) == std::string(1, *known)) verb = known;
    Json order = {{"verb", verb}, {"part", o[1]}, {"try", o[2]}};
    if (o.size() > 3) order["mercyS"] = o[3];
    orders.push_back(std::move(order));
  }
  return {{"baton", b[0]}, {"orders", std::move(orders)}};
}

Json redirect_to_wire(std::string_view label) { return {{"herald", std::string(label)}}; }

std::vector<MachineType> parse_catalog(const Json& body) {
  std::vector<MachineType> out;
  const Json* builds = field(body, "builds");
  if (!builds || !builds->is_array()) return out;
  for (const auto& b : *builds) {
    MachineType t;
    t.name = text(b, "label");
    t.size = {number(b, "vcpus"), number(b, "accelerators"), number(b, "memGb")};
    t.cache_gb = number(b, "cacheGb");
    t.fetch_gb_per_s = std::max(1e-3, number(b, "pullGbPerS", 1));
    t.price = number(b, "rate");
    t.spot_price = number(b, "spotPrice");
    t.boot_s = number(b, "readyS", 60);
    if (const Json* rooms = field(b, "rooms"); rooms && rooms->is_array())
      for (const auto& r : *rooms)
        if (r.is_string()) t.zones.push_back(r.get<std::string>());
    if (!t.name.empty()) out.push_back(std::move(t));
  }
  return out;
}

Json catalog_to_wire(const std::vector<MachineType>& types) {
  Json builds = Json::array();
  for (const auto& t : types)
    builds.push_back({{"label", t.name},
                      {"vcpus", t.size.cpus},
                      {"accelerators", t.size.gpus},
                      {"memGb", t.size.memory_gb},
                      {"cacheGb", t.cache_gb},
                      {"pullGbPerS", t.fetch_gb_per_s},
                      {"rate", t.price},
                      {"spotPrice", t.spot_price},
                      {"readyS", t.boot_s},
                      {"rooms", t.zones}});
  return {{"builds", std::move(builds)}};
}

Json rent_request(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                  int count) {
  return {{"ask", request}, {"build", type}, {"room", zone}, {"lendable", spot}, {"howMany", count}};
}

std::vector<std::string> parse_rented(const Json& body) {
  std::vector<std::string> out;
  if (const Json* hosts = field(body, "hosts"); hosts && hosts->is_array())
    for (const auto& h : *hosts)
      if (h.is_string()) out.push_back(h.get<std::string>());
  return out;
}

bool is_no_capacity(const Json& body) { return text(body, "error") == "no capacity"; }
Json delete_request(const std::vector<std::string>& names) { return {{"hosts", names}}; }

std::string list_path(const std::string& after, int most) {
  return "/hosts?" + (after.empty() ? std::string() : "after=" + after + "&") +
         "most=" + std::to_string(most);
}

MachineList parse_machines(const Json& body) {
  MachineList out;
  out.more = flag(body, "truncated");
  if (const Json* hosts = field(body, "hosts"); hosts && hosts->is_array())
    for (const auto& h : *hosts) {
      ListedMachine m;
      m.name = text(h, "ref");
      m.address = text(h, "address");
      m.type = text(h, "build");
      m.zone = text(h, "room");
      m.spot = flag(h, "lendable");
      auto phase = text(h, "phase");
      m.phase = phase == "starting" ? ListedMachine::Phase::Booting
                : phase == "failed" ? ListedMachine::Phase::Failed
                                    : ListedMachine::Phase::Running;
      m.age_s = number(h, "ageS");
      if (!m.name.empty()) out.machines.push_back(std::move(m));
    }
  return out;
}

std::string key_path(const std::string& key) { return "/kv/" + key; }
std::string prefix_path(const std::string& prefix, const std::string& after, int most) {
  return "/kv?under=" + prefix + (after.empty() ? "" : "&after=" + after) + "&most=" + std::to_string(most);
}
std::string watch_path(const std::string& prefix, std::uint64_t after, double wait_s) {
  return "/watch?under=" + prefix + "&after=" + std::to_string(after) +
         "&waitMs=" + std::to_string(static_cast<long>(wait_s * 1000));
}
std::string lease_path(std::uint64_t lease) { return "/grants/" + std::to_string(lease); }
std::string renew_path(std::uint64_t lease) { return lease_path(lease) + "/renew"; }

Json txn_to_wire(const std::vector<Condition>& conditions, const std::vector<Write>& writes) {
  Json ifs = Json::array(), ops = Json::array();
  for (const auto& c : conditions) ifs.push_back({{"k", c.key}, {"stamp", c.revision}});
  for (const auto& w : writes) {
    if (!w.value) {
      ops.push_back({{"remove", w.key}});
      continue;
    }
    Json op = {{"write", w.key}, {"value", *w.value}};
    if (w.lease) op["tenure"] = w.lease;
    ops.push_back(std::move(op));
  }
  return {{"if", std::move(ifs)}, {"writes", std::move(ops)}};
}
Json lease_request(double life_s) { return {{"lifeMs", static_cast<std::uint64_t>(life_s * 1000)}}; }
std::uint64_t parse_lease(const Json& body) { return integer(body, "tenure"); }
std::uint64_t parse_revision(const Json& body) { return integer(body, "epoch"); }

std::optional<KeyValue> parse_value(const Json& body) {
  const Json* v = field(body, "value");
  if (!v) return std::nullopt;
  return KeyValue{text(body, "k"), *v, integer(body, "stamp")};
}

Page parse_page(const Json& body) {
  Page page;
  page.more = flag(body, "truncated");
  page.revision = integer(body, "epoch");
  if (const Json* pairs = field(body, "pairs"); pairs && pairs->is_array())
    for (const auto& p : *pairs) {
      const Json* v = field(p, "value");
      page.items.push_back({text(p, "k"), v ? *v : Json(), integer(p, "stamp")});
    }
  return page;
}

Events parse_events(const Json& body) {
  Events out;
  out.revision = integer(body, "epoch");
  if (const Json* log = field(body, "log"); log && log->is_array())
    for (const auto& e : *log) {
      if (field(e, "remove")) {
        out.events.push_back({text(e, "remove"), std::nullopt, integer(e, "stamp")});
      } else {
        const Json* v = field(e, "value");
        out.events.push_back({text(e, "write"), v ? *v : Json(), integer(e, "stamp")});
      }
    }
  return out;
}

std::vector<std::string> parse_failed(const Json& body) {
  std::vector<std::string> out;
  if (const Json* failed = field(body, "failed"); failed && failed->is_array())
    for (const auto& k : *failed)
      if (k.is_string()) out.push_back(k.get<std::string>());
  return out;
}

}  // namespace corkmux::codec

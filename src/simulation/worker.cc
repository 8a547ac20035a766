#include "worker.h"

#include <algorithm>

#include "simulation_constants.h"

namespace corkmux::simulation {

using codec::Json;

namespace {
constexpr double kNever = 1e18;
std::string part_of(const std::string& job, int index) { return job + "/" + std::to_string(index); }
}  // namespace

Worker::Worker(Loop& loop, MachineFacts facts, WorkerTimes times,
               std::map<std::string, std::string> controllers, JobRegistry& registry,
               const std::string& listen)
    : loop_(loop),
      facts_(std::move(facts)),
      times_(times),
      controllers_(std::move(controllers)),
      registry_(registry),
      ip_(listen.substr(0, listen.rfind(':'))),
      rng_(fresh_seed()),
      server_(loop, listen, 50,
              [this](http::Server::ConnectionId id, http::Request r) { serve(id, std::move(r)); }),
      wake_(loop),
      leased_from_(steady_now()) {
  std::uniform_real_distribution<double> speed(1 - kSpeedSpread / 2, 1 + kSpeedSpread / 2),
      pull(1 - kFetchSpread, 1 + kFetchSpread);
  speed_ = speed(rng_), pull_ = facts_.type.fetch_gb_per_s * pull(rng_);
  auto first = controllers_.begin();
  std::advance(first, static_cast<long>(rng_() % controllers_.size()));
  target_ = first->first;
  next_heartbeat_ = steady_now();
  arm();
}
Worker::~Worker() = default;

int Worker::running() const {
  return static_cast<int>(std::count_if(tasks_.begin(), tasks_.end(),
                                        [](const auto& e) { return e.second.phase == Phase::Running; }));
}
Resources Worker::free() const {
  Resources room = facts_.type.size;
  for (const auto& [key, t] : tasks_)
    if (t.phase != Phase::Ended) room -= t.work->spec.need;
  return room;
}

void Worker::announce_reclaim(double in_s) {
  notice_at_ = steady_now() + in_s;
  changed();
}
void Worker::hang() {
  hung_ = true;
  loop_.post([this] { hung_ = false; });  // the first that it does when it wakes
  for (auto& [key, t] : tasks_)
    if (t.on && t.work->spec.kind == JobKind::Gang) registry_.hangs(*t.work, t.attempt, t.index);
}
void Worker::terminate(const std::string& why) {
  dead_ = true;
  wake_.stop();
  for (auto& [key, t] : tasks_)
    if (t.phase != Phase::Ended) leave(t, why.c_str());
  tasks_.clear();
}

// ---------------------------------------------------------------- tasks

void Worker::launch(const std::string& part, std::uint64_t attempt) {
  if (tasks_.count({part, attempt})) return;
  auto slash = part.rfind('/');
  SimulatedJob* work = registry_.find(part.substr(0, slash));
  int index = std::stoi(part.substr(slash + 1));
  bool busy = std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& e) {
    return e.first.first == part && e.second.phase != Phase::Ended;
  });
  Resources room = free();
  Task& t = tasks_[{part, attempt}];
  t.work = work, t.index = index, t.attempt = attempt;
  auto refuse = [&](const char* cause) { t.phase = Phase::Ended, t.cause = cause; };
  if (!work || index >= work->spec.tasks) return refuse("unknown");
  if (busy) return refuse("busy");
  if (!work->spec.need.fits(room)) return refuse("no_room");
  Image& image = images_[work->spec.image];
  image.used = steady_now();
  if (image.there) return place(t);
  if (image.until > 0) return;
  image.size = work->spec.image_gb;
  double sharing = 1;
  for (const auto& [name, i] : images_) sharing += !i.there && i.until > 0;
  image.until = steady_now() + image.size / pull_ * sharing;
}

void Worker::image_there(const std::string& name) {
  Image& image = images_.at(name);
  image.there = true, image.until = 0, image.used = steady_now();
  std::vector<Key> here;
  for (const auto& [key, t] : tasks_)
    if (t.phase == Phase::Fetching && t.work->spec.image == name) here.push_back(key);
  if (here.empty()) {
    images_.erase(name);  // given up: nobody waits for it
    return;
  }
  for (double total = 0;;) {
    auto oldest = images_.end();
    total = 0;
    for (auto it = images_.begin(); it != images_.end(); ++it) {
      total += it->second.there ? it->second.size : 0;
      bool in_use = it->first == name || std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& e) {
                      return e.second.phase != Phase::Ended && e.second.work->spec.image == it->first;
                    });
      if (it->second.there && !in_use && (oldest == images_.end() || it->second.used < oldest->second.used))
        oldest = it;
    }
    if (total <= facts_.type.cache_gb || oldest == images_.end()) break;
    images_.erase(oldest);
  }
  for (const auto& key : here)
    if (auto it = tasks_.find(key); it != tasks_.end()) place(it->second);
  changed();
}

void Worker::place(Task& t) {
  SimulatedJob& w = *t.work;
  t.on = true;
  registry_.observer().task_placed(facts_, w, t.index, t.attempt);
  double now = steady_now();
  auto n = static_cast<std::size_t>(t.index);
  if (w.done[n]) return exit(t, "done");
  if (w.spec.kind == JobKind::Gang) {
    t.phase = Phase::Waiting, t.until = now + times_.gang_wait_s;
    return registry_.join(w, t.attempt, t.index, this);
  }
  t.phase = Phase::Running, t.began = now, t.base = w.saved[n];
  t.until = w.spec.kind == JobKind::Service ? kNever : now + (w.run_s[n] - t.base) / speed_;
  t.fails = faulty_ || w.always_fails;
  if (t.fails) t.until = now + kFaultyTaskDelay;
  registry_.observer().task_running(w, t.index);
}

void Worker::exit(Task& t, const char* cause, bool kept) {
  if (t.phase == Phase::Ended) return;
  t.kept = kept;
  leave(t, cause);
  t.phase = Phase::Ended, t.cause = cause;
  changed();
}

/// What its end means for the job's progress, its gang and the observer.
void Worker::leave(Task& t, const char* why) {
  SimulatedJob& w = *t.work;
  auto n = static_cast<std::size_t>(t.index);
  if (w.spec.kind == JobKind::Gang) {
    registry_.gone(w, t.attempt, t.index);
  } else if (t.phase == Phase::Running || t.phase == Phase::Saving) {
    double end = t.phase == Phase::Saving ? t.began : t.base + (steady_now() - t.began) * speed_;
    if (std::string(why) == "done") {
      w.done[n] = true;
      registry_.observer().task_done(w, t.index);
    } else if (w.spec.kind == JobKind::Array) {
      double safe = t.kept ? end : std::max(w.saved[n], JobRegistry::kept(w, end));
      registry_.observer().progress_lost(w, why, end - safe);
      w.saved[n] = safe;
    }
  }
  if (std::exchange(t.on, false)) registry_.observer().task_removed(facts_.name, w, t.index, t.attempt, why);
}

void Worker::stop(Task& t, double grace_s) {
  if (t.phase == Phase::Ended) return;
  SimulatedJob& w = *t.work;
  if (w.spec.kind == JobKind::Gang && (t.phase == Phase::Running || t.phase == Phase::Saving))
    return registry_.stop(w, t.attempt, t.index, grace_s);
  bool saves = w.spec.checkpoint_s > 0 && grace_s >= w.spec.save_s;
  if (t.phase == Phase::Running && saves) {
    t.began = t.base + (steady_now() - t.began) * speed_;  // what it saves
    t.phase = Phase::Saving, t.until = steady_now() + w.spec.save_s;
    return changed();
  }
  if (t.phase == Phase::Saving && grace_s > 0) return;
  exit(t, "halted");
}

void Worker::later(const std::string& job, int index, std::uint64_t attempt,
                   std::function<void(Task&)> then) {
  loop_.post([this, key = Key{part_of(job, index), attempt}, then = std::move(then)] {
    auto it = tasks_.find(key);
    if (dead_ || it == tasks_.end() || it->second.phase == Phase::Ended) return;
    then(it->second);
    changed();
  });
}
void Worker::gang_runs(const std::string& job, int index, std::uint64_t attempt) {
  later(job, index, attempt, [this](Task& t) {
    t.phase = Phase::Running;
    t.fails = faulty_ || t.work->always_fails;
    t.until = t.fails ? steady_now() + kFaultyTaskDelay : kNever;
  });
}
void Worker::gang_saves(const std::string& job, int index, std::uint64_t attempt) {
  later(job, index, attempt, [](Task& t) { t.phase = Phase::Saving, t.until = kNever; });
}
void Worker::gang_exits(const std::string& job, int index, std::uint64_t attempt, const char* cause,
                        bool kept) {
  later(job, index, attempt, [this, cause, kept](Task& t) { exit(t, cause, kept); });
}

// ---------------------------------------------------------------- the controllers

Json Worker::report() {
  static const char* phases[] = {"fetching", "waiting", "running", "flushing", "ended"};
  Json parts = Json::array();
  for (const auto& [key, t] : tasks_) {
    Json p = {{"part", key.first}, {"try", t.attempt}, {"phase", phases[static_cast<int>(t.phase)]}};
    if (t.phase == Phase::Ended) p["cause"] = t.cause;
    if (t.kept) p["kept"] = true;
    parts.push_back(std::move(p));
  }
  Json warning;
  if (notice_at_ > 0) warning = std::max(0.0, notice_at_ - steady_now());
  return {{"host", facts_.name}, {"address", address()},    {"build", facts_.type.name},
          {"room", facts_.zone}, {"lendable", facts_.spot}, {"watch", worker_epoch_},
          {"tick", ++tick_},     {"baton", fencing_token_}, {"warningS", warning},
          {"parts", parts}};
}

void Worker::obey(const Json& body) {
  auto fencing_token = body["baton"].get<std::uint64_t>();
  double now = steady_now();
  bool higher = fencing_token > fencing_token_;
  fencing_token_ = fencing_token;
  for (const auto& o : body["orders"]) {
    auto part = o["part"].get<std::string>();
    auto attempt = o["try"].get<std::uint64_t>();
    auto it = tasks_.find({part, attempt});
    if (o["verb"] == "launch")
      launch(part, attempt);
    else if (o["verb"] == "halt" && it != tasks_.end())
      stop(it->second, o.value("mercyS", 0.0));
    else if (o["verb"] == "clear" && it != tasks_.end() && it->second.phase == Phase::Ended)
      tasks_.erase(it);
  }
  if (!body["orders"].empty() || (higher && now - fencing_token_sent_at_ > times_.lease_s / 2)) {
    if (higher) fencing_token_sent_at_ = now;
    changed();
  }
}

void Worker::serve(http::Server::ConnectionId id, http::Request r) {
  // Guards against a machine that starts tasks after its end, where it is not freed at once: it is silent.
  if (dead_) return;
  expire_lease();
  auto body = codec::unpack(r.body).value_or(Json::object());
  int status = 200;
  if (r.target == "/orders") {
    if (!body.contains("baton") || !body.contains("watch"))
      status = 400;
    else if (body["baton"].get<std::uint64_t>() < fencing_token_ || body["watch"] != worker_epoch_)
      status = 409;
    else
      obey(body);
  }
  server_.respond(id, {status, codec::pack(report()), 0, false});
  arm();
}

void Worker::changed() {
  next_heartbeat_ = std::min(next_heartbeat_, std::max(steady_now(), last_sent_ + kMinHeartbeatInterval));
  arm();
}

void Worker::send() {
  double now = last_sent_ = steady_now();
  waiting_ = true;
  next_heartbeat_ = now + times_.heartbeat_s * std::uniform_real_distribution<double>(0.75, 1.25)(rng_);
  auto& client = clients_[target_];
  if (!client) client = std::make_unique<http::Client>(loop_, controllers_.at(target_), 1, 2);
  client->request(
      "POST", "/v1/report", codec::pack(report()), kHeartbeatTimeout,
      [this, now, worker_epoch = worker_epoch_](http::Result r) {
        waiting_ = false;
        if (dead_) return;
        expire_lease();
        auto body = codec::unpack(r.body);
        if (r.status == 200 && body && body->is_object()) {
          if (worker_epoch != worker_epoch_ || body->value("baton", std::uint64_t{0}) < fencing_token_)
            return arm();
          leased_from_ = now;
          obey(*body);
          return arm();
        }
        bool elsewhere = r.status == 421 && body && body->is_object() && body->contains("herald");
        next(elsewhere ? (*body)["herald"].get<std::string>() : "", elsewhere);
      });
}

void Worker::next(const std::string& herald, bool told) {
  double now = steady_now();
  if (told && herald != target_ && controllers_.count(herald)) {
    target_ = herald;
    next_heartbeat_ = now + std::uniform_real_distribution<double>(0, 0.5)(rng_);
  } else {
    auto it = controllers_.upper_bound(target_);
    target_ = it == controllers_.end() ? controllers_.begin()->first : it->first;
    next_heartbeat_ = now + kNextControllerDelay;
  }
  arm();
}

void Worker::expire_lease() {
  if (steady_now() - leased_from_ <= times_.lease_s) return;
  auto all = std::exchange(tasks_, {});
  for (auto& [key, t] : all)
    if (t.phase != Phase::Ended) leave(t, "lease");
  ++worker_epoch_;
  leased_from_ = steady_now();
  changed();
}

void Worker::step() {
  expire_lease();
  double now = steady_now();
  std::vector<std::string> ready;
  for (const auto& [name, i] : images_)
    if (!i.there && i.until > 0 && i.until <= now) ready.push_back(name);
  for (const auto& name : ready) image_there(name);
  for (auto& [key, t] : tasks_) {
    if (t.until <= 0 || t.until > now || t.phase == Phase::Fetching) continue;
    if (t.phase == Phase::Running) exit(t, t.fails ? "error" : "done");
    if (t.phase == Phase::Saving) exit(t, "halted", true);
    if (t.phase == Phase::Waiting) exit(t, "alone");
  }
  if (!waiting_ && now >= next_heartbeat_) send();
  arm();
}

void Worker::arm() {
  if (dead_) return;
  double at = leased_from_ + times_.lease_s + 0.001;
  if (!waiting_) at = std::min(at, next_heartbeat_);
  for (const auto& [name, i] : images_)
    if (!i.there && i.until > 0) at = std::min(at, i.until);
  for (const auto& [key, t] : tasks_)
    if (t.phase != Phase::Ended && t.phase != Phase::Fetching && t.until > 0) at = std::min(at, t.until);
  wake_.once(std::max(0.0, at - steady_now()), [this] { step(); });
}

}  // namespace corkmux::simulation

#include "feed.h"

#include <algorithm>

#include "constants.h"
#include "kube_constants.h"

namespace corkmux::kube {
namespace c = constants;

namespace {

/// Namespace and name of an object's key; empty where it is none.
std::pair<std::string, std::string> parts(const std::string& key) {
  const std::string middle = "/jobs/";
  auto at = key.find(middle);
  if (at == std::string::npos || at < kKubeObjects.size()) return {};
  return {key.substr(kKubeObjects.size(), at - kKubeObjects.size()), key.substr(at + middle.size())};
}

}  // namespace

std::string Feed::line(const char* type, const Json& object) {
  return Json{{"type", type}, {"object", object}}.dump() + "\n";
}

Feed::Feed(Loop& loop, StateClient& state, http::Server& server)
    : Actor(loop),
      state_(state),
      server_(server),
      retry_(loop),
      tick_(loop),
      pump_(loop),
      objects_(loop, kKubeObjects),
      ends_(loop, kFinals) {}

void Feed::start() {
  load();
  tick_.every(1, [this] { tick(); });
}

// ---------------------------------------------------------------- the store

void Feed::load() {
  auto generation = ++generation_;
  objects_.pause.stop(), ends_.pause.stop();
  loaded_ = false;
  known_.clear(), by_job_.clear(), pending_.clear();
  first_ += history_.size();
  history_.clear();
  history_bytes_ = 0;
  state_.read_all(
      kKubeObjects, "",
      [this, generation](codec::KeyValue& kv) {
        auto stored = generation == generation_ ? from_record(kv.value) : std::nullopt;
        if (!stored) return;
        by_job_[stored->job] = kv.key;
        Object& o = known_[kv.key];
        o.stored = std::move(*stored), o.revision = o.progress.revision = kv.revision;
        o.progress.tasks = tasks_of(o.stored);
      },
      [this, generation](const ReadEnd& end) {
        if (generation != generation_) return;
        if (!end.ok()) return retry_.once(1, [this] { load(); });
        objects_.position = ends_.position = position_ = history_from_ = end.revision;
        loaded_ = true;
        follow(objects_), follow(ends_);
      });
}

void Feed::follow(Source& source) {
  auto generation = generation_;
  state_.watch(source.prefix, source.position, c::kKubeWatchWait,
               [this, &source, generation](StateReply reply) {
                 if (generation != generation_) return;
                 if (!reply.ok()) {
                   source.lost = reply.status == StateStatus::Unanswered ? source.lost + 1 : 0;
                   if (reply.status == StateStatus::Missing || source.lost >= c::kLostWatchLimit)
                     return start_over();
                   return source.pause.once(c::kRetryPause, [this, &source] { follow(source); });
                 }
                 source.lost = 0;
                 auto events = codec::parse_events(reply.body);
                 for (auto& e : events.events)
                   if (e.revision > source.position)
                     pending_.push_back({e.revision, std::move(e.key), std::move(e.value)});
                 source.position = std::max(source.position, events.revision);
                 merge();
                 follow(source);
               });
}

void Feed::start_over() {
  for (const auto& [id, w] : std::exchange(watches_, {})) expire(id, "changes were missed: list again");
  load();
}

void Feed::merge() {
  auto both = std::min(objects_.position, ends_.position);
  // Of one transaction the object comes first: one that is deleted with its job's end is not told to have
  // changed before.
  std::sort(pending_.begin(), pending_.end(), [](const Change& a, const Change& b) {
    bool ea = a.key.rfind(kFinals, 0) == 0, eb = b.key.rfind(kFinals, 0) == 0;
    return std::tie(a.revision, ea, a.key) < std::tie(b.revision, eb, b.key);
  });
  auto end =
      std::find_if(pending_.begin(), pending_.end(), [&](const Change& ch) { return ch.revision > both; });
  for (auto it = pending_.begin(); it != end; ++it) apply(*it);
  pending_.erase(pending_.begin(), end);
  position_ = std::max(position_, both);
}

void Feed::apply(const Change& change) {
  if (change.key.rfind(kFinals, 0) == 0) {
    auto object = by_job_.find(change.key.substr(kFinals.size()));
    if (object == by_job_.end() || !change.value) return;
    Object& o = known_.at(object->second);
    if (o.progress.revision >= change.revision) return;
    o.progress.revision = change.revision;
    o.progress.phase =
        change.value->value("p", "") == "done" ? Progress::Phase::Done : Progress::Phase::Cancelled;
    o.progress.ended = change.value->value("t", 0.0);
    return tell("MODIFIED", object->second, o);
  }
  auto before = known_.find(change.key);
  if (before != known_.end() && before->second.revision >= change.revision) return;  // read at the start
  if (before != known_.end()) {
    // Deleted; or deleted and made anew between two looks, which is told as both.
    Object gone = std::move(before->second);
    known_.erase(before);
    by_job_.erase(gone.stored.job);
    gone.progress.revision = change.revision;
    tell("DELETED", change.key, gone);
  }
  auto stored = change.value ? from_record(*change.value) : std::nullopt;
  if (!stored) return;
  by_job_[stored->job] = change.key;
  Object& o = known_[change.key];
  o.stored = std::move(*stored), o.revision = o.progress.revision = change.revision;
  o.progress.tasks = tasks_of(o.stored);
  tell("ADDED", change.key, o);
}

// ---------------------------------------------------------------- watchers

void Feed::tell(const char* type, const std::string& key, const Object& o) {
  auto [space, name] = parts(key);
  Json object = job_object(o.stored, space, o.progress);
  // How far it had got is not known here, nor whether it ended before this process read it.
  if (type == std::string("DELETED") && o.progress.phase == Progress::Phase::Unfinished)
    object.erase("status");
  Told told{o.progress.revision, space, name, line(type, object), labels_of(o.stored)};
  history_bytes_ += told.text.size();
  history_.push_back(std::move(told));
  pump_all();
  while (history_.size() > c::kKubeHistory || history_bytes_ > c::kKubeHistoryBytes) {
    history_from_ = history_.front().revision;
    history_bytes_ -= history_.front().text.size();
    history_.pop_front();
    ++first_;
  }
}

bool Feed::wants(const Watch& w, const Told& t) const {
  return t.revision > w.after && t.space == w.space && (w.only.empty() || w.only == t.name) &&
         selects(w.labels, t.labels);
}

/// Guards memory: nothing is queued for a watcher but what its connection has not taken; the rest waits in
/// the one history, and who falls behind that has to list again.
bool Feed::pump(Id id, Watch& w) {
  for (; w.next < first_ + history_.size(); ++w.next) {
    if (w.next < first_) {
      expire(id, "the watch takes its events too slowly: list again");
      return false;
    }
    const Told& told = history_[w.next - first_];
    if (!wants(w, told)) continue;
    if (server_.unsent(id) >= c::kKubeUnsent) {
      if (!pump_.active()) pump_.once(c::kKubePump, [this] { pump_all(); });
      return true;
    }
    if (!server_.part(id, told.text)) return false;
  }
  return true;
}

void Feed::pump_all() {
  for (auto it = watches_.begin(); it != watches_.end();)
    it = pump(it->first, it->second) ? std::next(it) : watches_.erase(it);
}

void Feed::expire(Id id, const char* why) {
  server_.part(id, line("ERROR", status_object({410, "Expired", why, "", "", {}, ""})));
  server_.end(id);
}

std::string Feed::bookmark() const {
  return line("BOOKMARK",
              {{"kind", "Job"},
               {"apiVersion", "batch/v1"},
               {"metadata", {{"resourceVersion", std::to_string(position_)}, {"creationTimestamp", nullptr}}},
               {"spec", {{"template", {{"spec", {{"containers", Json::array()}}}}}}}});
}

void Feed::watch(Id id, Watch w) {
  if (!loaded_ || w.after < history_from_) return expire(id, "the resource version is too old: list again");
  w.next = first_;
  if (pump(id, w)) watches_[id] = std::move(w);
}

void Feed::close() {
  for (const auto& [id, w] : std::exchange(watches_, {})) server_.end(id);
}

void Feed::tick() {
  double now = steady_now();
  const bool marks = loaded_ && now - bookmarked_at_ >= c::kKubeBookmark;
  if (marks) bookmarked_at_ = now;
  for (auto it = watches_.begin(); it != watches_.end();) {
    bool over = !server_.connected(it->first);
    if (!over && now >= it->second.until) {
      server_.end(it->first);
      over = true;
    }
    if (!over && marks && it->second.bookmarks && it->second.next == first_ + history_.size() &&
        position_ > it->second.after)
      over = !server_.part(it->first, bookmark());
    it = over ? watches_.erase(it) : std::next(it);
  }
}

}  // namespace corkmux::kube

#include "feed.h"

#include <algorithm>

#include "constants.h"
#include "kube_constants.h"

namespace corkmux::kube {
namespace c = constants;

namespace {

struct ObjectId {
  std::string space;
  std::string name;
};

/// Of an object's key; empty where it is none.
ObjectId parse_key(const std::string& key) {
  const std::string middle = "/jobs/";
  auto at = key.find(middle);
  if (at == std::string::npos || at < kKubeObjects.size()) return {};
  return {key.substr(kKubeObjects.size(), at - kKubeObjects.size()), key.substr(at + middle.size())};
}

bool is_end(const std::string& key) { return key.rfind(kFinals, 0) == 0; }

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
  objects_.pause.stop();
  ends_.pause.stop();
  loaded_ = false;
  known_.clear();
  by_job_.clear();
  pending_.clear();
  first_ += history_.size();
  history_.clear();
  history_bytes_ = 0;
  state_.read_all(
      kKubeObjects, "",
      [this, generation](codec::KeyValue& record) {
        auto stored = generation == generation_ ? from_record(record.value) : std::nullopt;
        if (stored) put_object(record.key, std::move(*stored), record.revision);
      },
      [this, generation](const ReadEnd& end) {
        if (generation != generation_) return;
        if (!end.ok()) return retry_.once(1, [this] { load(); });
        objects_.position = end.revision;
        ends_.position = end.revision;
        position_ = end.revision;
        history_from_ = end.revision;
        loaded_ = true;
        follow(objects_);
        follow(ends_);
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
                 for (auto& event : events.events)
                   if (event.revision > source.position)
                     pending_.push_back({event.revision, std::move(event.key), std::move(event.value)});
                 source.position = std::max(source.position, events.revision);
                 merge();
                 follow(source);
               });
}

void Feed::start_over() {
  for (const auto& [id, watch] : std::exchange(watches_, {})) expire(id, "changes were missed: list again");
  load();
}

void Feed::merge() {
  auto both = std::min(objects_.position, ends_.position);
  // Of one transaction the object comes first: for one that is deleted with its job's end no other change is
  // sent before.
  std::sort(pending_.begin(), pending_.end(), [](const Change& left, const Change& right) {
    bool left_is_end = is_end(left.key);
    bool right_is_end = is_end(right.key);
    return std::tie(left.revision, left_is_end, left.key) < std::tie(right.revision, right_is_end, right.key);
  });
  auto end = std::find_if(pending_.begin(), pending_.end(),
                          [both](const Change& change) { return change.revision > both; });
  for (auto it = pending_.begin(); it != end; ++it) apply(*it);
  pending_.erase(pending_.begin(), end);
  position_ = std::max(position_, both);
}

void Feed::put_object(const std::string& key, Stored stored, std::uint64_t revision) {
  by_job_[stored.job] = key;
  Object& object = known_[key];
  object.stored = std::move(stored);
  object.revision = revision;
  object.progress.revision = revision;
  object.progress.tasks = tasks_of(object.stored);
}

void Feed::apply(const Change& change) {
  if (is_end(change.key))
    apply_end(change);
  else
    apply_object(change);
}

void Feed::apply_end(const Change& change) {
  auto key = by_job_.find(change.key.substr(kFinals.size()));
  if (key == by_job_.end() || !change.value) return;
  Object& object = known_.at(key->second);
  Progress& progress = object.progress;
  if (progress.revision >= change.revision) return;
  progress.revision = change.revision;
  progress.phase =
      change.value->value("p", "") == "done" ? Progress::Phase::Done : Progress::Phase::Cancelled;
  progress.ended = change.value->value("t", 0.0);
  add_to_history("MODIFIED", key->second, object);
}

void Feed::apply_object(const Change& change) {
  auto before = known_.find(change.key);
  if (before != known_.end()) {
    if (before->second.revision >= change.revision) return;  // read at the start
    // Deleted; or deleted and made anew between two answers of the store, which is sent as both.
    Object gone = std::move(before->second);
    known_.erase(before);
    by_job_.erase(gone.stored.job);
    gone.progress.revision = change.revision;
    add_to_history("DELETED", change.key, gone);
  }
  auto stored = change.value ? from_record(*change.value) : std::nullopt;
  if (!stored) return;
  put_object(change.key, std::move(*stored), change.revision);
  add_to_history("ADDED", change.key, known_.at(change.key));
}

// ---------------------------------------------------------------- watchers

void Feed::add_to_history(const char* type, const std::string& key, const Object& object) {
  auto id = parse_key(key);
  Json body = job_object(object.stored, id.space, object.progress);
  // How far it had got is not known here, nor whether it ended before this process read it.
  if (type == std::string("DELETED") && object.progress.phase == Progress::Phase::Unfinished)
    body.erase("status");
  HistoryEntry entry{object.progress.revision, id.space, id.name, line(type, body), labels_of(object.stored)};
  history_bytes_ += entry.line.size();
  history_.push_back(std::move(entry));
  pump_all();
  trim_history();
}

void Feed::trim_history() {
  while (history_.size() > c::kKubeHistory || history_bytes_ > c::kKubeHistoryBytes) {
    history_from_ = history_.front().revision;
    history_bytes_ -= history_.front().line.size();
    history_.pop_front();
    ++first_;
  }
}

bool Feed::wants(const Watch& watch, const HistoryEntry& entry) const {
  return entry.revision > watch.after && entry.space == watch.space &&
         (watch.only.empty() || watch.only == entry.name) && selects(watch.labels, entry.labels);
}

/// Guards memory: nothing is queued for a watcher but what its connection has not taken; the rest waits in
/// the one history, and who falls behind that has to list again.
bool Feed::pump(Id id, Watch& watch) {
  for (; watch.next < first_ + history_.size(); ++watch.next) {
    if (watch.next < first_) {
      expire(id, "the watch takes its events too slowly: list again");
      return false;
    }
    const HistoryEntry& entry = history_[watch.next - first_];
    if (!wants(watch, entry)) continue;
    if (server_.unsent(id) >= c::kKubeUnsent) {
      if (!pump_.active()) pump_.once(c::kKubePump, [this] { pump_all(); });
      return true;
    }
    if (!server_.part(id, entry.line)) return false;
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

void Feed::watch(Id id, Watch watch) {
  if (!loaded_ || watch.after < history_from_)
    return expire(id, "the resource version is too old: list again");
  watch.next = first_;
  if (pump(id, watch)) watches_[id] = std::move(watch);
}

void Feed::close() {
  for (const auto& [id, watch] : std::exchange(watches_, {})) server_.end(id);
}

bool Feed::tick_watch(Id id, const Watch& watch, double now, bool send_bookmarks) {
  if (!server_.connected(id)) return true;
  if (now >= watch.until) {
    server_.end(id);
    return true;
  }
  bool up_to_date = watch.next == first_ + history_.size();
  if (!send_bookmarks || !watch.bookmarks || !up_to_date || position_ <= watch.after) return false;
  return !server_.part(id, bookmark());
}

void Feed::tick() {
  double now = steady_now();
  const bool send_bookmarks = loaded_ && now - bookmarked_at_ >= c::kKubeBookmark;
  if (send_bookmarks) bookmarked_at_ = now;
  for (auto it = watches_.begin(); it != watches_.end();)
    it = tick_watch(it->first, it->second, now, send_bookmarks) ? watches_.erase(it) : std::next(it);
}

}  // namespace corkmux::kube

#include "watch_cache.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "constants.h"
#include "object_keys.h"
#include "store_keys.h"

namespace corkmux::kube {
namespace c = constants;

namespace {

bool is_outcome_key(const std::string& key) { return key.rfind(kFinals, 0) == 0; }

}  // namespace

std::string WatchCache::event_line(const char* type, const Json& object) {
  return Json{{"type", type}, {"object", object}}.dump() + "\n";
}

WatchCache::WatchCache(Loop& loop, StateClient& state, http::Server& server)
    : Actor(loop),
      state_(state),
      server_(server),
      retry_(loop),
      tick_(loop),
      send_(loop),
      objects_(loop, kKubeObjects),
      outcomes_(loop, kFinals) {}

void WatchCache::start() {
  load();
  tick_.every(kTickInterval, [this] { tick(); });
}

// ---------------------------------------------------------------- state store

void WatchCache::load() {
  auto generation = ++generation_;
  objects_.retry.stop();
  outcomes_.retry.stop();
  loaded_ = false;
  objects_by_key_.clear();
  key_by_job_.clear();
  pending_.clear();
  first_change_ += history_.size();
  history_.clear();
  history_bytes_ = 0;
  state_.read_all(
      kKubeObjects, "",
      [this, generation](codec::KeyValue& record) {
        auto stored = generation == generation_ ? parse_record(record.value) : std::nullopt;
        if (stored) put_object(record.key, std::move(*stored), record.revision);
      },
      [this, generation](const ReadEnd& end) {
        if (generation == generation_) on_loaded(end);
      });
}

void WatchCache::on_loaded(const ReadEnd& end) {
  if (!end.ok()) return retry_.once(kLoadRetryDelay, [this] { load(); });
  objects_.position = end.revision;
  outcomes_.position = end.revision;
  position_ = end.revision;
  history_from_ = end.revision;
  loaded_ = true;
  follow(objects_);
  follow(outcomes_);
}

void WatchCache::follow(StoreWatch& source) {
  state_.watch(source.prefix, source.position, kStoreWatchWait,
               [this, &source, generation = generation_](const StateReply& reply) {
                 if (generation != generation_) return;
                 if (!reply.ok()) return on_watch_failed(source, reply.status);
                 on_events(source, reply);
                 follow(source);
               });
}

void WatchCache::on_watch_failed(StoreWatch& source, StateStatus status) {
  source.unanswered = status == StateStatus::Unanswered ? source.unanswered + 1 : 0;
  if (status == StateStatus::Missing || source.unanswered >= c::kLostWatchLimit) return reload();
  source.retry.once(c::kRetryPause, [this, &source] { follow(source); });
}

void WatchCache::on_events(StoreWatch& source, const StateReply& reply) {
  source.unanswered = 0;
  auto changes = codec::parse_events(reply.body);
  for (auto& event : changes.events)
    if (event.revision > source.position)
      pending_.push_back({event.revision, std::move(event.key), std::move(event.value)});
  source.position = std::max(source.position, changes.revision);
  apply_pending();
}

void WatchCache::reload() {
  for (const auto& [id, watch] : std::exchange(watches_, {})) expire(id, "changes were missed: list again");
  load();
}

void WatchCache::apply_pending() {
  const auto complete_to = std::min(objects_.position, outcomes_.position);
  // Within one transaction, the object's change is applied first: an object that is deleted together with its
  // job's outcome must get no MODIFIED event before the DELETED event.
  std::sort(pending_.begin(), pending_.end(), [](const Change& left, const Change& right) {
    const bool left_is_outcome = is_outcome_key(left.key);
    const bool right_is_outcome = is_outcome_key(right.key);
    return std::tie(left.revision, left_is_outcome, left.key) <
           std::tie(right.revision, right_is_outcome, right.key);
  });
  auto end = std::find_if(pending_.begin(), pending_.end(),
                          [complete_to](const Change& change) { return change.revision > complete_to; });
  for (auto change = pending_.begin(); change != end; ++change) apply(*change);
  pending_.erase(pending_.begin(), end);
  position_ = std::max(position_, complete_to);
}

void WatchCache::put_object(const std::string& key, StoredObject stored, std::uint64_t revision) {
  key_by_job_[stored.job] = key;
  Object& object = objects_by_key_[key];
  object.stored = std::move(stored);
  object.revision = revision;
  object.progress.revision = revision;
  object.progress.tasks = task_count(object.stored);
}

void WatchCache::apply(const Change& change) {
  if (is_outcome_key(change.key))
    apply_outcome_change(change);
  else
    apply_object_change(change);
}

void WatchCache::apply_outcome_change(const Change& change) {
  auto key = key_by_job_.find(change.key.substr(kFinals.size()));
  if (key == key_by_job_.end() || !change.value) return;
  Object& object = objects_by_key_.at(key->second);
  if (object.progress.revision >= change.revision) return;
  object.progress.revision = change.revision;
  apply_outcome(object.progress, parse_job_outcome(*change.value));
  add_to_history("MODIFIED", key->second, object);
}

void WatchCache::apply_object_change(const Change& change) {
  auto before = objects_by_key_.find(change.key);
  if (before != objects_by_key_.end()) {
    if (before->second.revision >= change.revision) return;  // already included in the load
    // The object was deleted, or deleted and created again between two responses of the state store. The
    // latter is sent as a deletion and a creation.
    Object deleted = std::move(before->second);
    objects_by_key_.erase(before);
    key_by_job_.erase(deleted.stored.job);
    deleted.progress.revision = change.revision;
    add_to_history("DELETED", change.key, deleted);
  }
  auto stored = change.value ? parse_record(*change.value) : std::nullopt;
  if (!stored) return;
  put_object(change.key, std::move(*stored), change.revision);
  add_to_history("ADDED", change.key, objects_by_key_.at(change.key));
}

// ---------------------------------------------------------------- clients

void WatchCache::add_to_history(const char* type, const std::string& key, const Object& object) {
  auto id = parse_object_key(key).value_or(ObjectId{});
  Json body = job_object(object.stored, id.namespace_name, object.progress);
  // The cache does not have the job's progress, nor whether the job ended before this process loaded it.
  if (type == std::string("DELETED") && object.progress.phase == Progress::Phase::Unfinished)
    body.erase("status");
  HistoryEntry entry{object.progress.revision, std::move(id), event_line(type, body),
                     labels_of(object.stored)};
  history_bytes_ += entry.line.size();
  history_.push_back(std::move(entry));
  send_changes_to_all();
  trim_history();
}

void WatchCache::trim_history() {
  while (history_.size() > kHistoryChanges || history_bytes_ > kHistoryBytes) {
    history_from_ = history_.front().revision;
    history_bytes_ -= history_.front().line.size();
    history_.pop_front();
    ++first_change_;
  }
}

bool WatchCache::selects(const WatchRequest& request, const HistoryEntry& entry) {
  return entry.revision > request.after && entry.id.namespace_name == request.filter.namespace_name &&
         request.filter.selects(entry.id.name, entry.labels);
}

/// Bounds memory: only the unsent bytes of its connection are buffered per client. Further changes wait in
/// the shared history, and a client that falls behind the history must list again.
WatchCache::WatchState WatchCache::send_changes(Id id, Watch& watch) {
  for (; watch.next_change < next_change_number(); ++watch.next_change) {
    if (watch.next_change < first_change_) {
      expire(id, "the watch takes its events too slowly: list again");
      return WatchState::Closed;
    }
    const HistoryEntry& entry = history_[watch.next_change - first_change_];
    if (!selects(watch.request, entry)) continue;
    if (server_.unsent(id) >= kMaxUnsentBytes) {
      if (!send_.active()) send_.once(kSendInterval, [this] { send_changes_to_all(); });
      return WatchState::Open;
    }
    if (!server_.send_chunk(id, entry.line)) return WatchState::Closed;
  }
  return WatchState::Open;
}

void WatchCache::send_changes_to_all() {
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    const bool closed = send_changes(watch->first, watch->second) == WatchState::Closed;
    watch = closed ? watches_.erase(watch) : std::next(watch);
  }
}

void WatchCache::expire(Id id, const char* why) {
  server_.send_chunk(id,
                     event_line("ERROR", status_object({.code = 410, .reason = "Expired", .message = why})));
  server_.end(id);
}

std::string WatchCache::bookmark() const {
  const Json metadata = {{"resourceVersion", std::to_string(position_)}, {"creationTimestamp", nullptr}};
  const Json pod_spec = {{"containers", Json::array()}};
  return event_line("BOOKMARK", {{"kind", "Job"},
                                 {"apiVersion", "batch/v1"},
                                 {"metadata", metadata},
                                 {"spec", {{"template", {{"spec", pod_spec}}}}}});
}

void WatchCache::watch(Id id, WatchRequest request) {
  if (!loaded_ || request.after < history_from_)
    return expire(id, "the resource version is too old: list again");
  Watch watch{std::move(request), first_change_};
  if (send_changes(id, watch) == WatchState::Open) watches_[id] = std::move(watch);
}

void WatchCache::close() {
  for (const auto& [id, watch] : std::exchange(watches_, {})) server_.end(id);
}

WatchCache::WatchState WatchCache::tick_watch(Id id, const Watch& watch, double now, bool send_bookmarks) {
  if (!server_.connected(id)) return WatchState::Closed;
  if (now >= watch.request.until) {
    server_.end(id);
    return WatchState::Closed;
  }
  const bool up_to_date = watch.next_change == next_change_number();
  const bool wants_bookmark =
      send_bookmarks && watch.request.bookmarks && up_to_date && position_ > watch.request.after;
  if (!wants_bookmark) return WatchState::Open;
  return server_.send_chunk(id, bookmark()) ? WatchState::Open : WatchState::Closed;
}

void WatchCache::tick() {
  const double now = steady_now();
  const bool send_bookmarks = loaded_ && now - bookmarked_at_ >= kBookmarkInterval;
  if (send_bookmarks) bookmarked_at_ = now;
  std::erase_if(watches_, [&](const auto& watch) {
    return tick_watch(watch.first, watch.second, now, send_bookmarks) == WatchState::Closed;
  });
}

}  // namespace corkmux::kube

#include "store_relay.h"

#include <algorithm>
#include <utility>

#include "constants.h"
#include "mutation.h"
#include "store_keys.h"

namespace corkmux {

StoreRelay::StoreRelay(Loop& loop, const Settings& settings, StateClient& state, DeliverCallback deliver)
    : Actor(loop),
      label_(settings.label),
      state_(state),
      deliver_(std::move(deliver)),
      record_size_(static_cast<std::size_t>(settings.next.value_kb * 1024 * constants::kRecordShare)),
      write_interval_(1 / std::max(1.0, settings.next.write_rps * constants::kRelayWriteShare)),
      batch_delay_(std::min(constants::kRelayBatchDelay, 2 * write_interval_)),
      // Guards against an answer to a former incarnation of this controller: request ids do not start over.
      last_request_(fresh_seed() << 20),
      sweep_timer_(loop),
      retry_timer_(loop) {
  sweep_timer_.every(constants::kStoreRelaySweepInterval, [this] { give_up_overdue(); });
}

// ---------------------------------------------------------------- messages

void StoreRelay::request(const std::string& to, const std::string& heartbeat, LeaderReplyCallback reply) {
  auto encoding = compact_readers_.contains(to) ? RelayEncoding::Compact : RelayEncoding::Full;
  auto item = RelayItem::request(last_request_ + 1, heartbeat, encoding);
  if (!item || pending_.size() >= constants::kStoreRelayPendingLimit) return reply(LeaderReply::unanswered());
  ++last_request_;
  pending_[last_request_] = {steady_now() + constants::kStoreRelayTimeout, std::move(reply)};
  start_watching();
  send(to, std::move(*item));
}

void StoreRelay::accept_requests(bool accept) {
  accepting_ = accept;
  if (accept) start_watching();
}

// ---------------------------------------------------------------- receiving

/// Reads which controllers read the compact encoding. Declarations are only added: a controller that once
/// declared that it reads the encoding keeps reading it.
void StoreRelay::find_compact_readers() {
  state_.read_all(
      kRecordFormats, "",
      [this](const codec::KeyValue& record) {
        if (auto label = reader_of_current_format(record)) compact_readers_.insert(*label);
      },
      [](const ReadEnd&) {});
}

void StoreRelay::start_watching() {
  if (watching_) return;
  watching_ = true;
  ready_ = false;
  find_compact_readers();
  // The revision to watch from is read first and items are sent only after it, so that no answer is missed.
  state_.list(kStoreRelayPrefix + label_ + "/", "", 1, [this](const StateReply& reply) {
    if (!reply.ok()) return start_watching_failed();
    ready_ = true;
    for (auto& [to, outbox] : outboxes_) flush(to);
    watch(codec::parse_page(reply.body).revision);
  });
}

void StoreRelay::start_watching_failed() {
  watching_ = false;
  // Queued items are given up at once, while their workers still have time to try another controller.
  for (auto& [to, outbox] : outboxes_)
    for (const auto& entry : std::exchange(outbox.entries, {})) {
      outbox.bytes -= entry.item.size();
      give_up(entry.item);
    }
  if (should_watch()) retry_timer_.once(constants::kRetryPause, [this] { start_watching(); });
}

void StoreRelay::watch(std::uint64_t after) {
  state_.watch(kStoreRelayPrefix + label_ + "/", after, constants::kWatchWait,
               [this, after](const StateReply& reply) {
                 if (!reply.ok()) {
                   watching_ = false;
                   ready_ = false;
                   if (should_watch())
                     retry_timer_.once(constants::kRetryPause, [this] { start_watching(); });
                   return;
                 }
                 auto events = codec::parse_events(reply.body);
                 for (const auto& event : events.events) receive(event);
                 if (should_watch()) return watch(std::max(after, events.revision));
                 watching_ = false;
                 ready_ = false;
               });
}

void StoreRelay::receive(const codec::Event& event) {
  auto record = event.value ? parse_relay_record(*event.value) : std::nullopt;
  if (!record) return;
  for (const auto& item : record->items) {
    if (const auto* request = std::get_if<RelayedRequest>(&item))
      receive_request(record->from, *request);
    else if (const auto* answer = std::get_if<RelayedAnswer>(&item))
      finish(answer->id, answer->reply);
  }
}

void StoreRelay::receive_request(const std::string& from, const RelayedRequest& request) {
  if (!accepting_ || mutation_enabled("relayed heartbeats for the leader are not read")) return;
  deliver_(request.heartbeat,
           [this, from, id = request.id, encoding = request.encoding](const LeaderReply& reply) {
             send(from, RelayItem::answer(id, reply, encoding));
           });
}

// ---------------------------------------------------------------- sending

void StoreRelay::send(const std::string& to, RelayItem item) {
  Outbox& outbox = outboxes_[to];
  auto bytes = item.size();
  // Bounds the outbox: an item too large for any record would be refused by the state store, and an item that
  // would arrive late only delays the items behind it. Both are given up at once, so that the worker tries
  // another controller.
  std::size_t full_records_before = outbox.bytes / record_size_;
  double wait = write_interval_ * static_cast<double>(full_records_before);
  if (bytes > record_size_ || wait > constants::kStoreRelayTimeout / 2) return give_up(item);
  outbox.bytes += bytes;
  outbox.entries.push_back({std::move(item), steady_now()});
  flush(to);
}

void StoreRelay::flush(const std::string& to) {
  Outbox& outbox = outboxes_[to];
  if (outbox.writing || outbox.entries.empty() || !ready_) return;
  // Writes are scarce: a record waits for more items unless it is full.
  bool full = outbox.bytes > record_size_;
  double due = outbox.written_at + (full ? write_interval_ : batch_delay_) - steady_now();
  if (!outbox.timer) outbox.timer = std::make_unique<Timer>(loop_);
  if (outbox.timer->active() && !full) return;
  // One record at a time and at a limited rate: when the write limit is short, the relay gives way to other
  // writes.
  outbox.timer->once(std::max(0.0, due), [this, to] { write(to); });
}

std::vector<RelayItem> StoreRelay::next_record(Outbox& outbox) const {
  std::vector<RelayItem> items;
  std::size_t bytes = 0;
  while (!outbox.entries.empty()) {
    auto& entry = outbox.entries.front();
    // An expired item is dropped: its request has timed out.
    bool expired = outbox.written_at - entry.queued_at > constants::kStoreRelayTimeout;
    if (!expired && !items.empty() && bytes + entry.item.size() > record_size_) break;
    outbox.bytes -= entry.item.size();
    if (!expired) {
      bytes += entry.item.size();
      items.push_back(std::move(entry.item));
    }
    outbox.entries.pop_front();
  }
  return items;
}

void StoreRelay::write(const std::string& to) {
  Outbox& outbox = outboxes_[to];
  if (outbox.writing || outbox.entries.empty()) return;
  outbox.written_at = steady_now();
  auto items = next_record(outbox);
  if (items.empty()) return;
  outbox.writing = true;
  outbox.slot = (outbox.slot + 1) % constants::kStoreRelaySlots;
  std::string key = kStoreRelayPrefix + to + "/" + label_ + "/" + std::to_string(outbox.slot);
  state_.transaction({}, {{key, relay_record_to_json(label_, items), 0}},
                     [this, to, items](const StateReply& reply) { written(to, items, reply); });
}

void StoreRelay::written(const std::string& to, const std::vector<RelayItem>& items,
                         const StateReply& reply) {
  outboxes_[to].writing = false;
  if (reply.status == StateStatus::Invalid)
    record_size_ = std::max(constants::kSmallestRecord, record_size_ / 2);
  if (!reply.ok())
    for (const auto& item : items) give_up(item);
  flush(to);
}

// ---------------------------------------------------------------- ends of requests

void StoreRelay::give_up(const RelayItem& item) {
  if (auto id = item.request_id()) finish(*id, LeaderReply::unanswered());
}

void StoreRelay::finish(std::uint64_t request, LeaderReply reply) {
  auto entry = pending_.find(request);
  if (entry == pending_.end()) return;
  auto callback = std::move(entry->second.reply);
  pending_.erase(entry);
  callback(std::move(reply));
}

void StoreRelay::give_up_overdue() {
  double now = steady_now();
  std::vector<std::uint64_t> overdue;
  for (const auto& [request, pending] : pending_)
    if (pending.deadline <= now) overdue.push_back(request);
  for (auto request : overdue) finish(request, LeaderReply::unanswered());
}

}  // namespace corkmux

#include "store_relay.h"

#include <algorithm>
#include <random>

#include "constants.h"
#include "controller_constants.h"
#include "mutation.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
using codec::Json;

StoreRelay::StoreRelay(Loop& loop, const Settings& settings, StateClient& state, Deliver deliver)
    : Actor(loop),
      label_(settings.label),
      state_(state),
      deliver_(std::move(deliver)),
      room_(static_cast<std::size_t>(settings.next.value_kb * 1024 * c::kRecordShare)),
      pause_(1 / std::max(1.0, settings.next.write_rps * c::kRelayWriteShare)),
      gather_(std::min(c::kRelayBatchDelay, 2 * pause_)),
      // Guards against an answer meant for a former life of ours: numbers do not start over.
      next_(fresh_seed() << 20),
      sweeper_(loop),
      retry_(loop) {
  sweeper_.every(c::kStoreRelaySweepInterval, [this] { sweep(); });
}

void StoreRelay::request(const std::string& to, const std::string& body, Reply reply) {
  auto parsed = codec::unpack(body);
  if (!parsed || pending_.size() >= c::kStoreRelayPendingLimit) return reply(0, "");
  auto id = ++next_;
  pending_[id] = {steady_now() + c::kStoreRelayTimeout, std::move(reply)};
  listen();
  if (brief_.count(to))
    if (Json brief = codec::compact_heartbeat(*parsed); !brief.is_null())
      return send(to, {{"q", id}, {"r", std::move(brief)}});
  send(to, {{"q", id}, {"b", std::move(*parsed)}});
}

void StoreRelay::serve(bool on) {
  serving_ = on;
  if (on) listen();
}

// ---------------------------------------------------------------- taking in

/// Who reads the brief form: what a controller has once said of itself stays true.
void StoreRelay::learn_forms() {
  state_.read_all(
      kRecordFormats, "",
      [this](const codec::KeyValue& kv) {
        if (auto label = reader_of_our_format(kv)) brief_.insert(*label);
      },
      [](const ReadEnd&) {});
}

void StoreRelay::listen() {
  if (listening_) return;
  listening_ = true;
  ready_ = false;
  learn_forms();
  // The revision from which on we watch comes first; what we send waits for it, so that no answer is missed.
  state_.list(kStoreRelayPrefix + label_ + "/", "", 1, [this](StateReply reply) {
    if (!reply.ok()) {
      listening_ = false;
      // What waits to be sent is given up at once: its workers still have time to try elsewhere.
      for (auto& [to, outbox] : outboxes_)
        for (const auto& item : std::exchange(outbox.items, {})) {
          outbox.bytes -= item.bytes;
          give_up(item.body);
        }
      if (wanted()) retry_.once(c::kRetryPause, [this] { listen(); });
      return;
    }
    ready_ = true;
    for (auto& [to, outbox] : outboxes_) flush(to);
    watch(codec::parse_page(reply.body).revision);
  });
}

void StoreRelay::watch(std::uint64_t after) {
  state_.watch(kStoreRelayPrefix + label_ + "/", after, c::kWatchWait, [this, after](StateReply reply) {
    if (!reply.ok()) {
      listening_ = ready_ = false;
      if (wanted()) retry_.once(c::kRetryPause, [this] { listen(); });
      return;
    }
    auto events = codec::parse_events(reply.body);
    for (const auto& e : events.events) take(e);
    if (!wanted()) {
      listening_ = ready_ = false;
      return;
    }
    watch(std::max(after, events.revision));
  });
}

void StoreRelay::take(const codec::Event& event) {
  if (!event.value || !event.value->is_object()) return;
  std::string from = event.value->value("f", "");
  auto items = event.value->find("i");
  if (from.empty() || items == event.value->end() || !items->is_array()) return;
  for (const auto& item : *items) {
    if (!item.is_object()) continue;
    // An answer comes in the form that was asked in.
    bool brief = item.contains("r");
    const Json body =
        brief ? item.contains("q") ? codec::expand_heartbeat(item["r"]) : codec::expand_answer(item["r"])
              : item.value("b", Json());
    if (auto q = item.find("q"); q != item.end() && q->is_number_unsigned()) {
      if (!serving_ || mutation_enabled("mail for the leader is not read")) continue;
      deliver_(codec::pack(body),
               [this, from, brief, id = q->get<std::uint64_t>()](int status, std::string answer) {
                 auto parsed = codec::unpack(answer);
                 if (brief && status == 200 && parsed)
                   return send(from, {{"a", id}, {"s", status}, {"r", codec::compact_answer(*parsed)}});
                 send(from, {{"a", id}, {"s", status}, {"b", parsed ? std::move(*parsed) : Json()}});
               });
    } else if (auto a = item.find("a"); a != item.end() && a->is_number_unsigned()) {
      settle(a->get<std::uint64_t>(), item.value("s", 0), body.is_null() ? std::string() : codec::pack(body));
    }
  }
}

// ---------------------------------------------------------------- sending

void StoreRelay::send(const std::string& to, Json item) {
  Outbox& outbox = outboxes_[to];
  // Bounded: what does not fit is given up at once, its worker tries elsewhere.
  auto size = item.dump().size() + 1;
  // One that no record has room for would only be refused; one that would be late only holds up those behind
  // it.
  std::size_t full_records = outbox.bytes / room_;  // that go before it
  double wait = pause_ * static_cast<double>(full_records);
  if (size > room_ || wait > c::kStoreRelayTimeout / 2) return give_up(item);
  outbox.bytes += size;
  outbox.items.push_back({std::move(item), size, steady_now()});
  flush(to);
}

void StoreRelay::flush(const std::string& to) {
  Outbox& outbox = outboxes_[to];
  if (outbox.writing || outbox.items.empty() || !ready_) return;
  // Changes are few: a record waits for company, unless it is full.
  double due = outbox.last + (outbox.bytes > room_ ? pause_ : gather_) - steady_now();
  if (!outbox.timer) outbox.timer = std::make_unique<Timer>(loop_);
  if (outbox.timer->active() && outbox.bytes <= room_) return;
  // One record at a time, and at most some a second: mail is what waits first when changes run short.
  outbox.timer->once(std::max(0.0, due), [this, to] { write(to); });
}

void StoreRelay::write(const std::string& to) {
  Outbox& outbox = outboxes_[to];
  if (outbox.writing || outbox.items.empty()) return;
  outbox.last = steady_now();
  std::vector<Json> sent;
  std::size_t size = 0;
  outbox.writing = true;
  while (!outbox.items.empty()) {
    auto& item = outbox.items.front();
    bool late = outbox.last - item.since > c::kStoreRelayTimeout;  // nobody waits for it any more
    if (!late && !sent.empty() && size + item.bytes > room_) break;
    outbox.bytes -= item.bytes;
    if (!late) {
      size += item.bytes;
      sent.push_back(std::move(item.body));
    }
    outbox.items.pop_front();
  }
  if (sent.empty()) {
    outbox.writing = false;
    return;
  }
  outbox.slot = (outbox.slot + 1) % c::kStoreRelaySlots;
  std::string key = kStoreRelayPrefix + to + "/" + label_ + "/" + std::to_string(outbox.slot);
  std::vector<codec::Write> record{{key, Json{{"f", label_}, {"i", sent}}, 0}};
  state_.transaction({}, record, [this, to, sent = std::move(sent)](StateReply reply) {
    outboxes_[to].writing = false;
    if (reply.status == StateStatus::Invalid) room_ = std::max(c::kSmallestRecord, room_ / 2);
    if (!reply.ok())
      for (const auto& item : sent) give_up(item);
    flush(to);
  });
}

void StoreRelay::give_up(const Json& item) {
  if (auto q = item.find("q"); q != item.end()) settle(q->get<std::uint64_t>(), 0, "");
}

void StoreRelay::settle(std::uint64_t id, int status, std::string body) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  auto reply = std::move(it->second.reply);
  pending_.erase(it);
  reply(status, std::move(body));
}

void StoreRelay::sweep() {
  double now = steady_now();
  std::vector<std::uint64_t> late;
  for (const auto& [id, p] : pending_)
    if (p.deadline <= now) late.push_back(id);
  for (auto id : late) settle(id, 0, "");
}

}  // namespace corkmux

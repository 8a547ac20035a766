#include "fanin_messages.h"

#include "ipv4_address.h"
#include "wire_fields.h"

namespace corkmux::fanin {
namespace {

using codec::Json;

/// Bytes that an entry takes besides its texts: numbers and their lengths.
constexpr std::size_t kEntryOverheadBytes = 64;

struct MalformedEntry {};

constexpr std::uint64_t kMaxHttpStatus = 599;
constexpr int kFullHeartbeatRequired = 428;  // the status that stands for FullHeartbeatRequired

std::uint64_t number(const Json& entry, std::size_t at) {
  if (!entry.at(at).is_number_unsigned()) throw MalformedEntry();
  return entry.at(at).get<std::uint64_t>();
}

const std::string& text(const Json& entry, std::size_t at) {
  if (!entry.at(at).is_string()) throw MalformedEntry();
  return entry.at(at).get_ref<const std::string&>();
}

const std::string& name(const Json& entry, std::size_t at) {
  const auto& out = text(entry, at);
  if (!codec::is_valid_name(out)) throw MalformedEntry();
  return out;
}

int status(const Json& entry, std::size_t at) {
  auto out = number(entry, at);
  if (out > kMaxHttpStatus) throw MalformedEntry();
  return static_cast<int>(out);
}

Json heartbeat_to_json(const ForwardedHeartbeat& heartbeat) {
  if (const auto* full = std::get_if<FullHeartbeat>(&heartbeat.heartbeat)) return {heartbeat.id, full->body};
  const auto& delta = std::get<HeartbeatDelta>(heartbeat.heartbeat);
  return {heartbeat.id, delta.machine, delta.worker_epoch, delta.base_seq, delta.seq};
}

ForwardedHeartbeat heartbeat_from(const Json& entry) {
  auto id = number(entry, 0);
  bool is_full = entry.size() == 2;
  if (!is_full)
    return {id, HeartbeatDelta{name(entry, 1), number(entry, 2), number(entry, 3), number(entry, 4)}};
  const auto& body = text(entry, 1);
  if (body.empty()) throw MalformedEntry();
  return {id, FullHeartbeat{body}};
}

CommandOutcome outcome_from(const Json& entry) {
  if (!entry.at(2).is_boolean()) throw MalformedEntry();
  bool sent = entry.at(2).get<bool>();
  return {number(entry, 0), WorkerReply::from_wire(status(entry, 1), sent, text(entry, 3))};
}

Json answer_to_json(const HeartbeatAnswer& answer) {
  if (const auto* reply = std::get_if<LeaderReply>(&answer.content))
    return {answer.id, reply->wire_status(), reply->body()};
  return {answer.id, kFullHeartbeatRequired, ""};
}

HeartbeatAnswer answer_from(const Json& entry) {
  auto id = number(entry, 0);
  int status_code = status(entry, 1);
  const auto& body = text(entry, 2);
  if (status_code == kFullHeartbeatRequired) return {id, FullHeartbeatRequired()};
  return {id, LeaderReply::from_wire(status_code, body)};
}

ForwardedCommands commands_from(const Json& entry) {
  if (!parse_ipv4_address(name(entry, 2))) throw MalformedEntry();
  return {number(entry, 0), name(entry, 1), name(entry, 2), text(entry, 3)};
}

/// The entries that parse; counts the others in `malformed`.
template <typename Entry>
std::vector<Entry> entries(const Json& message, const char* field, int& malformed,
                           Entry (*parse)(const Json&)) {
  std::vector<Entry> out;
  auto list = message.find(field);
  if (list == message.end()) return out;
  if (!list->is_array()) {
    ++malformed;
    return out;
  }
  for (const auto& entry : *list) try {
      out.push_back(parse(entry));
    } catch (const MalformedEntry&) {
      ++malformed;
    } catch (const Json::exception&) {
      ++malformed;
    }
  return out;
}

std::optional<Json> message_from(std::string_view bytes) {
  auto message = codec::unpack_with_encoded_bodies(bytes);
  if (!message || !message->is_object()) return std::nullopt;
  auto from = message->find("from");
  if (from == message->end() || !from->is_string()) return std::nullopt;
  if (!codec::is_valid_name(from->get_ref<const std::string&>())) return std::nullopt;
  return message;
}

}  // namespace

std::string pack(const HeartbeatBatch& batch) {
  Json heartbeats = Json::array();
  for (const auto& heartbeat : batch.heartbeats) heartbeats.push_back(heartbeat_to_json(heartbeat));
  Json outcomes = Json::array();
  for (const auto& outcome : batch.outcomes)
    outcomes.push_back(
        {outcome.id, outcome.reply.wire_status(), outcome.reply.wire_sent(), outcome.reply.body()});
  return codec::pack(
      {{"from", batch.from}, {"reports", std::move(heartbeats)}, {"outcomes", std::move(outcomes)}});
}

std::string pack(const std::vector<HeartbeatAnswer>& answers) {
  Json out = Json::array();
  for (const auto& answer : answers) out.push_back(answer_to_json(answer));
  return codec::pack(out);
}

std::string pack(const ForwardedCommandBatch& batch) {
  Json commands = Json::array();
  for (const auto& entry : batch.commands)
    commands.push_back({entry.id, entry.machine, entry.address, entry.body});
  return codec::pack({{"from", batch.from}, {"orders", std::move(commands)}});
}

std::optional<Parsed<HeartbeatBatch>> parse_heartbeats(std::string_view bytes) {
  auto message = message_from(bytes);
  if (!message) return std::nullopt;
  Parsed<HeartbeatBatch> out;
  out.message.from = (*message)["from"].get<std::string>();
  out.message.heartbeats = entries(*message, "reports", out.malformed, &heartbeat_from);
  out.message.outcomes = entries(*message, "outcomes", out.malformed, &outcome_from);
  return out;
}

std::optional<Parsed<ForwardedCommandBatch>> parse_commands(std::string_view bytes) {
  auto message = message_from(bytes);
  if (!message) return std::nullopt;
  Parsed<ForwardedCommandBatch> out;
  out.message.from = (*message)["from"].get<std::string>();
  out.message.commands = entries(*message, "orders", out.malformed, &commands_from);
  return out;
}

std::optional<std::vector<HeartbeatAnswer>> parse_answers(std::string_view bytes) {
  auto message = codec::unpack_with_encoded_bodies(bytes);
  if (!message || !message->is_array()) return std::nullopt;
  std::vector<HeartbeatAnswer> out;
  for (const auto& entry : *message) try {
      out.push_back(answer_from(entry));
    } catch (const MalformedEntry&) {
    } catch (const Json::exception&) {
    }
  return out;
}

std::size_t size_of(const ForwardedHeartbeat& heartbeat) {
  if (const auto* full = std::get_if<FullHeartbeat>(&heartbeat.heartbeat))
    return kEntryOverheadBytes + full->body.size();
  return kEntryOverheadBytes + std::get<HeartbeatDelta>(heartbeat.heartbeat).machine.size();
}
std::size_t size_of(const CommandOutcome& outcome) {
  return kEntryOverheadBytes + outcome.reply.body().size();
}
std::size_t size_of(const ForwardedCommands& commands) {
  return kEntryOverheadBytes + commands.machine.size() + commands.address.size() + commands.body.size();
}

}  // namespace corkmux::fanin

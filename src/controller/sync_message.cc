#include "sync_message.h"

#include <cmath>
#include <type_traits>

namespace corkmux {
namespace {

using codec::Json;

/// Returns the field if it has the expected type. Guards against a malformed message that ends this process.
template <typename T>
std::optional<T> field(const Json& body, const char* name) {
  auto entry = body.find(name);
  if (entry == body.end()) return std::nullopt;
  bool fits = false;
  if constexpr (std::is_same_v<T, bool>)
    fits = entry->is_boolean();
  else if constexpr (std::is_same_v<T, std::string>)
    fits = entry->is_string();
  else if constexpr (std::is_integral_v<T>)
    fits = entry->is_number_unsigned();
  else
    fits = entry->is_number() && std::isfinite(entry->template get<T>());
  if (!fits) return std::nullopt;
  return entry->template get<T>();
}

std::uint64_t number(const Json& body, const char* name) {
  return field<std::uint64_t>(body, name).value_or(0);
}

// ---------------------------------------------------------------- status

Json status_to_json(const PeerStatus& status) {
  Json out = {{"label", status.label},
              {"boot", status.incarnation},
              {"leader", status.leader},
              {"term", status.term},
              {"serves", status.takes_batches}};
  if (status.state_age) out["state_age"] = *status.state_age;
  if (status.fanin)
    out["serving"] = {
        {"term", status.fanin->term}, {"number", status.fanin->number}, {"labels", status.fanin->labels}};
  if (status.dependency_barrier_age) out["settled_age"] = *status.dependency_barrier_age;
  return out;
}

std::optional<FanInAnnouncement> fanin_from(const Json& body) {
  auto entry = body.find("serving");
  if (entry == body.end() || !entry->is_object()) return std::nullopt;
  auto labels = entry->find("labels");
  if (labels == entry->end() || !labels->is_array()) return std::nullopt;
  FanInAnnouncement out;
  out.term = number(*entry, "term");
  out.number = number(*entry, "number");
  for (const auto& label : *labels) {
    if (!label.is_string()) return std::nullopt;
    out.labels.push_back(label.get<std::string>());
  }
  return out;
}

PeerStatus status_from(const Json& body) {
  PeerStatus out;
  out.label = field<std::string>(body, "label").value_or("");
  out.incarnation = number(body, "boot");
  out.state_age = field<double>(body, "state_age");
  out.leader = field<std::string>(body, "leader").value_or("");
  out.term = number(body, "term");
  out.takes_batches = field<bool>(body, "serves").value_or(false);
  out.fanin = fanin_from(body);
  auto barrier_age = field<double>(body, "settled_age");
  if (barrier_age && *barrier_age >= 0) out.dependency_barrier_age = barrier_age;
  return out;
}

// ---------------------------------------------------------------- job views

Json view_to_json(const codec::JobView& view) {
  return Json::array({view.id, view.phase, view.done, view.running, view.reason});
}

bool is_view(const Json& entry) {
  return entry.is_array() && entry.size() == 5 && entry[0].is_string() && entry[1].is_string() &&
         entry[2].is_number_integer() && entry[3].is_number_integer() && entry[4].is_string();
}

codec::JobView view_from(const Json& entry) {
  return {entry[0].get<std::string>(), entry[1].get<std::string>(), entry[2].get<int>(), entry[3].get<int>(),
          entry[4].get<std::string>()};
}

std::optional<Json> object_from(std::string_view bytes) {
  auto body = codec::unpack(bytes);
  if (!body || !body->is_object()) return std::nullopt;
  return body;
}

}  // namespace

std::string pack(const SyncRequest& request) {
  Json body = status_to_json(request.status);
  if (request.acknowledged) {
    body["told"] = request.acknowledged->number;
    body["told_by"] = request.acknowledged->incarnation;
  }
  Json views = Json::array();
  for (const auto& view : request.views) views.push_back(view_to_json(view));
  body["jobs"] = std::move(views);
  return codec::pack(body);
}

std::string pack(const SyncAnswer& answer) {
  Json body = status_to_json(answer.status);
  if (answer.cancels_lost) body["overflow"] = true;
  body["cancels"] = answer.cancels;
  body["told"] = answer.last_cancel;
  return codec::pack(body);
}

std::optional<SyncRequest> parse_sync_request(std::string_view bytes) {
  auto body = object_from(bytes);
  if (!body) return std::nullopt;
  SyncRequest out;
  out.status = status_from(*body);
  if (body->contains("told")) out.acknowledged = {number(*body, "told_by"), number(*body, "told")};
  auto views = body->find("jobs");
  if (views == body->end() || !views->is_array()) return out;
  for (const auto& entry : *views)
    if (is_view(entry)) out.views.push_back(view_from(entry));
  return out;
}

std::optional<SyncAnswer> parse_sync_answer(std::string_view bytes) {
  auto body = object_from(bytes);
  if (!body) return std::nullopt;
  SyncAnswer out;
  out.status = status_from(*body);
  out.last_cancel = number(*body, "told");
  out.cancels_lost = field<bool>(*body, "overflow").value_or(false);
  auto cancels = body->find("cancels");
  if (cancels == body->end() || !cancels->is_array()) return out;
  for (const auto& entry : *cancels) {
    if (entry.is_string() && codec::valid_job_id(entry.get_ref<const std::string&>()))
      out.cancels.push_back(entry.get<std::string>());
    else
      out.malformed = true;
  }
  return out;
}

}  // namespace corkmux

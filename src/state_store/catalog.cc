#include "catalog.h"

#include <spdlog/spdlog.h>

namespace corkmux {
namespace c = constants;
namespace {
constexpr const char* kCatalogKey = "catalog";
}

Catalog::Catalog(Loop& loop, StateClient& state, http::Client& cloud)
    : Actor(loop), state_(state), cloud_(cloud), timer_(loop) {}

void Catalog::start() { read_copy(); }

void Catalog::read_copy() {
  state_.get(kCatalogKey, [this](const StateReply& reply) { copy_read(reply); });
}

void Catalog::copy_read(const StateReply& reply) {
  auto copy = reply.ok() ? codec::parse_value(reply.body) : std::nullopt;
  if (copy) {
    set(codec::parse_catalog(copy->value));
    refresh_later();
    if (!types_.empty()) return;
  }
  request_from_cloud(reply.status == StateStatus::Missing);
}

/// `store`: whether to copy the answer to the state store.
void Catalog::request_from_cloud(bool store) {
  cloud_.request("GET", codec::kCatalogPath, "", c::kCloudTimeout,
                 [this, store](const http::Result& result) { cloud_answered(result, store); });
}

void Catalog::cloud_answered(const http::Result& result, bool store) {
  auto body = result.ok() ? codec::unpack_answer(result.body) : std::nullopt;
  auto types = body ? codec::parse_catalog(*body) : std::vector<MachineType>{};
  if (types.empty()) {
    if (!types_.empty()) return refresh_later();
    // Without any types, both sources are tried in turn.
    return timer_.once(kRetryPause, [this] { types_.empty() ? read_copy() : request_from_cloud(false); });
  }
  // The copy is for controllers that start while the cloud's interface is unavailable.
  if (store)
    state_.transaction({{kCatalogKey, 0}}, {{kCatalogKey, codec::catalog_to_wire(types), 0}},
                       [](const StateReply&) {});
  set(std::move(types));
  refresh_later();
}

void Catalog::refresh_later() {
  timer_.once(kRefreshInterval, [this] { request_from_cloud(false); });
}

void Catalog::set(std::vector<MachineType> types) {
  if (types.empty()) return;
  if (types_.empty()) spdlog::info("catalog: {} machine types", types.size());
  types_ = std::move(types);
  for (auto& listener : listeners_) listener(types_);
}

}  // namespace corkmux

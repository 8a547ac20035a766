#include "catalog.h"

#include <spdlog/spdlog.h>

#include "state_store_constants.h"

namespace corkmux {
namespace c = constants;
namespace {
constexpr const char* kKey = "catalog";
}

Catalog::Catalog(Loop& loop, StateClient& state, http::Client& cloud)
    : Actor(loop), state_(state), cloud_(cloud), timer_(loop) {}

void Catalog::start() { read_copy(); }

void Catalog::read_copy() {
  state_.get(kKey, [this](StateReply reply) {
    if (reply.ok())
      if (auto kv = codec::parse_value(reply.body)) {
        set(codec::parse_catalog(kv->value));
        timer_.once(c::kCatalogEvery, [this] { ask_cloud(false); });
        if (!types_.empty()) return;
      }
    ask_cloud(reply.status == StateStatus::Missing);
  });
}

void Catalog::ask_cloud(bool store) {
  cloud_.request("GET", codec::kCatalogPath, "", c::kCloudTimeout, [this, store](http::Result r) {
    auto body = r.ok() ? codec::unpack(r.body) : std::nullopt;
    auto types = body ? codec::parse_catalog(*body) : std::vector<MachineType>{};
    if (types.empty()) {
      // Known types stay good while the cloud is away; without any, both sources are asked in turn.
      timer_.once(types_.empty() ? 1.0 : c::kCatalogEvery,
                  [this] { types_.empty() ? read_copy() : ask_cloud(false); });
      return;
    }
    // The copy serves controllers that start while the cloud's interface is down.
    if (store) state_.txn({{kKey, 0}}, {{kKey, codec::catalog_to_wire(types), 0}}, [](StateReply) {});
    set(std::move(types));
    timer_.once(c::kCatalogEvery, [this] { ask_cloud(false); });
  });
}

void Catalog::set(std::vector<MachineType> types) {
  if (types.empty()) return;
  if (types_.empty()) spdlog::info("catalog: {} machine types", types.size());
  types_ = std::move(types);
  for (auto& listener : listeners_) listener(types_);
}

}  // namespace corkmux

#include "record_format_negotiation.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <set>

#include "constants.h"
#include "record_format_declaration.h"
#include "scheduler.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;
namespace {

/// Collects the declarations of all controllers that the settings name.
struct Declarations {
  std::set<std::string> undeclared;
  std::uint64_t first_revision = std::numeric_limits<std::uint64_t>::max();
  RecordFormats formats;

  explicit Declarations(const Settings& settings) {
    undeclared.insert(settings.label);
    for (const auto& peer : settings.peers) undeclared.insert(peer.label);
  }

  void add(const codec::KeyValue& record) {
    if (auto label = reader_of_current_format(record)) undeclared.erase(*label);
    // The number of tasks per record of format 1 is that of the settings of the first controller of this
    // version, so the earliest declaration counts; the settings may have changed since.
    int tasks = parse_record_format_declaration(record.value).v1_tasks_per_record;
    if (tasks <= 0 || record.revision >= first_revision) return;
    first_revision = record.revision;
    formats.v1_tasks_per_record = tasks;
  }
};

}  // namespace

RecordFormatNegotiation::RecordFormatNegotiation(Loop& loop, const Settings& settings, StateClient& state)
    : Actor(loop), settings_(settings), state_(state), retry_timer_(loop) {}

void RecordFormatNegotiation::declare() {
  std::string key = kRecordFormats + settings_.label;
  state_.get(key, [this, key](StateReply reply) {
    if (reply.status == StateStatus::Missing) return store_declaration(key);
    if (!reply.ok()) declare_again();
  });
}

void RecordFormatNegotiation::store_declaration(const std::string& key) {
  SchedulerConfig config;
  config.value_kb = settings_.value_kb;
  RecordFormatDeclaration declaration{c::kRecordFormat, config.tasks_per_v1_record()};
  state_.transaction({{key, 0}}, {{key, to_json(declaration), 0}}, [this](StateReply stored) {
    if (!stored.ok()) declare_again();
  });
}

void RecordFormatNegotiation::declare_again() {
  retry_timer_.once(kPollInterval, [this] { declare(); });
}

void RecordFormatNegotiation::read(ReadCallback done) {
  auto declarations = std::make_shared<Declarations>(settings_);
  state_.read_all(
      kRecordFormats, "", [declarations](const codec::KeyValue& record) { declarations->add(record); },
      [declarations, done = std::move(done)](const ReadEnd& end) {
        if (!end.ok()) return done(std::nullopt);
        declarations->formats.all_read_v2 = declarations->undeclared.empty();
        done(declarations->formats);
      });
}

}  // namespace corkmux

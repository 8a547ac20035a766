#include "record_format_negotiation.h"

#include <memory>

#include "constants.h"
#include "leader_constants.h"
#include "scheduler.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

RecordFormatNegotiation::RecordFormatNegotiation(Loop& loop, const Settings& settings, StateClient& state)
    : Actor(loop), settings_(settings), state_(state), timer_(loop) {}

void RecordFormatNegotiation::declare() {
  auto again = [this] { timer_.once(c::kRecordFormatPollInterval, [this] { declare(); }); };
  std::string key = kRecordFormats + settings_.label;
  state_.get(key, [this, key, again](StateReply reply) {
    if (reply.status == StateStatus::Missing) {
      SchedulerConfig config;
      config.value_kb = settings_.value_kb;
      return state_.txn(
          {{key, 0}}, {{key, codec::Json{{"f", c::kRecordFormat}, {"per", config.tasks_per_v1_record()}}, 0}},
          [again](StateReply done) {
            if (!done.ok()) again();
          });
    }
    if (!reply.ok()) again();
  });
}

void RecordFormatNegotiation::read(std::function<void(std::optional<RecordFormats>)> done) {
  struct Found {
    std::set<std::string> old;
    std::uint64_t first = ~0ull;
    RecordFormats formats;
  };
  auto found = std::make_shared<Found>();
  found->old.insert(settings_.label);
  for (const auto& p : settings_.peers) found->old.insert(p.label);
  state_.read_all(
      kRecordFormats, "",
      [found](const codec::KeyValue& kv) {
        if (auto label = reader_of_our_format(kv)) found->old.erase(*label);
        // How records of the first form were cut is what the first controller of this version found in its
        // settings; these may have changed since.
        if (int per = kv.value.value("per", 0); per > 0 && kv.revision < found->first)
          found->first = kv.revision, found->formats.v1_tasks_per_record = per;
      },
      [found, done = std::move(done)](const ReadEnd& end) {
        if (!end.ok()) return done(std::nullopt);
        found->formats.all_read_v2 = found->old.empty();
        done(found->formats);
      });
}

}  // namespace corkmux

#include "loader.h"

#include "constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

Loader::Loader(Loop& loop, StateClient& state, Term& term, Cluster& book, JobFeed& feed, Hooks hooks)
    : Actor(loop),
      state_(state),
      term_(term),
      book_(book),
      feed_(feed),
      hooks_(std::move(hooks)),
      timer_(loop) {}

void Loader::start() {
  feed_.load([this] { load_records(kRecords, ""); });
}

void Loader::load_records(const std::string& prefix, const std::string& after) {
  state_.read_all(prefix, after, term_.guard([this](codec::KeyValue& kv) {
    auto loaded = book_.load_record(kv.key, kv.value, kv.version);
    if (loaded == Cluster::Loaded::Garbage) garbage_.push_back(kv.key);
    // Guards against starting a second time what a newer version's record says is running.
    if (loaded == Cluster::Loaded::Unknown) too_new_ = kv.key;
  }),
                  term_.guard([this, prefix](const ReadEnd& end) {
                    if (!too_new_.empty()) return hooks_.too_new(too_new_);
                    if (!end.ok())
                      return timer_.once(c::kRetryPause,
                                         [this, prefix, last = end.last] { load_records(prefix, last); });
                    if (prefix == kRecords) return load_records(kShards, "");
                    book_.loaded();
                    hooks_.loaded(std::move(garbage_));
                  }));
}

}  // namespace corkmux

#include "state_loader.h"

#include "constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

StateLoader::StateLoader(Loop& loop, StateClient& state, Term& term, Scheduler& scheduler,
                         JobWatcher& job_watcher, Callbacks callbacks)
    : Actor(loop),
      state_(state),
      term_(term),
      scheduler_(scheduler),
      job_watcher_(job_watcher),
      callbacks_(std::move(callbacks)),
      timer_(loop) {}

void StateLoader::start() {
  job_watcher_.load([this] { load_records(kTaskRecordsV2, ""); });
}

void StateLoader::load_records(const std::string& prefix, const std::string& after) {
  state_.read_all(prefix, after, term_.guard([this](codec::KeyValue& kv) {
    auto loaded = scheduler_.load_record(kv.key, kv.value, kv.revision);
    if (loaded == Scheduler::Loaded::Garbage) garbage_.push_back(kv.key);
    // Guards against starting a second time what a newer version's record says is running.
    if (loaded == Scheduler::Loaded::Unknown) too_new_ = kv.key;
  }),
                  term_.guard([this, prefix](const ReadEnd& end) {
                    if (!too_new_.empty()) return callbacks_.too_new(too_new_);
                    if (!end.ok())
                      return timer_.once(c::kRetryPause,
                                         [this, prefix, last = end.last] { load_records(prefix, last); });
                    if (prefix == kTaskRecordsV2) return load_records(kTaskRecordsV1, "");
                    scheduler_.loaded();
                    callbacks_.loaded(std::move(garbage_));
                  }));
}

}  // namespace corkmux

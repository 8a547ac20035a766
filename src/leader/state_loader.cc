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
      retry_timer_(loop) {}

void StateLoader::start() {
  job_watcher_.load([this] { load_records(kTaskRecordsV2, ""); });
}

void StateLoader::load_records(const std::string& prefix, const std::string& after) {
  state_.read_all(prefix, after, term_.guard([this](const codec::KeyValue& stored) { load_record(stored); }),
                  term_.guard([this, prefix](const ReadEnd& end) { records_read(prefix, end); }));
}

void StateLoader::load_record(const codec::KeyValue& stored) {
  auto loaded = scheduler_.load_record(stored.key, stored.value, stored.revision);
  if (loaded == Scheduler::Loaded::Garbage) garbage_.push_back(stored.key);
  // Guards against starting tasks a second time that are running according to a newer version's record.
  if (loaded == Scheduler::Loaded::TooNew) too_new_ = stored.key;
}

void StateLoader::records_read(const std::string& prefix, const ReadEnd& end) {
  if (!too_new_.empty()) return callbacks_.too_new(too_new_);
  if (!end.ok()) {
    auto retry = [this, prefix, last = end.last] { load_records(prefix, last); };
    return retry_timer_.once(c::kRetryPause, std::move(retry));
  }
  if (prefix == kTaskRecordsV2) return load_records(kTaskRecordsV1, "");
  scheduler_.records_loaded();
  callbacks_.loaded(std::move(garbage_));
}

}  // namespace corkmux

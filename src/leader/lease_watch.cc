#include "lease_watch.h"

#include <algorithm>
#include <memory>

#include "constants.h"
#include "keeper_record.h"
#include "planted.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

LeaseWatch::LeaseWatch(Loop& loop, const Settings& settings, StateClient& state, Term& term, Cluster& book,
                       TermHooks hooks)
    : Actor(loop),
      span_(keeper_span(settings.lease_s)),
      state_(state),
      term_(term),
      book_(book),
      hooks_(std::move(hooks)) {}

void LeaseWatch::tick() {
  auto lapsed = book_.lapsed(steady_now());
  bool look = book_.any_silent() && steady_now() - asked_at_ > c::kKeepersEvery;
  if ((lapsed.empty() && !look) || asking_) return;
  asked_at_ = steady_now();
  // Guards against a second start: the read begins after the leases are over, so a keeper whose record it
  // does not show cannot have answered in time. It goes to the last page: a keeper on a page that was not
  // read would look like none.
  asking_ = true;
  auto kept = std::make_shared<std::map<std::string, double>>();
  state_.read_all(kKeeperPrefix, "", term_.guard([this, kept](codec::KeyValue& kv) {
    double now = steady_now();
    auto& [stamp, first_seen] = records_[kv.key];
    if (stamp != kv.version) stamp = kv.version, first_seen = now;
    for (const auto& name : machines_in(kv.value))
      (*kept)[name] = std::max((*kept)[name], first_seen + span_);
  }),
                  term_.guard([this, kept, lapsed](const ReadEnd& end) {
                    asking_ = false;
                    if (!end.ok()) return;
                    double now = steady_now();
                    if (!planted("keepers are not asked"))
                      for (const auto& [name, until] : *kept) book_.kept(name, until);
                    auto still = book_.lapsed(now);
                    for (const auto& name : lapsed)
                      if (std::find(still.begin(), still.end(), name) != still.end())
                        book_.lease_over(name, now);
                    hooks_.changed();
                  }));
}

}  // namespace corkmux

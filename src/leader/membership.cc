#include "membership.h"

#include <memory>

#include "cluster.h"
#include "constants.h"
#include "store_keys.h"

namespace corkmux {
namespace c = constants;

Membership::Membership(Loop& loop, const Settings& settings, StateClient& state)
    : Actor(loop), settings_(settings), state_(state), timer_(loop) {}

void Membership::declare() {
  auto again = [this] { timer_.once(c::kFormsEvery, [this] { declare(); }); };
  std::string key = kForms + settings_.label;
  state_.get(key, [this, key, again](StateReply reply) {
    if (reply.status == StateStatus::Missing) {
      ClusterConfig config;
      config.value_kb = settings_.value_kb;
      return state_.txn({{key, 0}},
                        {{key, codec::Json{{"f", c::kForm}, {"per", config.tasks_per_shard()}}, 0}},
                        [again](StateReply done) {
                          if (!done.ok()) again();
                        });
    }
    if (!reply.ok()) again();
  });
}

void Membership::read(std::function<void(std::optional<Forms>)> done) {
  struct Found {
    std::set<std::string> old;
    std::uint64_t first = ~0ull;
    Forms forms;
  };
  auto found = std::make_shared<Found>();
  found->old.insert(settings_.label);
  for (const auto& p : settings_.peers) found->old.insert(p.label);
  state_.read_all(
      kForms, "",
      [found](const codec::KeyValue& kv) {
        if (auto label = reader_of_our_form(kv)) found->old.erase(*label);
        // How records of the first form were cut is what the first controller of this version found in its
        // settings; these may have changed since.
        if (int per = kv.value.value("per", 0); per > 0 && kv.version < found->first)
          found->first = kv.version, found->forms.first_cut = per;
      },
      [found, done = std::move(done)](const ReadEnd& end) {
        if (!end.ok()) return done(std::nullopt);
        found->forms.all_new = found->old.empty();
        done(found->forms);
      });
}

}  // namespace corkmux

#include "object_listing.h"

#include <algorithm>
#include <utility>

#include "codec.h"
#include "kube_constants.h"

namespace corkmux::kube {

void ObjectListing::start(std::string after, std::size_t limit, Callbacks callbacks) {
  last_key = std::move(after);
  limit_ = limit;
  callbacks_ = std::move(callbacks);
  read_page();
}

void ObjectListing::read_page() {
  auto most = static_cast<int>(std::min(limit_, constants::kKubePage));
  state_.list(objects_prefix(filter.space), last_key, most,
              [self = shared_from_this()](StateReply reply) { self->on_page(std::move(reply)); });
}

void ObjectListing::on_page(StateReply reply) {
  if (!reply.ok()) return fail();
  auto page = codec::parse_page(reply.body);
  if (!revision) revision = page.revision;
  more = page.more;
  for (std::size_t i = 0; i < page.items.size(); ++i) {
    auto& record = page.items[i];
    last_key = record.key;
    ++records_seen_;
    auto stored = from_record(record.value);
    if (!stored || !selects_object(*stored)) continue;
    kept_.push_back({std::move(*stored), record.revision});
    if (kept_.size() < limit_) continue;
    more |= i + 1 < page.items.size();
    break;
  }
  bool enough = kept_.size() == limit_ || records_seen_ >= constants::kKubeScan;
  if (more && !enough) return read_page();
  objects.resize(kept_.size());
  read_more_objects();
}

bool ObjectListing::selects_object(const Stored& stored) const {
  if (!selects(filter.labels, labels_of(stored))) return false;
  return filter.only.empty() || stored.metadata.value("name", "") == filter.only;
}

void ObjectListing::read_more_objects() {
  if (finished_) return;
  if (next_ == kept_.size() && reads_in_flight_ == 0) {
    finished_ = true;
    return std::exchange(callbacks_, {}).done(*this);
  }
  while (next_ < kept_.size() && reads_in_flight_ < constants::kKubeReads) {
    std::size_t index = next_++;
    ++reads_in_flight_;
    reader_.read_progress(kept_[index].stored, kept_[index].revision,
                          [self = shared_from_this(), index](std::optional<FoundObject> found) {
                            self->on_object(index, std::move(found));
                          });
  }
}

void ObjectListing::on_object(std::size_t index, std::optional<FoundObject> found) {
  --reads_in_flight_;
  if (!found) return fail();
  objects[index] = job_object(found->stored, filter.space, found->progress);
  read_more_objects();
}

void ObjectListing::fail() {
  if (std::exchange(finished_, true)) return;
  std::exchange(callbacks_, {}).unavailable();
}

}  // namespace corkmux::kube

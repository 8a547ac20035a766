#include "object_listing.h"

#include <algorithm>
#include <utility>

#include "codec.h"
#include "object_keys.h"

namespace corkmux::kube {

void ObjectListing::start(std::string after, std::size_t limit, Callbacks callbacks) {
  page_.last_key = std::move(after);
  limit_ = limit;
  callbacks_ = std::move(callbacks);
  read_page();
}

void ObjectListing::read_page() {
  auto max_records = static_cast<int>(std::min(limit_, kMaxPageObjects));
  state_.list(objects_prefix(filter_.namespace_name), page_.last_key, max_records,
              [self = shared_from_this()](StateReply reply) { self->on_page(std::move(reply)); });
}

void ObjectListing::on_page(StateReply reply) {
  if (!reply.ok()) return fail();
  auto records = codec::parse_page(reply.body);
  if (!page_.revision) page_.revision = records.revision;
  page_.more = records.more;
  for (std::size_t i = 0; i < records.items.size(); ++i) {
    auto& record = records.items[i];
    page_.last_key = record.key;
    ++records_scanned_;
    auto stored = parse_record(record.value);
    if (!stored || !selects(*stored)) continue;
    selected_.push_back({std::move(*stored), record.revision});
    if (selected_.size() < limit_) continue;
    page_.more |= i + 1 < records.items.size();
    break;
  }
  bool enough = selected_.size() == limit_ || records_scanned_ >= kMaxScannedObjects;
  if (page_.more && !enough) return read_page();
  page_.objects.resize(selected_.size());
  read_more_objects();
}

bool ObjectListing::selects(const StoredObject& stored) const {
  return filter_.selects(name_of(stored), labels_of(stored));
}

void ObjectListing::read_more_objects() {
  if (finished_) return;
  if (next_read_ == selected_.size() && reads_in_flight_ == 0) {
    finished_ = true;
    return std::exchange(callbacks_, {}).done(page_);
  }
  while (next_read_ < selected_.size() && reads_in_flight_ < kConcurrentReads) {
    std::size_t index = next_read_++;
    ++reads_in_flight_;
    reader_.read_progress(selected_[index].stored, selected_[index].revision,
                          [self = shared_from_this(), index](const std::optional<FoundObject>& found) {
                            self->on_object(index, found);
                          });
  }
}

void ObjectListing::on_object(std::size_t index, const std::optional<FoundObject>& found) {
  --reads_in_flight_;
  if (!found) return fail();
  page_.objects[index] = job_object(found->stored, filter_.namespace_name, found->progress);
  read_more_objects();
}

void ObjectListing::fail() {
  if (std::exchange(finished_, true)) return;
  std::exchange(callbacks_, {}).unavailable();
}

}  // namespace corkmux::kube

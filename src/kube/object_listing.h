// Reads one page of a list of objects: page after page of records from where the last answer ended, those
// that the filter selects; then how each of their jobs stands, a few at a time.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "object_filter.h"
#include "object_reader.h"

namespace corkmux::kube {

inline constexpr std::size_t kMaxPageObjects = 500;  // in one answer to a list, whatever is asked for
inline constexpr int kMaxScannedObjects = 5000;      // looked at for one answer to a list
inline constexpr int kConcurrentReads = 8;           // of the state store for one list

/// What a list is answered with.
struct ObjectPage {
  std::vector<Json> objects;
  std::string last_key;        // of the last record looked at
  std::uint64_t revision = 0;  // of the store when the first record was read
  bool more = false;           // whether records follow the last key
};

/// One reading of a page; it keeps itself alive until a callback has run.
class ObjectListing : public std::enable_shared_from_this<ObjectListing> {
 public:
  struct Callbacks {
    std::function<void(const ObjectPage&)> done;
    std::function<void()> unavailable;  // the store cannot be read
  };
  ObjectListing(StateClient& state, ObjectReader& reader, ObjectFilter filter)
      : state_(state), reader_(reader), filter_(std::move(filter)) {}
  /// Exactly one of the callbacks runs, once. `after`: the key that the last page ended with, empty for the
  /// first page; `limit`: objects at most.
  void start(std::string after, std::size_t limit, Callbacks callbacks);

 private:
  struct SelectedObject {
    StoredObject stored;
    std::uint64_t revision = 0;
  };
  void read_page();
  void on_page(StateReply reply);
  bool selects(const StoredObject& stored) const;
  /// Reads how jobs stand, as many at a time as may be under way.
  void read_more_objects();
  void on_object(std::size_t index, const std::optional<FoundObject>& found);
  void fail();

  StateClient& state_;
  ObjectReader& reader_;
  ObjectFilter filter_;
  Callbacks callbacks_;
  std::size_t limit_ = 0;
  ObjectPage page_;
  std::vector<SelectedObject> selected_;
  int records_seen_ = 0;
  int reads_in_flight_ = 0;
  std::size_t next_read_ = 0;  // index of the selected object that is read next
  bool finished_ = false;
};

}  // namespace corkmux::kube

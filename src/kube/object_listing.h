// Reads one page of a list of objects: page after page of records from where the last answer ended, those
// that the selectors keep; then how each of their jobs stands, a few at a time.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "feed.h"
#include "object_reader.h"

namespace corkmux::kube {

class ObjectListing : public std::enable_shared_from_this<ObjectListing> {
 public:
  struct Callbacks {
    std::function<void(ObjectListing&)> done;
    std::function<void()> unavailable;  // the store cannot be read
  };
  ObjectListing(StateClient& state, ObjectReader& reader, Feed::Watch filter)
      : filter(std::move(filter)), state_(state), reader_(reader) {}
  /// Exactly one of the callbacks runs, once; the listing lives until then. `after`: the key that the last
  /// page ended with, empty for the first page.
  void start(std::string after, std::size_t limit, Callbacks callbacks);

  Feed::Watch filter;
  // The result:
  std::vector<Json> objects;
  std::string last_key;  // of the last record looked at
  std::uint64_t revision = 0;
  bool more = false;

 private:
  struct Kept {
    Stored stored;
    std::uint64_t revision = 0;
  };
  void read_page();
  void on_page(StateReply reply);
  bool selects_object(const Stored& stored) const;
  /// Reads how jobs stand, as many at a time as may be under way.
  void read_more_objects();
  void on_object(std::size_t index, std::optional<FoundObject> found);
  void fail();

  StateClient& state_;
  ObjectReader& reader_;
  Callbacks callbacks_;
  std::size_t limit_ = 0;  // objects
  std::vector<Kept> kept_;
  int records_seen_ = 0;
  int reads_in_flight_ = 0;
  std::size_t next_ = 0;  // of those kept, to be read
  bool finished_ = false;
};

}  // namespace corkmux::kube

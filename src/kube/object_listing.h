// Reads one page of a list of objects. First reads records page by page, from the key at which the previous
// response ended, and keeps those that the filter selects; then reads the progress of their jobs, a few at a
// time.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "object_filter.h"
#include "object_reader.h"

namespace corkmux::kube {

inline constexpr std::size_t kMaxPageObjects = 500;  // in one list response, even if the client requests more
inline constexpr int kMaxScannedObjects = 5000;      // records scanned for one list response
inline constexpr int kConcurrentReads = 8;           // concurrent reads of the state store per list

/// The content of one list response.
struct ObjectPage {
  std::vector<Json> objects;
  std::string last_key;        // of the last record scanned
  std::uint64_t revision = 0;  // of the store when the first record was read
  bool more = false;           // whether records follow the last key
};

/// The read of one page. The object keeps itself alive until a callback has run. The state client and the
/// reader must outlive it.
class ObjectListing : public std::enable_shared_from_this<ObjectListing> {
 public:
  struct Callbacks {
    std::function<void(const ObjectPage&)> done;
    std::function<void()> unavailable;  // the state store cannot be read
  };
  ObjectListing(StateClient& state, ObjectReader& reader, ObjectFilter filter)
      : state_(state), reader_(reader), filter_(std::move(filter)) {}
  /// Starts the read. Exactly one of the callbacks runs, once. `after` is the last key of the previous page,
  /// empty for the first page; `limit` is the maximum number of objects.
  void start(std::string after, std::size_t limit, Callbacks callbacks);

 private:
  struct SelectedObject {
    StoredObject stored;
    std::uint64_t revision = 0;
  };
  void read_page();
  void on_page(StateReply reply);
  bool selects(const StoredObject& stored) const;
  /// Starts reads of job progress until kConcurrentReads are in flight. Runs the callback once all are read.
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
  int records_scanned_ = 0;
  int reads_in_flight_ = 0;
  std::size_t next_read_ = 0;  // index of the selected object that is read next
  bool finished_ = false;
};

}  // namespace corkmux::kube

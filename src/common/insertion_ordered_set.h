// A set that remembers the order of insertion; every operation on one key takes logarithmic time.
#pragma once
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>
#include <vector>

namespace corkmux {

template <typename Key>
class InsertionOrderedSet {
 public:
  /// Adds the key as the last one. Returns false if the set has it already; its position then stays.
  bool insert(const Key& key) {
    if (!position_of_.try_emplace(key, next_position_).second) return false;
    by_position_.emplace(next_position_, key);
    ++next_position_;
    return true;
  }
  /// Returns whether the set had the key.
  bool erase(const Key& key) {
    auto found = position_of_.find(key);
    if (found == position_of_.end()) return false;
    by_position_.erase(found->second);
    position_of_.erase(found);
    return true;
  }
  bool contains(const Key& key) const { return position_of_.contains(key); }
  bool empty() const { return position_of_.empty(); }
  std::size_t size() const { return position_of_.size(); }
  /// The keys in the order of insertion, by an ascending position.
  const std::map<std::uint64_t, Key>& by_position() const { return by_position_; }
  /// Removes the first keys, `most` at most, and returns them in the order of insertion.
  std::vector<Key> take(std::size_t most = std::numeric_limits<std::size_t>::max()) {
    std::vector<Key> out;
    while (out.size() < most && !by_position_.empty()) {
      auto first = by_position_.begin();
      position_of_.erase(first->second);
      out.push_back(std::move(first->second));
      by_position_.erase(first);
    }
    return out;
  }

 private:
  std::map<std::uint64_t, Key> by_position_;
  std::map<Key, std::uint64_t> position_of_;
  std::uint64_t next_position_ = 0;
};

}  // namespace corkmux

// A machine's image cache: images are fetched when a task needs them, concurrent fetches share the machine's
// rate, and the least recently used image is evicted first when the cache is full.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corkmux::simulation {

/// The images of one machine. The owner polls fetched_by() and completes each fetch.
class ImageCache {
 public:
  ImageCache(double fetch_gb_per_s, double capacity_gb)
      : fetch_gb_per_s_(fetch_gb_per_s), capacity_gb_(capacity_gb) {}
  /// Requests an image for a task: true if it is cached, else its fetch is now in progress.
  bool request(const std::string& name, double size_gb);
  /// Images whose fetch ends by `time` (seconds of the steady clock), ordered by name.
  std::vector<std::string> fetched_by(double time) const;
  /// Marks a fetched image as cached.
  void complete_fetch(const std::string& name);
  /// Removes an image that no task waits for any more.
  void drop(const std::string& name) { images_.erase(name); }
  /// Evicts the least recently used images that are not in use until the cache fits its capacity.
  void evict(const std::function<bool(const std::string& name)>& is_in_use);
  /// When the next fetch ends, in seconds of the steady clock; kNever without a fetch in progress.
  double next_fetch_end() const;

 private:
  struct Image {
    bool cached = false;
    double size_gb = 0;
    double last_used = 0;
    std::optional<double> fetched_at;  // when its fetch ends; empty: it is not being fetched
  };
  double fetch_gb_per_s_;
  double capacity_gb_;
  std::map<std::string, Image> images_;
};

}  // namespace corkmux::simulation

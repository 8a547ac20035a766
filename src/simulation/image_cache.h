// A machine's images: fetched when a task needs one, several at a time share the machine's rate, and the one
// that was used longest ago goes first when the cache is full.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corkmux::simulation {

class ImageCache {
 public:
  ImageCache(double fetch_gb_per_s, double capacity_gb)
      : fetch_gb_per_s_(fetch_gb_per_s), capacity_gb_(capacity_gb) {}
  /// A task needs it: true if it is there, else it is being fetched from now on.
  bool request(const std::string& name, double size_gb);
  /// Images whose fetch is over by then, s of the steady clock, in order of their names.
  std::vector<std::string> fetched_by(double time) const;
  /// It is there now.
  void complete_fetch(const std::string& name);
  /// It is fetched for nobody any more.
  void drop(const std::string& name) { images_.erase(name); }
  /// Makes the cache fit, as far as images are not in use.
  void evict(const std::function<bool(const std::string& name)>& is_in_use);
  /// s of the steady clock, kNever without any fetch.
  double next_fetch_end() const;

 private:
  struct Image {
    bool cached = false;
    double size_gb = 0;
    double last_used = 0;
    std::optional<double> fetched_at;  // none: it is not being fetched
  };
  double fetch_gb_per_s_;
  double capacity_gb_;
  std::map<std::string, Image> images_;
};

}  // namespace corkmux::simulation

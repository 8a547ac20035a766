#include "image_cache.h"

#include <algorithm>

#include "event_loop.h"
#include "time_constants.h"

namespace corkmux::simulation {

bool ImageCache::request(const std::string& name, double size_gb) {
  Image& image = images_[name];
  image.last_used = steady_now();
  if (image.cached) return true;
  if (image.fetched_at) return false;
  image.size_gb = size_gb;
  const auto fetching = std::count_if(images_.begin(), images_.end(),
                                      [](const auto& entry) { return entry.second.fetched_at.has_value(); });
  const double sharing = 1 + static_cast<double>(fetching);
  image.fetched_at = steady_now() + size_gb / fetch_gb_per_s_ * sharing;
  return false;
}

std::vector<std::string> ImageCache::fetched_by(double time) const {
  std::vector<std::string> names;
  for (const auto& [name, image] : images_)
    if (image.fetched_at && *image.fetched_at <= time) names.push_back(name);
  return names;
}

void ImageCache::complete_fetch(const std::string& name) {
  Image& image = images_.at(name);
  image.cached = true;
  image.fetched_at.reset();
  image.last_used = steady_now();
}

void ImageCache::evict(const std::function<bool(const std::string& name)>& is_in_use) {
  for (;;) {
    double total_gb = 0;
    auto oldest = images_.end();
    for (auto entry = images_.begin(); entry != images_.end(); ++entry) {
      const Image& image = entry->second;
      if (!image.cached) continue;
      total_gb += image.size_gb;
      const bool is_older = oldest == images_.end() || image.last_used < oldest->second.last_used;
      if (is_older && !is_in_use(entry->first)) oldest = entry;
    }
    if (total_gb <= capacity_gb_ || oldest == images_.end()) return;
    images_.erase(oldest);
  }
}

double ImageCache::next_fetch_end() const {
  double end = kNever;
  for (const auto& [name, image] : images_)
    if (image.fetched_at) end = std::min(end, *image.fetched_at);
  return end;
}

}  // namespace corkmux::simulation

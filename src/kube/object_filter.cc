#include "object_filter.h"

namespace corkmux::kube {

bool ObjectFilter::selects(const std::string& object_name,
                           const std::map<std::string, std::string>& object_labels) const {
  if (name && *name != object_name) return false;
  return kube::selects(labels, object_labels);
}

}  // namespace corkmux::kube

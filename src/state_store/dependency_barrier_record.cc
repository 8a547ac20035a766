#include "dependency_barrier_record.h"

#include <algorithm>

#include "event_loop.h"
#include "wire_fields.h"

namespace corkmux {

codec::Json dependency_barrier_to_json(double barrier_at) {
  return codec::Json{{"t", wall_now() - (steady_now() - barrier_at)}};
}

double parse_dependency_barrier(const codec::Json& record) {
  return steady_now() - std::max(0.0, wall_now() - codec::number(record, "t"));
}

}  // namespace corkmux

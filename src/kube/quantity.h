// Quantities as the Kubernetes API writes them (API conventions, "Quantities"): `500m`, `2Gi`, `1e3`.
#pragma once
#include <optional>
#include <string_view>

namespace corkmux::kube {

/// The amount in its base unit (CPUs, bytes, pieces). nullopt: not a quantity, or negative.
std::optional<double> parse_quantity(std::string_view text);

}  // namespace corkmux::kube

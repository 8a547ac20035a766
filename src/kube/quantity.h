// Parses quantities of the Kubernetes API (API conventions, "Quantities"): `500m`, `2Gi`, `1e3`.
#pragma once
#include <optional>
#include <string_view>

namespace corkmux::kube {

/// Returns the amount in its base unit (CPUs, bytes, devices). nullopt if the text is not a quantity or is
/// negative.
std::optional<double> parse_quantity(std::string_view text);

}  // namespace corkmux::kube

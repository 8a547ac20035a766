// Mutations: defects that tests enable by name, to verify that the simulation detects them. In the deployed
// programs mutation_enabled() is constant false, and the code that depends on it is not compiled in.
#pragma once
#include <string>
#include <string_view>

namespace corkmux {

#ifdef CORKMUX_MUTATIONS
inline std::string enabled_mutation;
inline bool mutation_enabled(std::string_view name) { return name == enabled_mutation; }
#else
constexpr bool mutation_enabled(std::string_view) { return false; }
#endif

}  // namespace corkmux

// Mutations: defects that tests switch on by name, to show that a simulation finds them. In the programs
// mutation_enabled() is a constant false, and the code that depends on it is not compiled in.
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

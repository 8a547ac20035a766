// Defects that tests plant, to show that a world finds them. In the program there are none:
// mutation_enabled() is false while compiling, and what depends on it is not there.
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

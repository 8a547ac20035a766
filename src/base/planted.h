// Defects that tests plant, to show that a world finds them. In the program there are none: planted() is
// false while compiling, and what depends on it is not there.
#pragma once
#include <string>
#include <string_view>

namespace corkmux {

#ifdef CORKMUX_PLANTED
inline std::string planted_defect;
inline bool planted(std::string_view name) { return name == planted_defect; }
#else
constexpr bool planted(std::string_view) { return false; }
#endif

}  // namespace corkmux

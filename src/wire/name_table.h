// Tables that map enum values to the protocol's names, for the codecs of this folder only.
#pragma once
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace corkmux::codec {

template <typename Enum>
struct NamedValue {
  const char* name;
  Enum value;
};
template <typename Enum>
using NameTable = std::vector<NamedValue<Enum>>;

template <typename Enum>
std::optional<Enum> from_name(const NameTable<Enum>& table, std::string_view name) {
  for (const auto& entry : table)
    if (name == entry.name) return entry.value;
  return std::nullopt;
}

/// Returns an empty string if the value has no name.
template <typename Enum>
const char* to_name(const NameTable<Enum>& table, Enum value) {
  for (const auto& entry : table)
    if (entry.value == value) return entry.name;
  return "";
}

/// The index of a name in its table, which stands for the name in messages between controllers.
template <typename Enum>
std::optional<int> index_of(const NameTable<Enum>& table, std::string_view name) {
  for (std::size_t i = 0; i < table.size(); ++i)
    if (name == table[i].name) return static_cast<int>(i);
  return std::nullopt;
}

}  // namespace corkmux::codec

// Conversion between enum values and their names. Each enum has one constexpr
// table that logs, JSON and YAML all use, so a value has the same spelling
// everywhere. The names are part of these formats: keep them when an enumerator
// is renamed.

#ifndef TRAY_BASE_ENUM_NAMES_H_
#define TRAY_BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace baobabtray {

// (value, name) pairs of one enum.
template <typename E, size_t N>
using name_table = std::array<std::pair<E, std::string_view>, N>;

// Returns the name of `value`, or "?" if it is not in the table.
template <typename E, size_t N>
constexpr std::string_view NameOf(const name_table<E, N>& table, E value) {
  for (const auto& [candidate, name] : table) {
    if (candidate == value) return name;
  }
  return "?";
}

// Returns the value named `name`, or nullopt if there is none.
template <typename E, size_t N>
constexpr std::optional<E> ValueOf(const name_table<E, N>& table,
                                   std::string_view name) {
  for (const auto& [value, candidate] : table) {
    if (candidate == name) return value;
  }
  return std::nullopt;
}

}  // namespace baobabtray

#endif  // TRAY_BASE_ENUM_NAMES_H_

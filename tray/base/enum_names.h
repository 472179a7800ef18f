// Tables of names for enums. Each enum declares one constexpr table; logs, JSON
// and YAML all go through it, so a value has one spelling everywhere.

#ifndef TRAY_BASE_ENUM_NAMES_H_
#define TRAY_BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace baobabtray {

// A table of (value, name) pairs for one enum.
template <typename E, size_t N>
using name_table = std::array<std::pair<E, std::string_view>, N>;

// Returns the name of `value`, or "?" when the table lacks it.
template <typename E, size_t N>
constexpr std::string_view NameOf(const name_table<E, N>& table, E value) {
  for (const auto& [candidate, name] : table) {
    if (candidate == value) return name;
  }
  return "?";
}

// Returns the value called `name`, or nothing.
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

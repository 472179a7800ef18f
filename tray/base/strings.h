// Conversions between the standard library's strings and Abseil's, which are
// different types in Debian's build of Abseil.

#ifndef TRAY_BASE_STRINGS_H_
#define TRAY_BASE_STRINGS_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace baobabtray {

inline absl::string_view ToAbsl(std::string_view s) {
  return {s.data(), s.size()};
}

// The message of a status, to be formatted.
inline std::string MessageOf(const absl::Status& status) {
  return std::string(status.message());
}

// Reads a whole decimal number, or nothing if `word` is anything else.
template <typename T>
std::optional<T> ParseNumber(std::string_view word) {
  T value{};
  auto [end, error] =
      std::from_chars(word.data(), word.data() + word.size(), value);
  if (error != std::errc() || end != word.data() + word.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace baobabtray

#endif  // TRAY_BASE_STRINGS_H_

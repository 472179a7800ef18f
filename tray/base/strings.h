// Conversions between std::string_view and absl::string_view, which are
// distinct types in Debian's build of Abseil, and number parsing.

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

// The message of `status` as a std::string, which fmt can format.
inline std::string MessageOf(const absl::Status& status) {
  return std::string(status.message());
}

// Parses `text` as a decimal number. Returns nullopt unless all of it is used.
template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace baobabtray

#endif  // TRAY_BASE_STRINGS_H_

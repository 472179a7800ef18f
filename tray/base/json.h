// Strict reads of JSON that another process wrote.
//
//   json root = ParseJson(text);                  // discarded if not usable
//   s.slots = IntegerOf<int>(root.at("slots"), "slots", 1, kMaxSlots);
//   s.service = StringOf(root.at("service"), "service");
//
// nlohmann's own conversions take a boolean for a number, drop fractions, wrap
// numbers that do not fit, and have undefined behaviour for large ones. The
// functions below throw std::invalid_argument instead, with the field's name.
// `at` throws json::exception for a missing field; decoders catch
// std::exception.

#ifndef TRAY_BASE_JSON_H_
#define TRAY_BASE_JSON_H_

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace baobabtray {

// Levels of arrays and objects. Parsing takes memory for each level.
constexpr int kMaxJsonDepth = 32;

// Whether `text` has more levels of brackets than `depth`, not counting those
// in strings. `text` need not be well-formed.
bool IsNestedDeeper(std::string_view text, int depth);

// Returns a discarded value if `text` is malformed or nested deeper than
// kMaxJsonDepth.
nlohmann::json ParseJson(std::string_view text);

[[noreturn]] void ThrowInvalidField(std::string_view name,
                                    std::string_view expected);
[[noreturn]] void ThrowOutOfRange(std::string_view name, double min,
                                  double max);

// A whole number from `min` to `max`, which may be written with a fraction of
// zero.
template <typename T>
T IntegerOf(const nlohmann::json& value, std::string_view name,
            T min = std::numeric_limits<T>::min(),
            T max = std::numeric_limits<T>::max()) {
  static_assert(std::is_integral_v<T> && !std::is_same_v<T, bool>);
  auto checked = [&](auto number) {
    if (std::in_range<T>(number)) {
      auto result = static_cast<T>(number);
      if (result >= min && result <= max) return result;
    }
    ThrowOutOfRange(name, static_cast<double>(min), static_cast<double>(max));
  };
  if (value.is_number_unsigned()) return checked(value.get<uint64_t>());
  if (value.is_number_integer()) return checked(value.get<int64_t>());
  // Larger doubles are not exact.
  constexpr double kMaxExact = 1LL << 53;
  if (value.is_number_float()) {
    auto number = value.get<double>();
    if (std::trunc(number) == number && std::abs(number) <= kMaxExact)
      return checked(static_cast<int64_t>(number));
  }
  ThrowInvalidField(name, "a whole number");
}

double NumberOf(const nlohmann::json& value, std::string_view name, double min,
                double max);
std::string StringOf(const nlohmann::json& value, std::string_view name);
bool BoolOf(const nlohmann::json& value, std::string_view name);
// Returns `value`.
const nlohmann::json& ArrayOf(const nlohmann::json& value,
                              std::string_view name);

// A field that may be absent: null if it is. `object` must be an object.
const nlohmann::json* FindField(const nlohmann::json& object,
                                std::string_view name);

}  // namespace baobabtray

#endif  // TRAY_BASE_JSON_H_

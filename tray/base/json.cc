// Implementation of strict JSON reads. See json.h.

#include "tray/base/json.h"

#include <fmt/format.h>

#include <stdexcept>

namespace baobabtray {

using nlohmann::json;

bool IsNestedDeeper(std::string_view text, int depth) {
  int level = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++level > depth) return true;
    } else if (c == ']' || c == '}') {
      --level;
    }
  }
  return false;
}

json ParseJson(std::string_view text) {
  if (IsNestedDeeper(text, kMaxJsonDepth)) {
    return json(json::value_t::discarded);
  }
  return json::parse(text, nullptr, false);
}

void ThrowInvalidField(std::string_view name, std::string_view expected) {
  throw std::invalid_argument(fmt::format("'{}' is not {}", name, expected));
}

void ThrowOutOfRange(std::string_view name, double min, double max) {
  throw std::invalid_argument(
      fmt::format("'{}' is not from {} to {}", name, min, max));
}

double NumberOf(const json& value, std::string_view name, double min,
                double max) {
  if (!value.is_number()) ThrowInvalidField(name, "a number");
  auto number = value.get<double>();
  if (!(number >= min && number <= max)) ThrowOutOfRange(name, min, max);
  return number;
}

std::string StringOf(const json& value, std::string_view name) {
  if (!value.is_string()) ThrowInvalidField(name, "a string");
  return value.get<std::string>();
}

bool BoolOf(const json& value, std::string_view name) {
  if (!value.is_boolean()) ThrowInvalidField(name, "true or false");
  return value.get<bool>();
}

const json& ArrayOf(const json& value, std::string_view name) {
  if (!value.is_array()) ThrowInvalidField(name, "an array");
  return value;
}

const json* FindField(const json& object, std::string_view name) {
  auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

}  // namespace baobabtray

// JSON documents with one odd field, for tests of decoders: deeply nested, of
// another type, a fraction where a whole number is due, or out of range.
//
//   cr_expect_eq(AcceptedOdd(good, {{"/slots", field_type::kInteger}},
//                            [](const std::string& text) {
//                              return Decode(text).ok();
//                            }),
//                "");

#ifndef TRAY_TESTING_ODD_JSON_H_
#define TRAY_TESTING_ODD_JSON_H_

#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace baobabtray {

enum class field_type { kInteger, kNumber, kString, kBool, kArray };

// A field of a document that has to be of this type.
struct typed_field {
  std::string pointer;  // JSON pointer
  field_type type = field_type::kString;
};

// Half a megabyte of brackets, as deep as a value of the store can be nested.
inline std::string DeepJson() {
  constexpr size_t kDepth = 250'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

// Values that no field of this type can have, as JSON texts.
inline std::vector<std::string> OddFor(field_type type) {
  std::vector<std::string> odd = {"null", "{}", DeepJson()};
  bool is_number = type == field_type::kInteger || type == field_type::kNumber;
  if (is_number) {
    odd.insert(odd.end(), {"1e300", "-1e300", "1e999"});
  } else {
    odd.insert(odd.end(), {"7", "-0.5"});
  }
  if (type == field_type::kInteger) {
    odd.insert(odd.end(),
               {"1.5", "18446744073709551616", "-9223372036854775809"});
  }
  if (type != field_type::kString) odd.emplace_back("\"1\"");
  if (type != field_type::kBool) odd.emplace_back("true");
  if (type != field_type::kArray) odd.emplace_back("[]");
  return odd;
}

// `document` with the value at `pointer` replaced.
inline std::string WithField(const std::string& document,
                             const std::string& pointer,
                             const std::string& value) {
  constexpr char kMark[] = "\"@odd@\"";
  nlohmann::json root = nlohmann::json::parse(document);
  root.at(nlohmann::json::json_pointer(pointer)) = "@odd@";
  std::string text = root.dump();
  return text.replace(text.find(kMark), sizeof(kMark) - 1, value);
}

// Puts each odd value into each field in turn. Returns the fields and values
// with which `accepts` returned true, or "". Prints them too.
inline std::string AcceptedOdd(
    const std::string& document, const std::vector<typed_field>& fields,
    const std::function<bool(const std::string& text)>& accepts) {
  constexpr size_t kShown = 40;
  std::string accepted;
  for (const typed_field& f : fields) {
    for (const std::string& odd : OddFor(f.type)) {
      if (accepts(WithField(document, f.pointer, odd)))
        accepted += f.pointer + ": " + odd.substr(0, kShown) + "\n";
    }
  }
  if (!accepted.empty()) std::cerr << accepted;
  return accepted;
}

}  // namespace baobabtray

#endif  // TRAY_TESTING_ODD_JSON_H_

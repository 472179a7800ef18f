// A YAML document as a tree that remembers where each value stands.
//
// Both the operators' text and the daemon's settings are read through this:
//
//   doc_errors errors;
//   auto root = ParseDoc(yaml, &errors);
//   doc_map map(*root, "settings", &errors);
//   std::string store = map.String("store");
//   map.RejectUnknownKeys();
//   if (!errors.empty()) return errors.ToStatus();
//
// Errors are collected, not thrown, so one run reports all of them. Time and
// memory are linear in the input: anchors and aliases are refused, and depth
// and node count are bounded.

#ifndef TRAY_BASE_YAML_DOC_H_
#define TRAY_BASE_YAML_DOC_H_

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"

namespace baobabtray {

// Bounds on a document; a larger one is refused.
constexpr size_t kMaxDocBytes = 1 << 20;
constexpr int kMaxDocDepth = 16;
constexpr size_t kMaxDocNodes = 400'000;
constexpr size_t kMaxMapKeys = 64;

enum class doc_kind { kNull, kScalar, kList, kMap };

// One value. `line` and `column` count from 1.
struct doc_node {
  doc_kind kind = doc_kind::kNull;
  int line = 0;
  int column = 0;
  std::string scalar;
  std::vector<doc_node> items;            // kList
  std::vector<struct doc_entry> entries;  // kMap, in file order
};

// A key of a map with its value.
struct doc_entry {
  doc_node key;
  doc_node value;
};

// Problems found in one document, each with its place.
class doc_errors {
 public:
  void Add(const doc_node& at, std::string_view reason);
  void Add(int line, int column, std::string_view reason);
  bool empty() const { return lines_.empty(); }
  const std::vector<std::string>& lines() const { return lines_; }
  // OK, or InvalidArgument with one problem a line.
  absl::Status ToStatus() const;

 private:
  static constexpr size_t kMaxReported = 100;
  std::vector<std::string> lines_;
};

// Parses `yaml`. Returns null, with at least one error added, if it is not one
// well-formed document within the bounds.
std::unique_ptr<doc_node> ParseDoc(std::string_view yaml, doc_errors* errors);

// A range of whole numbers that a field accepts.
struct number_range {
  int64_t low = 0;
  int64_t high = std::numeric_limits<int32_t>::max();
};

// Reads the fields of one map, noting which keys were asked for.
class doc_map {
 public:
  // `what` names the map in errors, such as "service".
  doc_map(const doc_node& node, std::string what, doc_errors* errors);

  // Required scalar; an error and "" if missing or not a scalar.
  std::string String(std::string_view key);
  std::string String(std::string_view key, std::string_view fallback);
  int64_t Number(std::string_view key, number_range range);
  int64_t Number(std::string_view key, number_range range, int64_t fallback);
  double Fraction(std::string_view key, double fallback);  // in [0, 1]
  double Decimal(std::string_view key, double low, double high,
                 double fallback);
  bool Bool(std::string_view key, bool fallback);
  // The items of a list; empty when absent.
  const std::vector<doc_node>& List(std::string_view key);
  std::vector<std::string> Strings(std::string_view key);
  const doc_node* Find(std::string_view key);

  // Adds an error for every key that nobody asked for. Call last.
  void RejectUnknownKeys();

 private:
  const doc_node* Require(std::string_view key);

  const doc_node& node_;
  std::string what_;
  doc_errors* errors_;
  std::set<std::string, std::less<>> asked_;
};

}  // namespace baobabtray

#endif  // TRAY_BASE_YAML_DOC_H_

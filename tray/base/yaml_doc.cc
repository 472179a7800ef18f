// Builds doc_node trees from yaml-cpp's event stream, and reads typed fields.
//
// The event stream is used rather than YAML::Node because a node tree expands
// aliases on walking, accepts duplicate keys silently, and takes about four
// times as long for a text of 4,700 backend servers.

#include "tray/base/yaml_doc.h"

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"

namespace baobabtray {
namespace {

// Thrown through yaml-cpp's parser to stop it early; never leaves this file.
struct stop_parsing {};

class tree_builder : public YAML::EventHandler {
 public:
  explicit tree_builder(doc_errors* errors) : errors_(errors) {}

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    Add(mark, anchor, doc_kind::kNull, "");
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    Refuse(mark, "aliases are not allowed; write the value out");
  }
  void OnScalar(const YAML::Mark& mark, const std::string&,
                YAML::anchor_t anchor, const std::string& value) override {
    Add(mark, anchor, doc_kind::kScalar, value);
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string&,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    Open(mark, anchor, doc_kind::kList);
  }
  void OnSequenceEnd() override { Close(); }
  void OnMapStart(const YAML::Mark& mark, const std::string&,
                  YAML::anchor_t anchor, YAML::EmitterStyle::value) override {
    Open(mark, anchor, doc_kind::kMap);
  }
  void OnMapEnd() override { Close(); }

  doc_node root;

 private:
  [[noreturn]] void Refuse(const YAML::Mark& mark, std::string_view reason) {
    errors_->Add(mark.line + 1, mark.column + 1, reason);
    throw stop_parsing();
  }

  doc_node Make(const YAML::Mark& mark, YAML::anchor_t anchor, doc_kind kind) {
    if (anchor != 0) Refuse(mark, "anchors are not allowed");
    if (++count_ > kMaxDocNodes)
      Refuse(mark, "the document has too many values");
    doc_node node;
    node.kind = kind;
    node.line = mark.line + 1;
    node.column = mark.column + 1;
    return node;
  }

  void Add(const YAML::Mark& mark, YAML::anchor_t anchor, doc_kind kind,
           const std::string& value) {
    doc_node node = Make(mark, anchor, kind);
    node.scalar = value;
    Attach(std::move(node));
  }

  void Open(const YAML::Mark& mark, YAML::anchor_t anchor, doc_kind kind) {
    if (open_.size() >= kMaxDocDepth) Refuse(mark, "nested too deeply");
    open_.push_back({Make(mark, anchor, kind), std::nullopt});
  }

  void Close() {
    doc_node done = std::move(open_.back().node);
    open_.pop_back();
    Attach(std::move(done));
  }

  void Attach(doc_node node) {
    if (open_.empty()) {
      root = std::move(node);
      return;
    }
    level& top = open_.back();
    if (top.node.kind == doc_kind::kList) {
      top.node.items.push_back(std::move(node));
    } else if (!top.key) {
      CheckKey(top.node, node);
      top.key = std::move(node);
    } else {
      top.node.entries.push_back({std::move(*top.key), std::move(node)});
      top.key.reset();
    }
  }

  void CheckKey(const doc_node& map, const doc_node& key) {
    if (key.kind != doc_kind::kScalar)
      errors_->Add(key, "a key must be a word");
    // Also keeps the search below linear over the whole document.
    if (map.entries.size() >= kMaxMapKeys) {
      errors_->Add(key, "the map has too many keys");
      throw stop_parsing();
    }
    for (const auto& [known, value] : map.entries) {
      if (known.scalar != key.scalar) continue;
      errors_->Add(key, fmt::format("duplicate key '{}'", key.scalar));
      return;
    }
  }

  struct level {
    doc_node node;
    std::optional<doc_node> key;
  };
  doc_errors* errors_;
  std::vector<level> open_;
  size_t count_ = 0;
};

}  // namespace

void doc_errors::Add(const doc_node& at, std::string_view reason) {
  Add(at.line, at.column, reason);
}

void doc_errors::Add(int line, int column, std::string_view reason) {
  if (lines_.size() > kMaxReported) return;
  if (lines_.size() == kMaxReported) {
    lines_.push_back("further problems are not shown");
    return;
  }
  lines_.push_back(fmt::format("line {}, column {}: {}", line, column, reason));
}

absl::Status doc_errors::ToStatus() const {
  if (lines_.empty()) return absl::OkStatus();
  return absl::InvalidArgumentError(absl::StrJoin(lines_, "\n"));
}

std::unique_ptr<doc_node> ParseDoc(std::string_view yaml, doc_errors* errors) {
  if (yaml.size() > kMaxDocBytes) {
    errors->Add(1, 1, fmt::format("larger than {} bytes", kMaxDocBytes));
    return nullptr;
  }
  std::istringstream in{std::string(yaml)};
  tree_builder builder(errors);
  try {
    YAML::Parser parser(in);
    if (!parser.HandleNextDocument(builder)) {
      errors->Add(1, 1, "the document is empty");
      return nullptr;
    }
    tree_builder second(errors);
    if (parser.HandleNextDocument(second)) {
      errors->Add(second.root, "only one document is allowed");
      return nullptr;
    }
  } catch (const stop_parsing&) {
    return nullptr;
  } catch (const YAML::Exception& e) {
    errors->Add(e.mark.line + 1, e.mark.column + 1, e.msg);
    return nullptr;
  }
  return std::make_unique<doc_node>(std::move(builder.root));
}

doc_map::doc_map(const doc_node& node, std::string what, doc_errors* errors)
    : node_(node), what_(std::move(what)), errors_(errors) {
  if (node.kind != doc_kind::kMap) {
    errors_->Add(node, fmt::format("{} must be a map of keys", what_));
  }
}

const doc_node* doc_map::Find(std::string_view key) {
  asked_.emplace(key);
  for (const auto& [name, value] : node_.entries) {
    if (name.scalar == key) return &value;
  }
  return nullptr;
}

const doc_node* doc_map::Require(std::string_view key) {
  const doc_node* found = Find(key);
  if (found == nullptr && node_.kind == doc_kind::kMap) {
    errors_->Add(node_, fmt::format("{} lacks '{}'", what_, key));
  }
  return found;
}

std::string doc_map::String(std::string_view key) {
  const doc_node* found = Require(key);
  if (found == nullptr) return "";
  if (found->kind != doc_kind::kScalar || found->scalar.empty()) {
    errors_->Add(*found, fmt::format("'{}' must be a word", key));
  }
  return found->scalar;
}

std::string doc_map::String(std::string_view key, std::string_view fallback) {
  return Find(key) == nullptr ? std::string(fallback) : String(key);
}

int64_t doc_map::Number(std::string_view key, number_range range) {
  const doc_node* found = Require(key);
  if (found == nullptr) return range.low;
  int64_t value = 0;
  if (found->kind != doc_kind::kScalar ||
      !absl::SimpleAtoi(found->scalar, &value)) {
    errors_->Add(*found, fmt::format("'{}' must be a whole number", key));
    return range.low;
  }
  if (value < range.low || value > range.high) {
    errors_->Add(*found, fmt::format("'{}' must be from {} to {}", key,
                                     range.low, range.high));
    return range.low;
  }
  return value;
}

int64_t doc_map::Number(std::string_view key, number_range range,
                        int64_t fallback) {
  return Find(key) == nullptr ? fallback : Number(key, range);
}

double doc_map::Fraction(std::string_view key, double fallback) {
  return Decimal(key, 0, 1, fallback);
}

double doc_map::Decimal(std::string_view key, double low, double high,
                        double fallback) {
  const doc_node* found = Find(key);
  if (found == nullptr) return fallback;
  double value = 0;
  if (!absl::SimpleAtod(found->scalar, &value) ||
      !(value >= low && value <= high)) {
    errors_->Add(*found,
                 fmt::format("'{}' must be from {} to {}", key, low, high));
    return fallback;
  }
  return value;
}

bool doc_map::Bool(std::string_view key, bool fallback) {
  const doc_node* found = Find(key);
  if (found == nullptr) return fallback;
  if (found->scalar == "true") return true;
  if (found->scalar == "false") return false;
  errors_->Add(*found, fmt::format("'{}' must be true or false", key));
  return fallback;
}

const std::vector<doc_node>& doc_map::List(std::string_view key) {
  static const auto* const kEmpty = new std::vector<doc_node>();
  const doc_node* found = Find(key);
  if (found == nullptr) return *kEmpty;
  if (found->kind != doc_kind::kList) {
    errors_->Add(*found, fmt::format("'{}' must be a list", key));
  }
  return found->items;
}

std::vector<std::string> doc_map::Strings(std::string_view key) {
  std::vector<std::string> result;
  for (const doc_node& item : List(key)) {
    if (item.kind != doc_kind::kScalar || item.scalar.empty()) {
      errors_->Add(item, fmt::format("'{}' must be a list of words", key));
    }
    result.push_back(item.scalar);
  }
  return result;
}

void doc_map::RejectUnknownKeys() {
  for (const auto& [name, value] : node_.entries) {
    if (asked_.contains(name.scalar)) continue;
    errors_->Add(name, fmt::format("{} has no key '{}'", what_, name.scalar));
  }
}

}  // namespace baobabtray

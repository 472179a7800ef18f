// Tests of the base library: YAML documents, endpoints, hashing.

#include <criterion/criterion.h>

#include <string>

#include "tray/base/endpoint.h"
#include "tray/base/enum_names.h"
#include "tray/base/hash.h"
#include "tray/base/json.h"
#include "tray/base/yaml_doc.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

// Errors from parsing `yaml`, one per line.
std::string ParseErrors(const std::string& yaml) {
  doc_errors errors;
  ParseDoc(yaml, &errors);
  std::string all;
  for (const std::string& line : errors.lines()) all += line + "\n";
  return all;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

Test(doc, records_line_and_column) {
  doc_errors errors;
  auto root = ParseDoc("a: 1\nb:\n  - x\n", &errors);
  cr_assert(errors.empty());
  cr_assert_eq(root->entries[1].value.items[0].line, 3);
  cr_assert_eq(root->entries[1].value.items[0].column, 5);
}

Test(doc, rejects_aliases_that_expand_exponentially) {
  std::string bomb = "a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n";
  cr_assert(Contains(ParseErrors(bomb), "anchors are not allowed"));
}

Test(doc, rejects_duplicate_keys_with_line_and_column) {
  cr_assert(Contains(ParseErrors("a: 1\na: 2\n"),
                     "line 2, column 1: duplicate key 'a'"));
}

Test(doc, rejects_deep_nesting) {
  std::string deep(100'000, '[');
  cr_assert(Contains(ParseErrors(deep), "nested too deeply"));
}

Test(doc, rejects_maps_with_too_many_keys) {
  std::string wide;
  for (int i = 0; i < 1000; ++i) wide += "k" + std::to_string(i) + ": 1\n";
  cr_assert(Contains(ParseErrors(wide), "too many keys"));
}

Test(doc, rejects_malformed_empty_multiple_and_oversized_documents) {
  cr_assert(!ParseErrors("a: [1, 2\n").empty());
  cr_assert(!ParseErrors("").empty());
  cr_assert(!ParseErrors("a: 1\n---\nb: 2\n").empty());
  cr_assert(!ParseErrors(std::string(kMaxDocBytes + 1, 'x')).empty());
}

Test(doc, reports_all_invalid_fields_at_once) {
  doc_errors errors;
  auto root = ParseDoc("n: many\nf: 2\nb: maybe\nextra: 1\n", &errors);
  doc_map map(*root, "thing", &errors);
  map.Number("n", {1, 5});
  map.Fraction("f", 0);
  map.Bool("b", false);
  map.String("missing");
  map.RejectUnknownKeys();
  cr_assert_eq(errors.lines().size(), 5u);
}

Test(endpoint, accepts_only_ip_and_port) {
  cr_assert(ParseEndpoint("127.0.0.1:80").ok());
  for (const char* bad : {"", "127.0.0.1", "host:80", "127.0.0.1:0",
                          "127.0.0.1:65536", "127.0.0.1:-1", "1.2.3:80"}) {
    cr_assert(!ParseEndpoint(bad).ok(), "%s", bad);
  }
}

Test(json, nesting_is_counted_outside_strings) {
  cr_assert_not(IsNestedDeeper(R"({"a":"[[[\"[[[","b":[[1],[2]]})", 3));
  cr_assert(IsNestedDeeper(R"({"a":[[1]]})", 2));
  cr_assert(ParseJson(std::string(kMaxJsonDepth + 1, '[')).is_discarded());
  std::string deepest =
      std::string(kMaxJsonDepth, '[') + std::string(kMaxJsonDepth, ']');
  cr_assert_not(ParseJson(deepest).is_discarded());
  for (const char* cut : {"\"", "\"\\", "[\"\\\"", "{\"a"}) {
    cr_assert(ParseJson(cut).is_discarded(), "%s", cut);
  }
}

Test(json, integers_are_read_exactly_or_not_at_all) {
  auto accepts = [](const char* text, auto min, auto max) {
    try {
      IntegerOf<decltype(min)>(ParseJson(text), "x", min, max);
      return true;
    } catch (const std::invalid_argument&) {
      return false;
    }
  };
  cr_expect(accepts("18446744073709551615", uint64_t{0}, UINT64_MAX));
  cr_expect(accepts("-9223372036854775808", INT64_MIN, INT64_MAX));
  cr_expect(accepts("3.0", 0, 3));
  for (const char* odd : {"4", "-1", "2.5", "true", "\"1\"", "null", "1e300",
                          "4294967297", "9223372036854775808", "[1]"}) {
    cr_expect_not(accepts(odd, 0, 3), "%s", odd);
  }
  cr_expect_not(accepts("-1", uint64_t{0}, UINT64_MAX));
  cr_expect_not(accepts("1e18", INT64_MIN, INT64_MAX), "not exact");
}

Test(hash, compares_secrets_in_full) {
  cr_assert(EqualSecrets("abc", "abc"));
  cr_assert(!EqualSecrets("abc", "abd"));
  cr_assert(!EqualSecrets("abc", "ab"));
  cr_assert(!EqualSecrets("", "x"));
}

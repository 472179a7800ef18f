// Tests of the basics: located YAML, endpoints, hashing.

#include <criterion/criterion.h>

#include <string>

#include "tray/base/endpoint.h"
#include "tray/base/enum_names.h"
#include "tray/base/hash.h"
#include "tray/base/yaml_doc.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

// Problems found while parsing and reading nothing from it.
std::string ProblemsOf(const std::string& yaml) {
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

Test(doc, keeps_places) {
  doc_errors errors;
  auto root = ParseDoc("a: 1\nb:\n  - x\n", &errors);
  cr_assert(errors.empty());
  cr_assert_eq(root->entries[1].value.items[0].line, 3);
  cr_assert_eq(root->entries[1].value.items[0].column, 5);
}

Test(doc, refuses_aliases_that_would_explode) {
  std::string bomb = "a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n";
  cr_assert(Contains(ProblemsOf(bomb), "anchors are not allowed"));
}

Test(doc, refuses_duplicate_keys_with_their_place) {
  cr_assert(Contains(ProblemsOf("a: 1\na: 2\n"),
                     "line 2, column 1: duplicate key 'a'"));
}

Test(doc, refuses_deep_nesting) {
  std::string deep(100'000, '[');
  cr_assert(Contains(ProblemsOf(deep), "nested too deeply"));
}

Test(doc, refuses_wide_maps) {
  std::string wide;
  for (int i = 0; i < 1000; ++i) wide += "k" + std::to_string(i) + ": 1\n";
  cr_assert(Contains(ProblemsOf(wide), "too many keys"));
}

Test(doc, refuses_broken_and_empty_and_large_documents) {
  cr_assert(!ProblemsOf("a: [1, 2\n").empty());
  cr_assert(!ProblemsOf("").empty());
  cr_assert(!ProblemsOf("a: 1\n---\nb: 2\n").empty());
  cr_assert(!ProblemsOf(std::string(kMaxDocBytes + 1, 'x')).empty());
}

Test(doc, reports_all_wrong_fields_at_once) {
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

Test(hash, compares_secrets_whole) {
  cr_assert(EqualSecrets("abc", "abc"));
  cr_assert(!EqualSecrets("abc", "abd"));
  cr_assert(!EqualSecrets("abc", "ab"));
  cr_assert(!EqualSecrets("", "x"));
}

// The configuration as the store keeps it: one value under one key, so that one
// compare-and-swap orders all edits.
//
// It holds the whole operators' text, the places out of service, a revision
// that grows by one with every edit, and the last edits, by which a writer
// whose reply was lost recognises its own.

#ifndef TRAY_CONFIG_CONFIG_H_
#define TRAY_CONFIG_CONFIG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tray/base/enum_names.h"
#include "tray/text/topology_view.h"

namespace baobabtray {

// Key of the configuration in the store; older texts are under kHistoryPrefix
// followed by their revision.
constexpr std::string_view kConfigKey = "baobabtray.config";
constexpr std::string_view kHistoryPrefix = "baobabtray.history.";
// Edits remembered in the value.
constexpr size_t kMaxRecentEdits = 50;
// Largest value the store takes.
constexpr size_t kMaxConfigBytes = 1'000'000;

enum class edit_kind { kApply, kOut, kIn, kRollback };
constexpr name_table<edit_kind, 4> kEditKindNames = {{
    {edit_kind::kApply, "apply"},
    {edit_kind::kOut, "out"},
    {edit_kind::kIn, "in"},
    {edit_kind::kRollback, "rollback"},
}};

// One accepted edit.
struct edit_record {
  int64_t revision = 0;
  std::string id;      // unique
  std::string author;  // who asked for it
  edit_kind kind = edit_kind::kApply;
  std::string detail;  // the place, or the revision gone back to
  int64_t at_ms = 0;   // wall clock of the host that made it
};

struct config {
  int64_t revision = 0;  // 0: none yet
  std::vector<place> out_of_service;
  std::string text;
  std::vector<edit_record> recent_edits;  // oldest first
};

std::string DumpConfig(const config& c);
absl::StatusOr<config> ParseConfig(std::string_view json);

// The edit called `id`, or null if it is not among the recent ones.
const edit_record* FindEdit(const config& c, std::string_view id);

}  // namespace baobabtray

#endif  // TRAY_CONFIG_CONFIG_H_

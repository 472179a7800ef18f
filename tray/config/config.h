// The configuration as it is stored: a single value under a single key, so that
// one compare-and-swap per edit serializes all edits.
//
// The value holds the operators' YAML text, the data centres and servers that
// are out of service, a revision that increases by one with every edit, and the
// most recent edits. A writer whose reply was lost finds out from the recent
// edits whether its edit was applied.

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

// Store key of the configuration. Earlier configurations are stored under
// kHistoryPrefix followed by their revision.
constexpr std::string_view kConfigKey = "baobabtray.config";
constexpr std::string_view kHistoryPrefix = "baobabtray.history.";
// Number of recent edits kept in the value.
constexpr size_t kMaxRecentEdits = 50;
// Largest value that the store accepts.
constexpr size_t kMaxConfigBytes = 1'000'000;

// kOut takes a place out of service, kIn returns it to service.
enum class edit_kind { kApply, kOut, kIn, kRollback };
constexpr name_table<edit_kind, 4> kEditKindNames = {{
    {edit_kind::kApply, "apply"},
    {edit_kind::kOut, "out"},
    {edit_kind::kIn, "in"},
    {edit_kind::kRollback, "rollback"},
}};

// An edit that was applied.
struct edit_record {
  int64_t revision = 0;
  std::string id;      // unique
  std::string author;  // operator who requested it
  edit_kind kind = edit_kind::kApply;
  std::string detail;  // the place, or the revision rolled back to
  int64_t at_ms = 0;   // wall clock of the host that applied it
};

struct config {
  int64_t revision = 0;  // 0: no configuration yet
  std::vector<place> out_of_service;
  std::string text;
  std::vector<edit_record> recent_edits;  // oldest first
};

std::string DumpConfig(const config& c);
absl::StatusOr<config> ParseConfig(std::string_view json);

// Returns the recent edit with this id, or null if there is none.
const edit_record* FindRecentEdit(const config& c, std::string_view id);

}  // namespace baobabtray

#endif  // TRAY_CONFIG_CONFIG_H_

// State machine that applies one operator's edit to the stored configuration.
//
//   edit_operation op{.request = {...}, .deadline = now + kEditTimeout};
//   edit_step step = StartEdit(&op);
//   while (step != edit_step::kDone) {
//     // kRead: read kConfigKey, then step = OnStoreRead(&op, result, now)
//     // kSwap: write op.next_value if the key is still at
//     //        op.expected_store_revision, then
//     //        step = OnStoreSwap(&op, result, now)
//   }
//   // The result is in op.verdict, op.reason and op.revision.
//
// The verdict is exact. `accepted` is returned only if the write is known to
// have taken effect; `not_accepted` and `conflict` only if it can never take
// effect. When the reply to a write is lost, the key is read back and the
// edit's unique id shows whether the write took effect. If the key is still at
// the expected revision, the same write is repeated, so that at most one of the
// two can succeed. In all other cases the verdict is `unknown`.

#ifndef TRAY_CONFIG_EDIT_H_
#define TRAY_CONFIG_EDIT_H_

#include <cstdint>
#include <string>

#include "tray/base/enum_names.h"
#include "tray/base/time.h"
#include "tray/config/config.h"

namespace baobabtray {

// Result of a call to the store.
enum class store_fault {
  kNone,
  kAbsent,    // read: the key does not exist
  kConflict,  // swap: the key is at another revision
  kNotSent,   // the store is unreachable; no effect
  kLost,      // no reply; a write may have taken effect
};
constexpr name_table<store_fault, 5> kStoreFaultNames = {{
    {store_fault::kNone, "none"},
    {store_fault::kAbsent, "absent"},
    {store_fault::kConflict, "conflict"},
    {store_fault::kNotSent, "not_sent"},
    {store_fault::kLost, "lost"},
}};

struct store_result {
  store_fault fault = store_fault::kNone;
  uint64_t revision = 0;  // the store's revision of the key
  std::string value;
};

// An edit as requested by an operator.
struct edit_request {
  std::string id;
  std::string author;
  edit_kind kind = edit_kind::kApply;
  std::string text;            // kApply, kRollback: the complete new text
  int64_t base_revision = -1;  // kApply: revision the text is based on; -1: any
  place target;                // kOut, kIn
  std::string detail;
  int64_t at_ms = 0;
  bool dry_run = false;
};

enum class edit_verdict {
  kAccepted,
  kUnchanged,    // already in effect; nothing was written
  kConflict,     // the base revision is not the current revision
  kRefused,      // invalid: unknown place or too large
  kNotAccepted,  // the store was unreachable; no effect
  kUnknown,      // it may or may not have taken effect
};
constexpr name_table<edit_verdict, 6> kEditVerdictNames = {{
    {edit_verdict::kAccepted, "accepted"},
    {edit_verdict::kUnchanged, "unchanged"},
    {edit_verdict::kConflict, "conflict"},
    {edit_verdict::kRefused, "refused"},
    {edit_verdict::kNotAccepted, "not_accepted"},
    {edit_verdict::kUnknown, "unknown"},
}};

enum class edit_step { kRead, kSwap, kDone };

constexpr micros kEditTimeout = 5 * kSecond;

struct edit_operation {
  edit_request request;
  micros deadline = 0;

  edit_verdict verdict = edit_verdict::kUnknown;
  std::string reason;
  int64_t revision = 0;  // of the edit if accepted, else the current one
  config current;        // configuration last read
  config next;           // configuration to be written
  std::string next_value;
  uint64_t expected_store_revision = 0;  // the swap succeeds only at this one
  bool write_unconfirmed = false;        // a write got no reply
  int attempts = 0;                      // store calls so far, for back-off
};

edit_step StartEdit(edit_operation* op);
edit_step OnStoreRead(edit_operation* op, const store_result& result,
                      micros now);
edit_step OnStoreSwap(edit_operation* op, const store_result& result,
                      micros now);

}  // namespace baobabtray

#endif  // TRAY_CONFIG_EDIT_H_

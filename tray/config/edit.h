// One operator's edit, from reading the store to a verdict, as a state machine.
//
//   edit_run run{.wanted = {...}, .deadline = now + kEditTime};
//   edit_step step = StartEdit(&run);
//   while (step != edit_step::kDone) {
//     // kRead:  read kConfigKey, then  step = OnStoreRead(&run, result, now)
//     // kSwap:  write run.next_value if the key is still at run.base_store
//     //         revision, then         step = OnStoreSwap(&run, result, now)
//   }
//   run.verdict, run.reason, run.revision
//
// The verdict is exact. `accepted` is given only when the write is known to
// have taken effect, `not_accepted` and `conflict` only when it can never take
// effect: a lost reply is followed by reading back, where the edit's unique id
// shows whether it is in; if the key has not moved the same write is repeated,
// so that the first one, should it still be on its way, must fail. Otherwise
// `unknown`.

#ifndef TRAY_CONFIG_EDIT_H_
#define TRAY_CONFIG_EDIT_H_

#include <cstdint>
#include <string>

#include "tray/base/enum_names.h"
#include "tray/base/time.h"
#include "tray/config/config.h"

namespace baobabtray {

// What a call to the store came to.
enum class store_fault {
  kNone,
  kAbsent,    // read: there is no such key
  kConflict,  // swap: the key was at another revision
  kNotSent,   // the store can't be reached; nothing happened
  kLost,      // no reply: a write may or may not have taken effect
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
  uint64_t revision = 0;  // the store's own revision of the key
  std::string value;
};

// An edit as an operator asks for it.
struct edit {
  std::string id;
  std::string by;
  edit_kind kind = edit_kind::kApply;
  std::string text;            // kApply, kRollback: the whole new text
  int64_t base_revision = -1;  // kApply: the revision it was made from; -1: any
  place where;                 // kOut, kIn
  std::string detail;
  int64_t at_ms = 0;
  bool dry_run = false;
};

enum class edit_verdict {
  kAccepted,
  kUnchanged,    // it is so already; nothing was written
  kConflict,     // the base revision is not the current one
  kRefused,      // the edit makes no sense: unknown place, too large
  kNotAccepted,  // the store could not be reached; it did not take effect
  kUnknown,      // it may or may not take effect
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

constexpr micros kEditTime = 5 * kSecond;

struct edit_run {
  edit wanted;
  micros deadline = 0;

  edit_verdict verdict = edit_verdict::kUnknown;
  std::string reason;
  int64_t revision = 0;  // accepted or current revision
  config current;        // as last read
  config next;           // as to be written
  std::string next_value;
  uint64_t base_store = 0;     // store's revision that the swap expects
  bool maybe_written = false;  // a write without a reply is unsettled
  int attempts = 0;            // for the caller's back-off
};

edit_step StartEdit(edit_run* run);
edit_step OnStoreRead(edit_run* run, const store_result& result, micros now);
edit_step OnStoreSwap(edit_run* run, const store_result& result, micros now);

}  // namespace baobabtray

#endif  // TRAY_CONFIG_EDIT_H_

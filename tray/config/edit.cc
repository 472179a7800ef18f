// Edits over a store that may lose replies. See edit.h.

#include "tray/config/edit.h"

#include <fmt/format.h>

#include <algorithm>

#include "tray/base/strings.h"
#include "tray/text/topology.h"

namespace baobabtray {
namespace {

edit_step Finish(edit_operation* op, edit_verdict verdict,
                 std::string reason = "") {
  op->verdict = verdict;
  op->reason = std::move(reason);
  return edit_step::kDone;
}

edit_step FinishAccepted(edit_operation* op, const config& in_store,
                         int64_t revision) {
  op->revision = revision;
  op->next = in_store;
  return Finish(op, edit_verdict::kAccepted);
}

// Finishes after the deadline has passed without an answer from the store. The
// outcome is unknown only if a write is unconfirmed.
edit_step FinishWithoutStore(edit_operation* op) {
  if (op->write_unconfirmed) {
    return Finish(op, edit_verdict::kUnknown,
                  "the store did not confirm the write; check the history");
  }
  return Finish(op, edit_verdict::kNotAccepted, "the store is unreachable");
}

// Sets op->next from the current configuration. Returns false, with the verdict
// set, if the edit can't be applied to it.
bool BuildNext(edit_operation* op) {
  const edit_request& e = op->request;
  config next = op->current;
  switch (e.kind) {
    case edit_kind::kApply:
    case edit_kind::kRollback:
      if (e.base_revision >= 0 && e.base_revision != op->current.revision) {
        Finish(
            op, edit_verdict::kConflict,
            fmt::format("based on revision {}, but the current revision is {}",
                        e.base_revision, op->current.revision));
        return false;
      }
      next.text = e.text;
      break;
    case edit_kind::kOut:
    case edit_kind::kIn: {
      absl::StatusOr<service_topology> parsed = ParseTopology(next.text);
      if (!parsed.ok() || !HasPlace(*parsed, e.target)) {
        Finish(
            op, edit_verdict::kRefused,
            fmt::format("unknown {} '{}'",
                        NameOf(kPlaceKindNames, e.target.kind), e.target.name));
        return false;
      }
      auto at = std::find(next.out_of_service.begin(),
                          next.out_of_service.end(), e.target);
      bool is_out = at != next.out_of_service.end();
      if (is_out == (e.kind == edit_kind::kOut)) {
        Finish(op, edit_verdict::kUnchanged);
        return false;
      }
      if (is_out) {
        next.out_of_service.erase(at);
      } else {
        next.out_of_service.push_back(e.target);
      }
      break;
    }
  }
  next.revision = op->current.revision + 1;
  next.recent_edits.push_back({.revision = next.revision,
                               .id = e.id,
                               .author = e.author,
                               .kind = e.kind,
                               .detail = e.detail,
                               .at_ms = e.at_ms});
  if (next.recent_edits.size() > kMaxRecentEdits)
    next.recent_edits.erase(next.recent_edits.begin());
  op->next_value = DumpConfig(next);
  op->next = std::move(next);
  if (op->next_value.size() > kMaxConfigBytes) {
    Finish(op, edit_verdict::kRefused,
           fmt::format("configuration too large: {} bytes, the limit is {}",
                       op->next_value.size(), kMaxConfigBytes));
    return false;
  }
  return true;
}

// True if the recent edits go back far enough to contain our edit, had it been
// applied.
bool RecentEditsCoverOurWrite(const edit_operation& op) {
  const config& c = op.current;
  return c.recent_edits.empty() || c.recent_edits.size() < kMaxRecentEdits ||
         c.recent_edits.front().revision <= op.next.revision;
}

}  // namespace

edit_step StartEdit(edit_operation*) { return edit_step::kRead; }

edit_step OnStoreRead(edit_operation* op, const store_result& result,
                      micros now) {
  ++op->attempts;
  switch (result.fault) {
    case store_fault::kNotSent:
    case store_fault::kLost:
    case store_fault::kConflict:
      if (now >= op->deadline) return FinishWithoutStore(op);
      return edit_step::kRead;
    case store_fault::kAbsent:
      op->current = {};
      break;
    case store_fault::kNone: {
      absl::StatusOr<config> parsed = ParseConfig(result.value);
      if (!parsed.ok()) {
        return Finish(op, edit_verdict::kRefused, MessageOf(parsed.status()));
      }
      op->current = *std::move(parsed);
      break;
    }
  }
  op->revision = op->current.revision;
  if (const edit_record* applied =
          FindRecentEdit(op->current, op->request.id)) {
    return FinishAccepted(op, op->current, applied->revision);
  }
  if (op->write_unconfirmed) {
    if (result.revision == op->expected_store_revision) {
      // The write has not taken effect yet. Repeat it: at most one of the two
      // can succeed.
      if (now >= op->deadline) return FinishWithoutStore(op);
      return edit_step::kSwap;
    }
    // The key has a new revision, so the earlier write can no longer take
    // effect. It may have done so before and since been evicted from the recent
    // edits.
    if (!RecentEditsCoverOurWrite(*op)) {
      return Finish(op, edit_verdict::kUnknown,
                    "the write is unconfirmed, and the recent edits no longer "
                    "reach back to it");
    }
    op->write_unconfirmed = false;
  }
  op->expected_store_revision = result.revision;
  if (!BuildNext(op)) return edit_step::kDone;
  if (op->request.dry_run)
    return Finish(op, edit_verdict::kUnchanged, "dry run");
  if (now >= op->deadline) return FinishWithoutStore(op);
  return edit_step::kSwap;
}

edit_step OnStoreSwap(edit_operation* op, const store_result& result,
                      micros now) {
  ++op->attempts;
  switch (result.fault) {
    case store_fault::kNone:
      return FinishAccepted(op, op->next, op->next.revision);
    case store_fault::kConflict:
    case store_fault::kAbsent:
      return edit_step::kRead;
    case store_fault::kNotSent:
      if (now >= op->deadline) return FinishWithoutStore(op);
      return edit_step::kSwap;
    case store_fault::kLost:
      break;
  }
  op->write_unconfirmed = true;
  if (now >= op->deadline) return FinishWithoutStore(op);
  return edit_step::kRead;
}

}  // namespace baobabtray

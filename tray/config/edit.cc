// Edits over an unreliable store. See edit.h.

#include "tray/config/edit.h"

#include <fmt/format.h>

#include <algorithm>

#include "tray/base/strings.h"
#include "tray/text/topology.h"

namespace baobabtray {
namespace {

edit_step End(edit_run* run, edit_verdict verdict, std::string reason = "") {
  run->verdict = verdict;
  run->reason = std::move(reason);
  return edit_step::kDone;
}

edit_step EndAccepted(edit_run* run, const config& in_store, int64_t revision) {
  run->revision = revision;
  run->next = in_store;
  return End(run, edit_verdict::kAccepted);
}

// The store can't tell in time. The truth depends on whether a write is
// unsettled.
edit_step EndWithoutStore(edit_run* run) {
  if (run->maybe_written) {
    return End(run, edit_verdict::kUnknown,
               "the store did not confirm the write; look at the history");
  }
  return End(run, edit_verdict::kNotAccepted, "the store can't be reached");
}

// Fills run->next from the current configuration. Returns false with the
// verdict set if the edit can't be made on it.
bool BuildNext(edit_run* run) {
  const edit& e = run->wanted;
  config next = run->current;
  switch (e.kind) {
    case edit_kind::kApply:
    case edit_kind::kRollback:
      if (e.base_revision >= 0 && e.base_revision != run->current.revision) {
        End(run, edit_verdict::kConflict,
            fmt::format("made from revision {}, but {} is in force",
                        e.base_revision, run->current.revision));
        return false;
      }
      next.text = e.text;
      break;
    case edit_kind::kOut:
    case edit_kind::kIn: {
      absl::StatusOr<service_topology> parsed = ParseTopology(next.text);
      if (!parsed.ok() || !HasPlace(*parsed, e.where)) {
        End(run, edit_verdict::kRefused,
            fmt::format("there is no {} '{}'",
                        NameOf(kPlaceKindNames, e.where.kind), e.where.name));
        return false;
      }
      auto at = std::find(next.out_of_service.begin(),
                          next.out_of_service.end(), e.where);
      bool is_out = at != next.out_of_service.end();
      if (is_out == (e.kind == edit_kind::kOut)) {
        End(run, edit_verdict::kUnchanged);
        return false;
      }
      if (is_out) {
        next.out_of_service.erase(at);
      } else {
        next.out_of_service.push_back(e.where);
      }
      break;
    }
  }
  next.revision = run->current.revision + 1;
  next.recent_edits.push_back({.revision = next.revision,
                               .id = e.id,
                               .author = e.by,
                               .kind = e.kind,
                               .detail = e.detail,
                               .at_ms = e.at_ms});
  if (next.recent_edits.size() > kMaxRecentEdits)
    next.recent_edits.erase(next.recent_edits.begin());
  run->next_value = DumpConfig(next);
  run->next = std::move(next);
  if (run->next_value.size() > kMaxConfigBytes) {
    End(run, edit_verdict::kRefused,
        fmt::format("the configuration has {} bytes, the store takes {}",
                    run->next_value.size(), kMaxConfigBytes));
    return false;
  }
  return true;
}

// True if an edit of ours, had it been accepted, would be among the recent
// ones.
bool RecentReachesBack(const edit_run& run) {
  const config& c = run.current;
  return c.recent_edits.empty() || c.recent_edits.size() < kMaxRecentEdits ||
         c.recent_edits.front().revision <= run.next.revision;
}

}  // namespace

edit_step StartEdit(edit_run*) { return edit_step::kRead; }

edit_step OnStoreRead(edit_run* run, const store_result& result, micros now) {
  ++run->attempts;
  switch (result.fault) {
    case store_fault::kNotSent:
    case store_fault::kLost:
    case store_fault::kConflict:
      if (now >= run->deadline) return EndWithoutStore(run);
      return edit_step::kRead;
    case store_fault::kAbsent:
      run->current = {};
      break;
    case store_fault::kNone: {
      absl::StatusOr<config> parsed = ParseConfig(result.value);
      if (!parsed.ok()) {
        return End(run, edit_verdict::kRefused, MessageOf(parsed.status()));
      }
      run->current = *std::move(parsed);
      break;
    }
  }
  run->revision = run->current.revision;
  if (const edit_record* ours = FindEdit(run->current, run->wanted.id)) {
    return EndAccepted(run, run->current, ours->revision);
  }
  if (run->maybe_written) {
    if (result.revision == run->base_store) {
      // Not there yet; repeat it, so that one of the two decides.
      if (now >= run->deadline) return EndWithoutStore(run);
      return edit_step::kSwap;
    }
    // The key has moved on, so the old write can't take effect any more; but it
    // may have done so and have been pushed out of the recent edits since.
    if (!RecentReachesBack(*run)) {
      return End(run, edit_verdict::kUnknown, "too many edits since");
    }
    run->maybe_written = false;
  }
  run->base_store = result.revision;
  if (!BuildNext(run)) return edit_step::kDone;
  if (run->wanted.dry_run) return End(run, edit_verdict::kUnchanged, "dry run");
  if (now >= run->deadline) return EndWithoutStore(run);
  return edit_step::kSwap;
}

edit_step OnStoreSwap(edit_run* run, const store_result& result, micros now) {
  ++run->attempts;
  switch (result.fault) {
    case store_fault::kNone:
      return EndAccepted(run, run->next, run->next.revision);
    case store_fault::kConflict:
    case store_fault::kAbsent:
      return edit_step::kRead;
    case store_fault::kNotSent:
      if (now >= run->deadline) return EndWithoutStore(run);
      return edit_step::kSwap;
    case store_fault::kLost:
      break;
  }
  run->maybe_written = true;
  if (now >= run->deadline) return EndWithoutStore(run);
  return edit_step::kRead;
}

}  // namespace baobabtray

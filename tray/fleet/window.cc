// The in-flight window of one backend server. See window.h.

#include "tray/fleet/window.h"

#include <algorithm>

#include "tray/fleet/shares.h"

namespace baobabtray {
namespace {

// With each reply the baseline latency rises by 1 / kBaselineDriftDivisor.
constexpr micros kBaselineDriftDivisor = 1024;

// Upper bound on the time between sending and receiving a report.
constexpr micros kMaxReportDelay = 20 * kMillisecond;

// Share in effect at `now`, including a pending raise that is due.
int EffectiveShare(const server_window& w, micros now) {
  if (w.pending_share > w.share && now >= w.pending_share_at)
    return w.pending_share;
  return w.share;
}

void ApplyPendingShare(server_window* w, micros now) {
  int share = EffectiveShare(*w, now);
  if (share == w->share) return;
  w->share = share;
  if (w->phase == window_phase::kWarm) w->limit = share;
}

void EnterCold(server_window* w) {
  w->phase = window_phase::kCold;
  w->clean_replies = 0;
}

void EnterWarming(server_window* w) {
  w->phase = window_phase::kWarming;
  w->limit = 1;
  w->clean_replies = 0;
}

// Applies `report`. Returns false if it is older than the newest known one.
bool ApplyReport(server_window* w, const server_report& report) {
  if (report.stamp.boot == 0 || report.stamp < w->stamp) return false;
  bool restarted = w->stamp.boot != 0 && report.stamp.boot != w->stamp.boot;
  w->stamp = report.stamp;
  if (report.cold_limit > 0) w->cold_limit = report.cold_limit;
  switch (report.state) {
    case reported_state::kLeaving:
      w->phase = window_phase::kLeaving;
      break;
    case reported_state::kCold:
      EnterCold(w);
      break;
    case reported_state::kReady:
      if (restarted || w->phase == window_phase::kCold ||
          w->phase == window_phase::kHeld ||
          w->phase == window_phase::kLeaving) {
        EnterWarming(w);
      }
      break;
  }
  return true;
}

void GrowLimit(server_window* w) {
  if (w->limit >= w->share) {
    w->limit = w->share;
    if (w->phase == window_phase::kWarming) w->phase = window_phase::kWarm;
    return;
  }
  // Warming doubles the limit per round trip; warm adds one per full window.
  int needed = w->phase == window_phase::kWarming ? 1 : w->limit;
  if (++w->clean_replies < needed) return;
  w->clean_replies = 0;
  ++w->limit;
}

void AdjustLimit(server_window* w, micros latency) {
  if (w->baseline_latency == 0 || latency < w->baseline_latency)
    w->baseline_latency = latency;
  // The baseline drifts up slowly and so follows a lasting change.
  w->baseline_latency += w->baseline_latency / kBaselineDriftDivisor + 1;
  if (latency <= kSlowFactor * w->baseline_latency) {
    w->slow_streak = 0;
    GrowLimit(w);
    return;
  }
  if (++w->slow_streak < kSlowStreak) return;
  w->limit = std::max(std::min(1, w->share), w->limit / 2);
  w->slow_streak = 0;
  w->clean_replies = 0;
}

}  // namespace

bool IsWarmOrWarming(const server_window& w) {
  return w.phase == window_phase::kWarm || w.phase == window_phase::kWarming;
}

int ColdShare(const server_window& w, micros now) {
  if (w.owner_count == 0) return 0;
  int share = ShareOfRank(w.cold_limit, w.owner_rank, w.owner_count);
  return now < w.cold_share_raised_at ? std::min(share, w.previous_cold_share)
                                      : share;
}

int AvailableCapacity(const server_window& w, micros now) {
  switch (w.phase) {
    case window_phase::kLeaving:
      return 0;
    case window_phase::kHeld:
      if (now < w.held_until || w.in_flight > 0) return 0;
      return std::min(1, ColdShare(w, now));
    case window_phase::kCold:
      if (now < w.held_until) return 0;
      return std::max(0, ColdShare(w, now) - w.in_flight);
    case window_phase::kWarming:
      return std::max(0,
                      std::min(w.limit, EffectiveShare(w, now)) - w.in_flight);
    case window_phase::kWarm:
      break;
  }
  int share = EffectiveShare(w, now);
  int limit = share > w.share ? share : std::min(w.limit, share);
  return std::max(0, limit - w.in_flight);
}

void SetShare(server_window* w, int rank, int owners, int share, micros now,
              micros raise_delay) {
  ApplyPendingShare(w, now);
  int previous_cold_share = ColdShare(*w, now);
  w->owner_rank = rank;
  w->owner_count = std::max(1, owners);
  if (ShareOfRank(w->cold_limit, rank, w->owner_count) > previous_cold_share) {
    w->previous_cold_share = previous_cold_share;
    w->cold_share_raised_at = now + raise_delay;
  }
  w->pending_share = share;
  w->pending_share_at = now + raise_delay;
  if (share < w->share) {
    w->share = share;
    w->limit = std::min(w->limit, share);
  }
}

void OnSend(server_window* w) { ++w->in_flight; }

void OnReply(server_window* w, const server_report& report, micros latency,
             micros now) {
  --w->in_flight;
  ApplyPendingShare(w, now);
  w->backoff = 0;
  w->no_response_streak = 0;
  // The reply that ends a cold phase must not grow the warming window.
  bool was_warm = IsWarmOrWarming(*w);
  if (!ApplyReport(w, report)) return;
  if (was_warm && IsWarmOrWarming(*w)) AdjustLimit(w, latency);
}

void OnRefusal(server_window* w, const server_report& report, micros now) {
  --w->in_flight;
  ApplyPendingShare(w, now);
  if (!ApplyReport(w, report) || !IsWarmOrWarming(*w)) return;
  w->limit = std::max(std::min(1, w->share), w->limit / 2);
  w->clean_replies = 0;
}

void OnConnectionFault(server_window* w, connection_fault fault, micros now) {
  --w->in_flight;
  switch (fault) {
    case connection_fault::kCrossed:
      return;
    case connection_fault::kNoResponse:
      if (w->phase == window_phase::kCold)
        w->held_until = now + kCancelNoticeDelay;
      if (++w->no_response_streak < kNoResponseStreak) return;
      w->no_response_streak = 0;
      break;
    case connection_fault::kBroken:
      if (IsWarmOrWarming(*w)) EnterWarming(w);
      return;
    case connection_fault::kRefused:
      break;
  }
  if (w->phase == window_phase::kLeaving) return;
  // Connections refused at the same time count as one event.
  if (w->phase == window_phase::kHeld && now < w->held_until) return;
  w->phase = window_phase::kHeld;
  w->backoff =
      w->backoff == 0 ? kInitialBackoff : std::min(kMaxBackoff, 2 * w->backoff);
  w->held_until = now + w->backoff;
}

void OnAttemptAbandoned(server_window* w, micros now) {
  --w->in_flight;
  if (w->phase == window_phase::kCold) w->held_until = now + kCancelNoticeDelay;
}

void OnBackInService(server_window* w, micros since_last_report) {
  if (w->phase == window_phase::kHeld) return;
  EnterCold(w);
  micros min_elapsed = std::max<micros>(0, since_last_report - kMaxReportDelay);
  if (w->stamp.boot != 0) w->stamp.uptime_ms += min_elapsed / kMillisecond;
}

void OnReport(server_window* w, report_source source,
              const server_report& report, micros now) {
  ApplyPendingShare(w, now);
  if (report.stamp < w->stamp) return;
  if (source == report_source::kHealth) {
    server_report downgraded = report;
    bool same_boot = report.stamp.boot == w->stamp.boot;
    if (!same_boot && report.state == reported_state::kReady) {
      downgraded.state = reported_state::kCold;
    }
    // A health report does not end a cold phase; wait for a reply.
    if (w->phase == window_phase::kCold &&
        report.state == reported_state::kReady && same_boot) {
      return;
    }
    if (w->phase == window_phase::kHeld && now < w->held_until) return;
    ApplyReport(w, downgraded);
    return;
  }
  ApplyReport(w, report);
}

}  // namespace baobabtray

// The in-flight window of one backend server. See window.h.

#include "tray/fleet/window.h"

#include <algorithm>

#include "tray/fleet/shares.h"

namespace baobabtray {
namespace {

// The usual latency rises by one part in this many with each reply.
constexpr micros kNormalDrift = 1024;

// Time that a report may take from the server to here.
constexpr micros kReportDelay = 20 * kMillisecond;

// The share in force at `now`, a raised one included once it is due.
int ShareAt(const server_window& w, micros now) {
  if (w.pending_share > w.share && now >= w.pending_at) return w.pending_share;
  return w.share;
}

void AdoptShare(server_window* w, micros now) {
  int share = ShareAt(*w, now);
  if (share == w->share) return;
  w->share = share;
  if (w->phase == window_phase::kWarm) w->limit = share;
}

void EnterCold(server_window* w) {
  w->phase = window_phase::kCold;
  w->clean = 0;
}

void EnterWarming(server_window* w) {
  w->phase = window_phase::kWarming;
  w->limit = 1;
  w->clean = 0;
}

// Takes in a report; returns false if it is older than what is known.
bool TakeReport(server_window* w, const server_report& report) {
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

void Grow(server_window* w) {
  if (w->limit >= w->share) {
    w->limit = w->share;
    if (w->phase == window_phase::kWarming) w->phase = window_phase::kWarm;
    return;
  }
  // Warming doubles per round trip; warm adds one per full window.
  int needed = w->phase == window_phase::kWarming ? 1 : w->limit;
  if (++w->clean < needed) return;
  w->clean = 0;
  ++w->limit;
}

void JudgeLatency(server_window* w, micros latency) {
  if (w->baseline_latency == 0 || latency < w->baseline_latency)
    w->baseline_latency = latency;
  // Drifts up slowly, so that a lasting change becomes the new normal.
  w->baseline_latency += w->baseline_latency / kNormalDrift + 1;
  if (latency <= kSlowFactor * w->baseline_latency) {
    w->slow = 0;
    Grow(w);
    return;
  }
  if (++w->slow < kSlowStreak) return;
  w->limit = std::max(std::min(1, w->share), w->limit / 2);
  w->slow = 0;
  w->clean = 0;
}

}  // namespace

bool IsWarmOrWarming(const server_window& w) {
  return w.phase == window_phase::kWarm || w.phase == window_phase::kWarming;
}

int ColdShare(const server_window& w, micros now) {
  if (w.owner_count == 0) return 0;
  int share = ShareOfRank(w.cold_limit, w.owner_rank, w.owner_count);
  return now < w.cold_share_at ? std::min(share, w.old_cold_share) : share;
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
      return std::max(0, std::min(w.limit, ShareAt(w, now)) - w.in_flight);
    case window_phase::kWarm:
      break;
  }
  int share = ShareAt(w, now);
  int limit = share > w.share ? share : std::min(w.limit, share);
  return std::max(0, limit - w.in_flight);
}

void SetShare(server_window* w, int rank, int owners, int share, micros now,
              micros settle) {
  AdoptShare(w, now);
  int old_cold_share = ColdShare(*w, now);
  w->owner_rank = rank;
  w->owner_count = std::max(1, owners);
  if (ShareOfRank(w->cold_limit, rank, w->owner_count) > old_cold_share) {
    w->old_cold_share = old_cold_share;
    w->cold_share_at = now + settle;
  }
  w->pending_share = share;
  w->pending_at = now + settle;
  if (share < w->share) {
    w->share = share;
    w->limit = std::min(w->limit, share);
  }
}

void OnSend(server_window* w) { ++w->in_flight; }

void OnReply(server_window* w, const server_report& report, micros latency,
             micros now) {
  --w->in_flight;
  AdoptShare(w, now);
  w->backoff = 0;
  w->silent = 0;
  // The reply that ends a cold phase does not count as growth of the next.
  bool was_sending = IsWarmOrWarming(*w);
  if (!TakeReport(w, report)) return;
  if (was_sending && IsWarmOrWarming(*w)) JudgeLatency(w, latency);
}

void OnRefusal(server_window* w, const server_report& report, micros now) {
  --w->in_flight;
  AdoptShare(w, now);
  if (!TakeReport(w, report) || !IsWarmOrWarming(*w)) return;
  w->limit = std::max(std::min(1, w->share), w->limit / 2);
  w->clean = 0;
}

void OnFault(server_window* w, connection_fault fault, micros now) {
  --w->in_flight;
  switch (fault) {
    case connection_fault::kCrossed:
      return;
    case connection_fault::kSilent:
      if (w->phase == window_phase::kCold) w->held_until = now + kCancelSettle;
      if (++w->silent < kSilentStreak) return;
      w->silent = 0;
      break;
    case connection_fault::kBroken:
      if (IsWarmOrWarming(*w)) EnterWarming(w);
      return;
    case connection_fault::kRefused:
      break;
  }
  if (w->phase == window_phase::kLeaving) return;
  // Several attempts that are refused at the same moment are one event.
  if (w->phase == window_phase::kHeld && now < w->held_until) return;
  w->phase = window_phase::kHeld;
  w->backoff =
      w->backoff == 0 ? kFirstBackoff : std::min(kMaxBackoff, 2 * w->backoff);
  w->held_until = now + w->backoff;
}

void OnAbandon(server_window* w, micros now) {
  --w->in_flight;
  if (w->phase == window_phase::kCold) w->held_until = now + kCancelSettle;
}

void OnReturn(server_window* w, micros unheard) {
  if (w->phase == window_phase::kHeld) return;
  EnterCold(w);
  micros certain = std::max<micros>(0, unheard - kReportDelay);
  if (w->stamp.boot != 0) w->stamp.uptime_ms += certain / kMillisecond;
}

void OnReport(server_window* w, report_source source,
              const server_report& report, micros now) {
  AdoptShare(w, now);
  if (report.stamp < w->stamp) return;
  if (source == report_source::kHealth) {
    server_report lowered = report;
    bool same_boot = report.stamp.boot == w->stamp.boot;
    if (!same_boot && report.state == reported_state::kReady) {
      lowered.state = reported_state::kCold;
    }
    // Cold and ready by the endpoint's word: wait for a reply to say so.
    if (w->phase == window_phase::kCold &&
        report.state == reported_state::kReady && same_boot) {
      return;
    }
    if (w->phase == window_phase::kHeld && now < w->held_until) return;
    TakeReport(w, lowered);
    return;
  }
  TakeReport(w, report);
}

}  // namespace baobabtray

// In-flight window: the number of requests that this host may have in flight at
// one backend server.
//
// The window never exceeds this host's share (shares.h), so the sum over all
// hosts stays within the server's connection cap and, while the server is cold,
// within its cold limit. Phases:
//
//   warm     the limit is between 1 and the share: +1 per full window of
//            replies at normal latency, halved after several consecutive
//            replies far slower than the baseline
//   cold     the limit is the share of the cold limit, often 0 or 1
//   warming  after cold: starts at 1 and grows by 1 per reply at normal latency
//   held     the server refused a connection: nothing is sent until a back-off
//            expires, then one probe within the cold share, whose reply
//            determines the next phase
//   leaving  nothing is sent
//
// A host that has just started has no reports and treats every server as cold.
// A cold phase ends only with a reply in state "ready", received by this host
// or by a peer; a health report alone never ends it. A host without a cold
// share forwards requests to a host that has one and takes the server's state
// from the forwarded reply. Growth is driven by replies and never by time
// alone, so a slow server receives additional load slowly. All functions are
// O(1).

#ifndef TRAY_FLEET_WINDOW_H_
#define TRAY_FLEET_WINDOW_H_

#include <cstdint>

#include "tray/base/enum_names.h"
#include "tray/base/time.h"
#include "tray/fleet/server_report.h"

namespace baobabtray {

enum class window_phase { kWarm, kCold, kWarming, kHeld, kLeaving };
constexpr name_table<window_phase, 5> kWindowPhaseNames = {{
    {window_phase::kWarm, "warm"},
    {window_phase::kCold, "cold"},
    {window_phase::kWarming, "warming"},
    {window_phase::kHeld, "held"},
    {window_phase::kLeaving, "leaving"},
}};

// Delay after a change of the live set before a raised share takes effect. By
// then every host has applied its lowered shares.
constexpr micros kShareRaiseDelay = 3 * kSecond;
constexpr micros kInitialBackoff = 100 * kMillisecond;
constexpr micros kMaxBackoff = 2 * kSecond;
// Ratio to the baseline latency above which a reply counts as slow.
constexpr int kSlowFactor = 4;
// Consecutive slow replies after which the limit is halved.
constexpr int kSlowStreak = 3;
// Consecutive attempts without a response after which the server enters the
// held phase.
constexpr int kNoResponseStreak = 4;

struct server_window {
  window_phase phase = window_phase::kCold;
  report_stamp stamp;     // of the newest report
  int in_flight = 0;      // invariant: 0 <= in_flight
  int limit = 0;          // while warm or warming; `share` applies as well
  int share = 0;          // of the connections, in effect
  int pending_share = 0;  // raised share, in effect from `pending_share_at`
  micros pending_share_at = 0;
  int owner_rank = -1;          // -1: not an owner
  int owner_count = 0;          // 0: shares not computed yet
  int cold_limit = 1;           // over all hosts, as configured or as reported
  int previous_cold_share = 0;  // in effect until `cold_share_raised_at`
  // When the cold share for `owner_rank` takes effect.
  micros cold_share_raised_at = 0;
  int clean_replies = 0;  // replies at normal latency since the last growth
  int slow_streak = 0;    // consecutive slow replies
  int no_response_streak = 0;  // consecutive attempts without any response byte
  micros baseline_latency = 0;  // 0: unknown
  micros backoff = 0;
  micros held_until = 0;  // while held or cold: no sends before this time
};

bool IsWarmOrWarming(const server_window& w);

// Number of further requests that may be sent at `now`.
int AvailableCapacity(const server_window& w, micros now);

// Share of the cold limit that this host holds at `now`.
int ColdShare(const server_window& w, micros now);

// Sets this host's rank and share after a change of the live set or of the
// topology. A lower share takes effect at once, a higher one at
// now + raise_delay.
void SetShare(server_window* w, int rank, int owners, int share, micros now,
              micros raise_delay);

void OnSend(server_window* w);

// A reply answered the request `latency` after it was sent.
void OnReply(server_window* w, const server_report& report, micros latency,
             micros now);

// The server refused the request, or replied with an error.
void OnRefusal(server_window* w, const server_report& report, micros now);

// A connection error. kRefused puts the server on hold. kBroken may concern
// only that connection, so the window restarts from 1 and the next replies
// decide. kCrossed (a reply with another attempt's id) says nothing about the
// server. kNoResponse puts the server on hold only after kNoResponseStreak
// consecutive occurrences.
enum class connection_fault { kRefused, kBroken, kNoResponse, kCrossed };
void OnConnectionFault(server_window* w, connection_fault fault, micros now);

// Pause before the next request to a cold server after a cancelled attempt, so
// that the server can notice the cancellation and the cold limit is not
// exceeded.
constexpr micros kCancelNoticeDelay = 50 * kMillisecond;
// The attempt was cancelled or reached its deadline, which says nothing about
// the server.
void OnAttemptAbandoned(server_window* w, micros now);

// Operators put the server back in service. It may have restarted while it was
// out of service, so it is cold until a "ready" report that was made at least
// about `since_last_report` after the newest known one.
void OnBackInService(server_window* w, micros since_last_report);

// A report from a peer or a health endpoint. A health report never ends a cold
// phase, and a "ready" one with a new boot id starts one.
void OnReport(server_window* w, report_source source,
              const server_report& report, micros now);

}  // namespace baobabtray

#endif  // TRAY_FLEET_WINDOW_H_

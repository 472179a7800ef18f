// How many requests this host may have in flight at one backend server.
//
// The window never exceeds this host's share (shares.h), so the sum over all
// hosts stays within the server's connection cap, and within what it bears
// while cold. Phases:
//
//   warm     limit moves between 1 and the share: +1 per window of clean
//   replies,
//            halved when several replies in a row are far slower than normal
//   cold     limit is the share of the cold limit, often 0 or 1
//   warming  after cold: starts at 1 and grows by 1 per clean reply
//   held     it refused a connection: nothing is sent until a back-off has
//            passed, then one probe within the cold share, whose reply decides
//   leaving  nothing is sent any more
//
// A host that has just started knows nothing and begins cold. A cold phase ends
// only by a reply that says ready, seen here or by a peer; a health report
// alone never ends it. Hosts without a cold share hand requests to one that has
// it, and learn from the answer. Growth is driven by replies, never by time
// alone, so a server that answers slowly fills slowly. All functions are O(1).

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

// A raised share takes effect this long after the live set changed, by when
// every host has lowered its own.
constexpr micros kShareSettle = 3 * kSecond;
constexpr micros kFirstBackoff = 100 * kMillisecond;
constexpr micros kMaxBackoff = 2 * kSecond;
// A reply this many times slower than normal counts as slow.
constexpr int kSlowFactor = 4;
constexpr int kSlowStreak = 3;
// Silent attempts in a row after which a server itself counts as silent.
constexpr int kSilentStreak = 4;

struct server_window {
  window_phase phase = window_phase::kCold;
  report_stamp stamp;     // newest report seen
  int in_flight = 0;      // invariant: 0 <= in_flight
  int limit = 0;          // while warm or warming; the share bounds it too
  int share = 0;          // of connections, in force
  int pending_share = 0;  // raised share, in force from `pending_at`
  micros pending_at = 0;
  int owner_rank = -1;          // among the server's owners, -1: not an owner
  int owner_count = 0;          // 0: never divided yet
  int cold_limit = 1;           // over all hosts, from the text or the server
  int old_cold_share = 0;       // in force until `cold_share_at`
  micros cold_share_at = 0;     // when the share by `rank` comes into force
  int clean = 0;                // clean replies since the last growth
  int slow = 0;                 // slow replies in a row
  int silent = 0;               // attempts in a row that got no byte back
  micros baseline_latency = 0;  // its usual latency; 0: not known yet
  micros backoff = 0;
  micros held_until = 0;  // while held or cold: nothing is sent before this
};

// True while the server is neither cold, held back nor leaving.
bool IsWarmOrWarming(const server_window& w);

// Requests that may still be sent now.
int AvailableCapacity(const server_window& w, micros now);

// Share of the cold limit that this host holds at `now`.
int ColdShare(const server_window& w, micros now);

// Sets this host's rank and share after a change of the live set or the text. A
// lower share holds at once, a higher one from now + settle on.
void SetShare(server_window* w, int rank, int owners, int share, micros now,
              micros settle);

void OnSend(server_window* w);

// A reply that answered the request, `latency` after it was sent. `load` others
// were at the server.
void OnReply(server_window* w, const server_report& report, micros latency,
             micros now);

// A refusal that says the request was not run.
void OnRefusal(server_window* w, const server_report& report, micros now);

// What went wrong with a connection. Only a refused one holds the server back:
// a broken one may be that connection's own fault, so the next reply decides; a
// crossed one says nothing about the server, and a silent one only when several
// follow each other with no reply between them.
enum class connection_fault { kRefused, kBroken, kSilent, kCrossed };
void OnFault(server_window* w, connection_fault fault, micros now);

// The attempt ended without telling anything about the server: cancelled, or
// its deadline passed. A cold server gets nothing new until it can have
// noticed.
constexpr micros kCancelSettle = 50 * kMillisecond;
void OnAbandon(server_window* w, micros now);

// The server was kept from getting work for a while, in which it may have been
// restarted: it counts as cold until a report made `unheard` or later after the
// newest one known says ready.
void OnReturn(server_window* w, micros unheard);

// A report from a peer or a health endpoint.
void OnReport(server_window* w, report_source source,
              const server_report& report, micros now);

}  // namespace baobabtray

#endif  // TRAY_FLEET_WINDOW_H_

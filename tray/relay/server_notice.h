// What a backend server says of itself in its answers: that it leaves, and that
// it wants a pause from this host. No I/O and no clock.
//
//   NoteLeaving(&notice, now);
//   NotePause(&notice, 2 * kSecond, spread, now);
//   if (now < LeaveDeadline(notice, drain_period) && !IsPaused(notice, now))
//   ...
//
// A server's word that it leaves holds until the server restarts, whatever its
// entry in the store or later answers say: either may be older. Whichever of
// entry and answers gives the earlier deadline counts.
//
// A pause is no sign of ill health. Requests to the server resume after it as
// before, on different hosts at different moments.

#ifndef TRAY_RELAY_SERVER_NOTICE_H_
#define TRAY_RELAY_SERVER_NOTICE_H_

#include <cstdint>

#include "tray/base/time.h"

namespace baobabtray {

// A longer pause counts as this one, so that no server is lost for good.
constexpr micros kMaxPause = 600 * kSecond;

constexpr micros kNoDeadline = INT64_MAX;

struct server_notice {
  micros leaving_since = 0;  // first answer that says that it leaves; 0: none
  micros paused_until = 0;
};

// Returns true for the first answer that says so.
bool NoteLeaving(server_notice* notice, micros now);
// Time until which requests may be sent, or kNoDeadline.
micros LeaveDeadline(const server_notice& notice, micros drain_period);

// The server asks for a pause of `time`. `spread`, in [0, 1), differs between
// hosts and adds up to an eighth. A shorter pause does not end a longer one.
// Returns true if no pause was in force.
bool NotePause(server_notice* notice, micros time, double spread, micros now);
bool IsPaused(const server_notice& notice, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAY_SERVER_NOTICE_H_

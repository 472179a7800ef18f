// Implementation of server notices. See server_notice.h.

#include "tray/relay/server_notice.h"

#include <algorithm>

namespace baobabtray {
namespace {

// Part of the drain period in which nothing is sent: a request takes time to
// reach the server, and may wait for a connection.
constexpr micros kLeaveMargin = 500 * kMillisecond;
constexpr double kPauseSpread = 0.125;

}  // namespace

bool NoteLeaving(server_notice* notice, micros now) {
  if (notice->leaving_since != 0) return false;
  notice->leaving_since = now;
  return true;
}

micros LeaveDeadline(const server_notice& notice, micros drain_period) {
  if (notice.leaving_since == 0) return kNoDeadline;
  return notice.leaving_since +
         std::max<micros>(0, drain_period - kLeaveMargin);
}

bool NotePause(server_notice* notice, micros time, double spread, micros now) {
  bool was_paused = IsPaused(*notice, now);
  time = std::min(time, kMaxPause);
  auto added =
      static_cast<micros>(kPauseSpread * spread * static_cast<double>(time));
  notice->paused_until = std::max(notice->paused_until, now + time + added);
  return !was_paused;
}

bool IsPaused(const server_notice& notice, micros now) {
  return now < notice.paused_until;
}

}  // namespace baobabtray

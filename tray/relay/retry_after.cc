// Choice of Retry-After. See retry_after.h.

#include "tray/relay/retry_after.h"

#include <algorithm>

namespace baobabtray {
namespace {

// Another host or server can usually serve the request at once.
constexpr micros kShortRetryAfter = 60 * kMillisecond;
// For overloaded servers: spread over the time in which queues drain, and early
// enough that the caller has time left for the retry.
constexpr micros kMaxOverloadRetryAfter = 700 * kMillisecond;
constexpr micros kOverloadRetryDivisor = 5;

}  // namespace

micros RetryAfter(const relay_request& req) {
  if (req.overloaded) {
    return std::min(kMaxOverloadRetryAfter,
                    (req.deadline - req.start) / kOverloadRetryDivisor);
  }
  bool no_servers =
      std::any_of(req.parts.begin(), req.parts.end(), [](const relay_part& p) {
        return p.given_up && p.attempts.empty() &&
               (p.last_pick == pick_result::kNoServer ||
                p.last_pick == pick_result::kLimited ||
                p.last_pick == pick_result::kPaused);
      });
  return no_servers ? kLongRetryAfter : kShortRetryAfter;
}

}  // namespace baobabtray

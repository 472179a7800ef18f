// Decisions about further attempts of a part: whether one is allowed, and when
// a reply counts as late.
//
//   if (CheckRetry(req, part) == retry_verdict::kNone) {
//     part.next_attempt_at = now + HedgeDelay(&state, route, &service, now);
//   }

#ifndef TRAY_RELAY_RETRY_H_
#define TRAY_RELAY_RETRY_H_

#include "tray/base/time.h"
#include "tray/relay/relay.h"
#include "tray/relay/servers.h"
#include "tray/routes/routes.h"

namespace baobabtray {

bool HasOpen(const relay_part& part);

// Number of attempts that may have run.
int MayHaveRun(const relay_part& part);

bool WasSent(const relay_part& part);

// Returns kNone if one more attempt of the part is allowed, else the reason.
retry_verdict CheckRetry(const relay_request& req, const relay_part& part);

// Time without a reply after which a second server is asked. This is when the
// reply is late, or earlier if the second server could otherwise not reply by
// the soft deadline, as far as the extra request budget allows.
micros HedgeDelay(relay_state* state, const route_config& route,
                  relay_service* service, micros now);

// Part of the target latency that is reserved for delays that the host does not
// see: the caller's connection setup, the network in both directions, and
// scheduling delays of the caller. `new_connection`: the request is the first
// on its connection, so that the caller has already spent a round trip on it.
micros ResponseMargin(micros target_latency, bool new_connection);

}  // namespace baobabtray

#endif  // TRAY_RELAY_RETRY_H_

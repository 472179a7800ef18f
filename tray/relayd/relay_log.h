// Log lines of relayed requests. docs/LOGS.md lists their fields.

#ifndef TRAY_RELAYD_RELAY_LOG_H_
#define TRAY_RELAYD_RELAY_LOG_H_

#include <string_view>

#include "tray/relay/ports.h"
#include "tray/relay/relay.h"

namespace baobabtray {

// A request that was never relayed. `version` of the routes, 0 if there are
// none.
void LogOwnAnswer(const caller_request& request, local_reply answer,
                  std::string_view reason, int64_t version);

// One server did not serve an attempt of a request in hand.
void LogAttempt(const caller_request& request, const relay_request& q,
                uint64_t attempt, relay_attempt_outcome end, micros now);

// A request ended. Served whole and in time it is worth a line at debug only.
void LogEnd(const caller_request& request, const relay_request& q);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_LOG_H_

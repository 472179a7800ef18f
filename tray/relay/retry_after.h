// When the caller of a rejected request may return.

#ifndef TRAY_RELAY_RETRY_AFTER_H_
#define TRAY_RELAY_RETRY_AFTER_H_

#include "tray/base/time.h"
#include "tray/relay/relay.h"

namespace baobabtray {

// Retry-After of a service without servers, or whose servers name rate limits
// that are used or want a pause, and of a host without routes. They take longer
// to recover than a busy server.
constexpr micros kLongRetryAfter = 300 * kMillisecond;

// Mean Retry-After of a request that was rejected as not run. The sender adds
// jitter, so that callers do not return at the same moment.
micros RetryAfter(const relay_request& req);

}  // namespace baobabtray

#endif  // TRAY_RELAY_RETRY_AFTER_H_

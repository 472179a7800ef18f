// Log lines of callers' requests. docs/LOGS.md lists their fields.

#ifndef TRAY_RELAYD_RELAY_LOG_H_
#define TRAY_RELAYD_RELAY_LOG_H_

#include <string_view>

#include "tray/relay/ports.h"
#include "tray/relay/relay.h"

namespace baobabtray {

// Logs a request that the host answered itself without relaying it. `version`
// is that of the routes in force, 0 if there are none.
void LogLocalReply(const caller_request& request, local_reply answer,
                   std::string_view reason, int64_t version);

// Limits the lines of one kind, so that they leave room for others.
class log_throttle {
 public:
  // Whether another line may be written at `now`.
  bool Allow(micros now);

 private:
  micros period_start_ = 0;
  int lines_ = 0;  // since period_start_
};

// Logs that a server did not serve an attempt of a request in flight.
void LogAttempt(const caller_request& request, const relay_request& q,
                uint64_t attempt, relay_attempt_outcome end, micros now);

// Logs the end of a relayed request. The level is debug if it was answered
// completely and within the route's target latency.
void LogEnd(const caller_request& request, const relay_request& q);

// Logs what a server has begun or ceased to state in its replies.
void LogServerEvent(server_event event, const relay_server& server, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_LOG_H_

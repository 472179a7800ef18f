// Dump of a relaying host's state as JSON, for operators.

#ifndef TRAY_RELAYD_RELAY_DUMP_H_
#define TRAY_RELAYD_RELAY_DUMP_H_

#include <string>

#include "tray/relay/relay.h"
#include "tray/routes/routes.h"

namespace baobabtray {

// `table` may be null. Ages in the result are in milliseconds at `now`.
std::string DumpRelayState(const relay_state& r, const route_table* table,
                           int in_flight, bool draining, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_DUMP_H_

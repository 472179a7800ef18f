// The state of a relaying host as JSON, for people.

#ifndef TRAY_RELAYD_RELAY_DUMP_H_
#define TRAY_RELAYD_RELAY_DUMP_H_

#include <string>

#include "tray/relay/relay.h"
#include "tray/routes/routes.h"

namespace baobabtray {

// `table` may be null. Ages in the result are milliseconds before `now`.
std::string DumpRelay(const relay_state& r, const route_table* table,
                      int in_hand, bool draining, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_DUMP_H_

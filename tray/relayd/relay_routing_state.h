// State by which a relaying host routes requests, and its updates by decoded
// items of the store. Not thread-safe: owned by the traffic thread.

#ifndef TRAY_RELAYD_RELAY_ROUTING_STATE_H_
#define TRAY_RELAYD_RELAY_ROUTING_STATE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tray/relay/ports.h"
#include "tray/relay/relay.h"
#include "tray/routes/routes.h"
#include "tray/text/settings.h"

namespace baobabtray {

struct relay_routing_state {
  std::string host_name;  // of this host
  relay_state relay;
  // Null until a configuration has been received. Its version never decreases.
  std::shared_ptr<const route_table> table;
  std::map<std::string, std::string> live_hosts;  // data centres by name
  int recorded_hosts = 0;  // fleet size on record in the store; 0: none
};

// Initializes the state of a host that starts at `now`.
void InitRelayRoutingState(relay_routing_state* s, const settings& own,
                           micros now);

// Applies `updates`, which must be in the store's order, and logs the changes.
void ApplyUpdates(relay_routing_state* s,
                  const std::vector<store_update>& updates, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_ROUTING_STATE_H_

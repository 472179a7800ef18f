// What a relaying host believes of the fleet, and how facts from the store
// change it. Belongs to the traffic thread.

#ifndef TRAY_RELAYD_RELAY_ROUTING_STATE_H_
#define TRAY_RELAYD_RELAY_ROUTING_STATE_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tray/relay/ports.h"
#include "tray/relay/relay.h"
#include "tray/routes/routes.h"
#include "tray/text/settings.h"

namespace baobabtray {

struct relay_routing_state {
  std::string name;  // of this host
  relay_state state;
  // Null until a configuration is known; its version never goes back.
  std::shared_ptr<const route_table> table;
  std::set<std::string> hosts;  // live ones
  int recorded_hosts = 0;       // lately at once
};

// Beliefs of a host that has just started at `now`.
void InitRelayRoutingState(relay_routing_state* b, const settings& own,
                           micros now);

// Takes facts in, in the store's order, and logs what they change.
void ApplyFacts(relay_routing_state* b, const std::vector<store_update>& facts,
                micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_ROUTING_STATE_H_

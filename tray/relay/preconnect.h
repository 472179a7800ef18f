// Selects servers to connect to before a request needs the connection.
//
//   MarkShardsUsed(&pool, *table, now);          // a new table took effect
//   UpdateConnected(&pool, is_connected, now);   // from the HTTP client
//   for (server_ref s : TakeDuePreconnects(&pool, now))  // connect to s, then
//     ...                                        // call OnProbeResult
//
// Most shards have one server nearby and the next one far away. When the near
// server pauses, a second server replies in time over an open connection, but
// late if the connection has to be made first: that takes two round trips and
// the server's handshake. Each host therefore keeps connections to two servers
// of every service in use, near ones first and then by rendezvous hashing,
// which spreads the hosts over the servers.
//
// A server's connection limit covers all hosts. If two connections per host do
// not fit into the limits of a service's servers, a host makes one ahead, and
// none if not even that fits; during kStartupPeriod it makes only one. Beyond
// two, connections are closed once they are unused for kMaxSurplusIdle: rarely
// used ones would fill the servers, and after a power loss of all hosts, while
// servers still count the old connections, hosts would find no room. At most
// kMaxPreconnectsPerRound are started per call, so that a start stalls neither
// the host nor the servers. Cost: O(servers) per call.
//
//   for (server_ref s : SurplusConnections(pool, now))  // close idle ones to s

#ifndef TRAY_RELAY_PRECONNECT_H_
#define TRAY_RELAY_PRECONNECT_H_

#include <functional>
#include <vector>

#include "tray/base/time.h"
#include "tray/relay/servers.h"
#include "tray/routes/routes.h"

namespace baobabtray {

constexpr size_t kMaxPreconnectsPerRound = 6;
// Servers per service to which a host stays connected, if they fit.
constexpr size_t kPreconnectedServers = 2;
// Outlasts the gaps between requests while a server is slow.
constexpr micros kMaxSurplusIdle = 1 * kSecond;

// Marks the services of the table's shards as in use, before the first request.
void MarkShardsUsed(relay_pool* pool, const route_table& table, micros now);

// Updates relay_server::connected for the servers of services in use.
void UpdateConnected(relay_pool* pool,
                     const std::function<bool(const endpoint&)>& is_connected,
                     micros now);

// Returns true if a service was recently requested or named by a new table.
bool HasActiveServices(const relay_pool& pool, micros now);

// Returns the servers to connect to now, and marks them as being probed.
std::vector<server_ref> TakeDuePreconnects(relay_pool* pool, micros now);

// Returns the connected servers that this host should not stay connected to.
std::vector<server_ref> SurplusConnections(const relay_pool& pool, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAY_PRECONNECT_H_

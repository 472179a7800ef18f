// Which connections to make before a request needs them.
//
//   NoteShards(&pool, *table, now);              // a version came into force
//   NoteConnections(&pool, is_connected, now);   // what the client has open
//   for (server_ref s : TakeWarmups(&pool, now)) // connect, then OnProbed
//
// A shard mostly has one near server and the next far away. Asking a second
// server when the near one pauses is in time over an open connection, and late
// if one has to be made first: two round trips and the server's handshake. So
// each host keeps connections to two servers of every service that it uses, the
// near ones first and then by rendezvous hashing, which spreads the hosts over
// the servers.
//
// Bound: servers have a limit of connections over all hosts. Nothing is made
// ready where two for each host would not fit in it, and for kStartTime after a
// start only one is kept. At most kWarmupsPerLook
// are made at once, so that a start costs neither side a stall. Cost:
// O(servers) a look.

#ifndef TRAY_RELAY_PRECONNECT_H_
#define TRAY_RELAY_PRECONNECT_H_

#include <functional>
#include <vector>

#include "tray/base/time.h"
#include "tray/relay/servers.h"
#include "tray/routes/routes.h"

namespace baobabtray {

// Connections begun in one look.
constexpr size_t kMaxPreconnectsPerRound = 6;
// Servers of each service that are kept connected.
constexpr int kPreconnectedServers = 2;

// The version's shard sets are used soon, before any request has come.
void MarkShardsUsed(relay_pool* pool, const route_table& table, micros now);

// Notes which servers of the services in use have an open connection.
void UpdateConnected(relay_pool* pool,
                     const std::function<bool(const endpoint&)>& is_connected,
                     micros now);

// True if a service was asked, or named by a new version, lately.
bool HasActiveServices(const relay_pool& pool, micros now);

// Servers to connect to now; marks them as probing.
std::vector<server_ref> TakeDuePreconnects(relay_pool* pool, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAY_PRECONNECT_H_

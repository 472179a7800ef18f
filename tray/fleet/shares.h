// Divides a backend server's capacity among the hosts without coordination.
//
// Every host ranks all live hosts for a server by rendezvous hashing, with
// hosts of the server's own data centre first. The first kMaxOwners hosts are
// the server's owners and divide the total: each gets total / owners, and the
// first total % owners get one more. Hosts that see the same live set therefore
// compute shares that sum to exactly the total. A host that is not an owner has
// no share and forwards its requests to an owner.
//
// Cost: one pass over the hosts per server. Hosts disagree briefly about the
// live set when a host joins or leaves; window.h lowers a share at once and
// raises it only after a delay, which keeps the sum bounded in the meantime.

#ifndef TRAY_FLEET_SHARES_H_
#define TRAY_FLEET_SHARES_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace baobabtray {

// Maximum owners per backend server. With no more hosts than this, every host
// is an owner of every server.
constexpr int kMaxOwners = 8;

// Hashes of one live host's names, the input of the ranking.
struct host_hashes {
  uint64_t hash = 0;         // HashOf(name)
  uint64_t data_centre = 0;  // HashOf(data centre name)
};

// Positions in `hosts` of the owners of a server, best first.
std::vector<int> OwnersOf(uint64_t server_hash, uint64_t server_data_centre,
                          std::span<const host_hashes> hosts);

// Share of `total` for the owner at `rank` (0-based) among `owners`; 0 if
// `rank` is not that of an owner.
int ShareOfRank(int total, int rank, int owners);

// Connections of a server that are divided among the hosts: the cap less a
// reserve for hosts that are being replaced and still have connections open.
int DivisibleConnections(int cap);

}  // namespace baobabtray

#endif  // TRAY_FLEET_SHARES_H_

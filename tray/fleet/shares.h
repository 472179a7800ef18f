// Divides a backend server's capacity over the hosts, without any message.
//
// Every host ranks all live hosts for a server by rendezvous hashing, hosts of
// the server's own data centre first. The first kMaxOwners are its owners and
// divide the total: each gets total / owners, and the first total % owners get
// one more. All hosts that see the same live set therefore compute shares whose
// sum is exactly the total. Hosts outside the owners hold no share and hand the
// request to an owner.
//
// Cost: one pass over the hosts per server. Views of the live set differ for a
// moment when a host comes or goes; window.h lowers a share at once and raises
// it only after a delay, so that the sum stays bounded meanwhile.

#ifndef TRAY_FLEET_SHARES_H_
#define TRAY_FLEET_SHARES_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace baobabtray {

// Owners per backend server. With no more hosts than this every host is one.
constexpr int kMaxOwners = 8;

// One live host, as ranking sees it.
struct host_hashes {
  uint64_t hash = 0;         // HashOf(name)
  uint64_t data_centre = 0;  // HashOf(data centre name)
};

// Positions in `hosts` of the owners of a server, best first.
std::vector<int> OwnersOf(uint64_t server_hash, uint64_t server_data_centre,
                          std::span<const host_hashes> hosts);

// Share of `total` held by the owner of rank `rank` among `owners`.
int ShareOfRank(int total, int rank, int owners);

// Connections of a server that hosts may divide: the cap less room for hosts
// that are just being replaced and still hold theirs.
int DivisibleConnections(int cap);

}  // namespace baobabtray

#endif  // TRAY_FLEET_SHARES_H_

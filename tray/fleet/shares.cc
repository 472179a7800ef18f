// Divides capacity by rendezvous ranking. See shares.h.

#include "tray/fleet/shares.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

struct ranked_host {
  bool local;
  uint64_t score;
  int position;
};

bool Better(const ranked_host& a, const ranked_host& b) {
  if (a.local != b.local) return a.local;
  if (a.score != b.score) return a.score > b.score;
  return a.position < b.position;
}

}  // namespace

std::vector<int> OwnersOf(uint64_t server_hash, uint64_t server_data_centre,
                          std::span<const host_hashes> hosts) {
  std::vector<ranked_host> ranked;
  ranked.reserve(hosts.size());
  for (size_t i = 0; i < hosts.size(); ++i) {
    ranked.push_back({hosts[i].data_centre == server_data_centre,
                      RendezvousScore(server_hash, hosts[i].hash),
                      static_cast<int>(i)});
  }
  size_t owners = std::min<size_t>(kMaxOwners, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + owners, ranked.end(),
                    Better);
  std::vector<int> result;
  for (size_t i = 0; i < owners; ++i) result.push_back(ranked[i].position);
  return result;
}

int ShareOfRank(int total, int rank, int owners) {
  if (rank < 0 || rank >= owners) return 0;
  return total / owners + (rank < total % owners ? 1 : 0);
}

int DivisibleConnections(int cap) {
  // One part in eight, the load of one host of eight.
  constexpr int kReservedPart = 8;
  if (cap < kReservedPart / 2) return cap;
  return cap - (cap + kReservedPart - 1) / kReservedPart;
}

}  // namespace baobabtray

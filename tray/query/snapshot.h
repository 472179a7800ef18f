// Selects the single index version from which a query is answered.
//
// Backend servers report which versions they hold and the number of shards of
// their service in each. A query is pinned to the newest version in which every
// shard of every service can be answered, otherwise to the one with the largest
// fraction of answerable shards. Coverage counts all shards of that version,
// including those that no server can answer.
//
// Cost: linear in the servers of the services involved, times the number of
// versions, which is small.

#ifndef TRAY_QUERY_SNAPSHOT_H_
#define TRAY_QUERY_SNAPSHOT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "tray/fleet/fleet.h"

namespace baobabtray {

// A shard that the answer of a query has to cover.
struct shard_target {
  int service = 0;  // position in the current topology
  int shard = 0;
};

struct snapshot {
  uint64_t version = 0;
  std::vector<shard_target> shards;
  int answerable = 0;  // number of `shards` that can be answered now
};

// Selects a version for `services`. Returns nothing if no server has reported a
// version.
std::optional<snapshot> PickSnapshot(const fleet& f,
                                     std::span<const int> services);

}  // namespace baobabtray

#endif  // TRAY_QUERY_SNAPSHOT_H_

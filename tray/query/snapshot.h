// Chooses the one index version that a query is answered from.
//
// Backend servers report which versions they hold and how their service is cut
// into shards in each. The query is pinned to the newest version of which every
// shard of every service can be answered, else to the one with most shards
// answerable. The shards that count for coverage are those of that version,
// also where no server can answer them.
//
// Cost: linear in the servers of the services touched, times the few versions.

#ifndef TRAY_QUERY_SNAPSHOT_H_
#define TRAY_QUERY_SNAPSHOT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "tray/fleet/fleet.h"

namespace baobabtray {

// One shard that an answer has to cover.
struct shard_target {
  int service = 0;  // position in the text in force
  int shard = 0;
};

struct snapshot {
  uint64_t version = 0;
  std::vector<shard_target> shards;
  int answerable = 0;  // of `shards`, as far as is known now
};

// Pins a version over `services`, or nothing if no server has reported one.
std::optional<snapshot> PickSnapshot(const fleet& f,
                                     std::span<const int> services);

}  // namespace baobabtray

#endif  // TRAY_QUERY_SNAPSHOT_H_

// Picks where one shard of a query is asked next.
//
// A replica is eligible when operators have it in service, it is not leaving,
// it reports the pinned index version with this shard, and it was not asked
// already. Among eligible replicas with room one is picked by the configured
// mode:
//
//   two_choices  two random ones of the nearest tier, the less loaded wins
//   least_wait   the smallest expected wait over all tiers
//   trace_table  running mean per replica, untried first; urgent work searches
//                all replicas, other work the nearest tier only
//
// Without room the shard waits, or goes to a peer that owns a share when this
// host holds none. Cost: linear in the replicas of the shard.

#ifndef TRAY_QUERY_REPLICA_CHOICE_H_
#define TRAY_QUERY_REPLICA_CHOICE_H_

#include <cstdint>
#include <span>

#include "tray/fleet/fleet.h"
#include "tray/text/settings.h"
#include "tray/text/topology.h"

namespace baobabtray {

enum class choice_kind {
  kDirect,    // send to `server`
  kHandOver,  // send to the peer at position `host` of fleet::hosts
  kWait,      // an eligible replica has no room now
  kNone,      // no eligible replica: `reason` says why
};

// Why a shard is missing from an answer.
enum class miss_reason {
  kLate,          // no answer by the deadline
  kRefused,       // backend servers refused it
  kUnreachable,   // no connection, or it broke
  kOutOfService,  // operators took out every replica, or all are leaving
  kVersionGone,   // no replica has the pinned index version
  kUnknown,       // sent, not confirmed, and must not be sent again
};
constexpr name_table<miss_reason, 6> kMissReasonNames = {{
    {miss_reason::kLate, "late"},
    {miss_reason::kRefused, "refused"},
    {miss_reason::kUnreachable, "unreachable"},
    {miss_reason::kOutOfService, "out_of_service"},
    {miss_reason::kVersionGone, "version_gone"},
    {miss_reason::kUnknown, "unknown"},
}};

struct choice_request {
  int service = 0;  // position in the text in force
  int shard = 0;
  uint64_t version = 0;
  priority priority_level = priority::kNormal;
  std::span<const int> asked;  // server positions not to pick
  bool may_forward = true;
  bool feed_cold = false;  // prefer a cold server with room, to warm it
  bool hedge = false;      // never towards a server that is cold or held back
  micros now = 0;
  uint64_t random = 0;
};

struct choice {
  choice_kind kind = choice_kind::kNone;
  int server = -1;
  int host = -1;
  miss_reason reason = miss_reason::kOutOfService;
};

// True if `s` reports `version` with `shard`.
bool HoldsShard(const server_state& s, uint64_t version, int shard);

choice ChooseReplica(const fleet& f, choice_mode mode,
                     const choice_request& request);

}  // namespace baobabtray

#endif  // TRAY_QUERY_REPLICA_CHOICE_H_

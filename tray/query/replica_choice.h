// Replica choice: selects where the next request for a shard is sent.
//
// A replica is eligible if operators have it in service, it is not leaving, it
// reports the pinned index version with this shard, and it is not excluded by
// the request. Among the eligible replicas with available capacity, the
// configured mode selects one:
//
//   two_choices  the less loaded of two random replicas at the nearest distance
//   least_wait   the smallest expected wait over all replicas
//   trace_table  the smallest moving average of latency, replicas without a
//                sample first; urgent requests consider all replicas, others
//                only those at the nearest distance
//
// Without available capacity the shard waits, or, if this host has no share of
// the replica, is forwarded to a peer that has one. Cost: linear in the
// replicas of the shard.

#ifndef TRAY_QUERY_REPLICA_CHOICE_H_
#define TRAY_QUERY_REPLICA_CHOICE_H_

#include <cstdint>
#include <span>

#include "tray/fleet/fleet.h"
#include "tray/text/settings.h"
#include "tray/text/topology.h"

namespace baobabtray {

enum class choice_kind {
  kDirect,   // send to `server`
  kForward,  // send to the peer `host`, which sends it to `server`
  kWait,     // an eligible replica will have capacity later
  kNone,     // no eligible replica: `reason` says why
};

// Why a shard is missing from a query's answer.
enum class miss_reason {
  kLate,          // no answer by the deadline
  kRefused,       // backend servers refused it
  kUnreachable,   // no connection, or the connection failed
  kOutOfService,  // all replicas are out of service or leaving
  kVersionGone,   // no replica has the pinned index version
  kUnknown,       // may have run, and is not idempotent, so it is not retried
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
  int service = 0;  // position in the current topology
  int shard = 0;
  uint64_t version = 0;
  priority priority_level = priority::kNormal;
  std::span<const int> excluded;  // positions of servers not to select
  bool may_forward = true;
  bool prefer_cold = false;  // to warm up a cold server with capacity
  bool hedge = false;        // only warm and warming servers are eligible
  micros now = 0;
  uint64_t random = 0;
};

struct choice {
  choice_kind kind = choice_kind::kNone;
  int server = -1;  // position in the current topology
  int host = -1;    // position in fleet::hosts
  miss_reason reason = miss_reason::kOutOfService;
};

// True if `s` reports that it holds `shard` in `version`.
bool HoldsShard(const server_state& s, uint64_t version, int shard);

choice ChooseReplica(const fleet& f, choice_mode mode,
                     const choice_request& request);

}  // namespace baobabtray

#endif  // TRAY_QUERY_REPLICA_CHOICE_H_

// Hedging: when a shard request without an answer is also sent to another
// replica.
//
// Two modes, compared in docs/design/hedging.md:
//
//   quantile  hedges every shard whose attempt is older than the 95th
//             percentile of its service
//   last_few  hedges only when few shards of the query are unanswered, at 8/5
//             of the 85th percentile. A query is as slow as its slowest shard,
//             so the budget is spent where one hedge can complete the query. A
//             hedge that is late itself is followed by another after a shorter
//             delay, because the query has already waited twice.
//
// Both withdraw from the budget of the queried service. A query with more than
// kMaxShardsWithoutReserve unanswered shards is hedged only while a fifth of
// the budget is left: hedging only some of its late shards costs tokens and
// does not make the query faster.

#ifndef TRAY_FLEET_HEDGE_H_
#define TRAY_FLEET_HEDGE_H_

#include "tray/base/time.h"
#include "tray/fleet/budget.h"
#include "tray/fleet/latency.h"
#include "tray/text/settings.h"

namespace baobabtray {

// Cap of a service's hedge budget on one host. Tokens saved in normal operation
// pay for hedges during an incident; the cap bounds the burst.
constexpr double kMaxHedgeTokens = 50;

// Unanswered shards of a query up to which its hedges need no reserve.
constexpr int kMaxShardsWithoutReserve = 2;
// Unanswered shards from which on a small query is not hedged in mode last_few.
constexpr int kMinHedgeShardLimit = 4;

// Age of the last attempt at which a shard may be hedged, after `attempts_sent`
// attempts. At least 1 ms.
micros HedgeDelay(hedge_mode mode, const latency_histogram& latency,
                  int attempts_sent);

// True if a query of `total` shards, `unanswered` of them without an answer,
// may be hedged.
bool MayHedge(hedge_mode mode, int total, int unanswered);

// Withdraws a token for a hedge of a query with `unanswered` shards without an
// answer. Returns false if the budget does not allow it.
bool TryWithdrawHedge(budget* b, int unanswered);

// Age at which an attempt without any response byte is abandoned and its
// connection closed.
micros NoResponseTimeout(const latency_histogram& latency);

}  // namespace baobabtray

#endif  // TRAY_FLEET_HEDGE_H_

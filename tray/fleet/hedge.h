// When an unanswered shard is asked a second time, on another replica.
//
// Two ways, measured against each other in docs/design/hedging.md:
//
//   quantile  every shard that is older than the 95th percentile of its service
//   last_few  only when few shards of the query are unanswered, at 8/5 of the
//   85th
//             percentile: a query is as slow as its last shard, so the budget
//             goes where one hedge still saves the whole query. A hedge that is
//             late in turn is doubted sooner, for by then the query has waited
//             twice.
//
// Both spend from the budget of the service that was queried. A query with more
// than kFewShards open is hedged only while a fifth of the budget is left:
// hedging some of its late shards would cost and not make it faster.

#ifndef TRAY_FLEET_HEDGE_H_
#define TRAY_FLEET_HEDGE_H_

#include "tray/base/time.h"
#include "tray/fleet/budget.h"
#include "tray/fleet/latency.h"
#include "tray/text/settings.h"

namespace baobabtray {

// Hedges a service may store up on one host: what quiet times have left over
// pays for bad ones, and this bounds the burst.
constexpr double kMaxHedgeTokens = 50;

// Open shards of one query whose hedges need no reserve.
constexpr int kFewShards = 2;
// Open shards from which on a small query is not hedged at all.
constexpr int kManyShards = 4;

// Age of the last attempt from which a shard may be hedged, when `sent`
// attempts were made for it; never below 1 ms.
micros HedgeDelay(hedge_mode mode, const latency_histogram& latency, int sent);

// True if a query with `unanswered` of `total` shards open may hedge.
bool MayHedge(hedge_mode mode, int total, int unanswered);

// Takes a hedge from the budget for a query with `unanswered` shards open.
bool SpendHedge(budget* b, int unanswered);

// Age at which an attempt without a single byte back is given up and its
// connection closed.
micros SilenceBound(const latency_histogram& latency);

}  // namespace baobabtray

#endif  // TRAY_FLEET_HEDGE_H_

// When an unanswered shard is asked a second time, on another replica.
//
// Two ways, measured against each other in docs/design/hedging.md:
//
//   quantile  every shard that is older than the 95th percentile of its service
//   last_few  only when few shards of the query are unanswered, but then
//   already
//             at twice the median: a query is as slow as its last shard, so the
//             budget goes where one hedge still saves the whole query
//
// Both spend from a budget per service. A query with many shards still open may
// only use the upper half of the budget.

#ifndef TRAY_HEDGE_H_
#define TRAY_HEDGE_H_

#include "tray/budget.h"
#include "tray/latency.h"
#include "tray/settings.h"
#include "tray/time.h"

namespace baobabtray {

// Hedges a service may store up; bounds a burst of them.
constexpr double kMaxHedgeTokens = 20;

// Age from which a shard may be hedged; never below 1 ms.
micros HedgeDelay(hedge_mode mode, const latency_track& latency);

// True if a query with `unanswered` of `total` shards open may hedge.
bool MayHedge(hedge_mode mode, int total, int unanswered);

// Takes a hedge from the budget, leaving more behind when several shards are
// still open.
bool SpendHedge(budget* b, int unanswered);

// Age at which an attempt without a single byte back is given up and its
// connection closed.
micros SilenceBound(const latency_track& latency);

}  // namespace baobabtray

#endif  // TRAY_HEDGE_H_

// Hedging decisions. See hedge.h.

#include "tray/fleet/hedge.h"

#include <algorithm>

namespace baobabtray {
namespace {

constexpr micros kDefaultLatency = 20 * kMillisecond;
constexpr micros kMinHedgeDelay = 1 * kMillisecond;
constexpr micros kMinNoResponseTimeout = 40 * kMillisecond;
// Slow replies take up to ten times the median; the time-out is beyond that.
constexpr int kNoResponseMedianFactor = 12;
// A large query is hedged while fewer than 1 / kHedgeShardDivisor of its shards
// are unanswered.
constexpr int kHedgeShardDivisor = 10;

}  // namespace

micros HedgeDelay(hedge_mode mode, const latency_histogram& latency,
                  int attempts_sent) {
  micros p85 = P85Of(latency, kDefaultLatency / 2);
  micros delay = attempts_sent <= 1 ? p85 * 8 / 5 : p85 * 5 / 4;
  if (mode == hedge_mode::kQuantile) delay = P95Of(latency, kDefaultLatency);
  return std::max(delay, kMinHedgeDelay);
}

bool MayHedge(hedge_mode mode, int total, int unanswered) {
  switch (mode) {
    case hedge_mode::kOff:
      return false;
    case hedge_mode::kQuantile:
      return true;
    case hedge_mode::kLastFew:
      break;
  }
  return unanswered < std::max(kMinHedgeShardLimit, total / kHedgeShardDivisor);
}

bool TryWithdrawHedge(budget* b, int unanswered) {
  if (unanswered <= kMaxShardsWithoutReserve) return TryWithdraw(b);
  return TryWithdraw(b, b->max_tokens / 5);
}

micros NoResponseTimeout(const latency_histogram& latency) {
  micros median = MedianOf(latency, kDefaultLatency / 2);
  return std::max(kNoResponseMedianFactor * median, kMinNoResponseTimeout);
}

}  // namespace baobabtray

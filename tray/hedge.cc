// Hedging decisions. See hedge.h.

#include "tray/hedge.h"

#include <algorithm>

namespace baobabtray {
namespace {

constexpr micros kUnknownLatency = 20 * kMillisecond;
constexpr micros kLeastHedgeDelay = 1 * kMillisecond;
constexpr micros kLeastSilence = 40 * kMillisecond;
// Slow replies are expected up to ten times the median; silence begins beyond.
constexpr int kSilenceFactor = 12;
// Open shards of one query that count as "few", per shards in all.
constexpr int kFewPart = 10;

}  // namespace

micros HedgeDelay(hedge_mode mode, const latency_track& latency) {
  micros delay = mode == hedge_mode::kQuantile
                     ? P95Of(latency, kUnknownLatency)
                     : 2 * MedianOf(latency, kUnknownLatency / 2);
  return std::max(delay, kLeastHedgeDelay);
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
  return unanswered <= std::max(2, total / kFewPart);
}

bool SpendHedge(budget* b, int unanswered) {
  return Spend(b, unanswered > 1 ? b->most / 2 : 0);
}

micros SilenceBound(const latency_track& latency) {
  micros median = MedianOf(latency, kUnknownLatency / 2);
  return std::max(kSilenceFactor * median, kLeastSilence);
}

}  // namespace baobabtray

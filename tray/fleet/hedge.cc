// Hedging decisions. See hedge.h.

#include "tray/fleet/hedge.h"

#include <algorithm>

namespace baobabtray {
namespace {

constexpr micros kUnknownLatency = 20 * kMillisecond;
constexpr micros kLeastHedgeDelay = 1 * kMillisecond;
constexpr micros kLeastSilence = 40 * kMillisecond;
// Slow replies are expected up to ten times the median; silence begins beyond.
constexpr int kSilenceFactor = 12;
// Of a large query one shard in this many may be open.
constexpr int kFewPart = 10;

}  // namespace

micros HedgeDelay(hedge_mode mode, const latency_histogram& latency, int sent) {
  micros usual = P85Of(latency, kUnknownLatency / 2);
  micros delay = sent <= 1 ? usual * 8 / 5 : usual * 5 / 4;
  if (mode == hedge_mode::kQuantile) delay = P95Of(latency, kUnknownLatency);
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
  return unanswered < std::max(kManyShards, total / kFewPart);
}

bool SpendHedge(budget* b, int unanswered) {
  if (unanswered <= kFewShards) return Spend(b);
  return Spend(b, b->most / 5);
}

micros SilenceBound(const latency_histogram& latency) {
  micros median = MedianOf(latency, kUnknownLatency / 2);
  return std::max(kSilenceFactor * median, kLeastSilence);
}

}  // namespace baobabtray

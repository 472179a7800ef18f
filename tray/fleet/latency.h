// Recent latencies as a decaying histogram with logarithmic buckets.
//
// Quantiles rather than a mean and deviation: with one reply in twenty ten
// times slower, mean plus four deviations lies beyond the slow replies and a
// hedge set there comes too late. 130 bytes. Adding is O(1) amortised: the two
// quantiles that are used are recomputed every kRefresh values. They are exact
// to within a quarter.

#ifndef TRAY_FLEET_LATENCY_H_
#define TRAY_FLEET_LATENCY_H_

#include <array>
#include <cstdint>

#include "tray/base/time.h"

namespace baobabtray {

// Values after which the quantiles are recomputed.
constexpr int kRefresh = 16;
// Values without which the quantiles count as unknown.
constexpr int kMinSamples = 8;

struct latency_histogram {
  static constexpr int kBuckets = 112;
  static constexpr int kDecayAt = 1024;  // halve all counts at this total
  std::array<uint16_t, kBuckets> counts = {};
  int total = 0;
  int since_refresh = 0;
  micros median = 0;  // 0: not known yet
  micros p85 = 0;     // 0: not known yet
  micros p95 = 0;     // 0: not known yet
};

void RecordLatency(latency_histogram* track, micros latency);

// Recent latencies' quantiles, or `fallback` while too few are known.
micros MedianOf(const latency_histogram& track, micros fallback);
micros P85Of(const latency_histogram& track, micros fallback);
micros P95Of(const latency_histogram& track, micros fallback);
// Any quantile, from 0 to 1; O(kBuckets).
micros QuantileOf(const latency_histogram& track, double q, micros fallback);

}  // namespace baobabtray

#endif  // TRAY_FLEET_LATENCY_H_

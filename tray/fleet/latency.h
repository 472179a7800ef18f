// Recent latencies as a decaying histogram with logarithmic buckets.
//
// Quantiles are used rather than mean and standard deviation: if one reply in
// twenty is ten times slower, mean plus four deviations lies beyond the slow
// replies, and a hedge sent at that time is too late. Recording is O(1)
// amortised: the cached quantiles are recomputed every kQuantileRefreshInterval
// samples. They are accurate to within 25%. Size: 256 bytes.

#ifndef TRAY_FLEET_LATENCY_H_
#define TRAY_FLEET_LATENCY_H_

#include <array>
#include <cstdint>

#include "tray/base/time.h"

namespace baobabtray {

// Samples between two updates of the cached quantiles.
constexpr int kQuantileRefreshInterval = 16;
// Samples below which the quantiles are unknown.
constexpr int kMinSamples = 8;

struct latency_histogram {
  static constexpr int kBuckets = 112;
  // `total` at which all counts are halved.
  static constexpr int kDecayThreshold = 1024;
  std::array<uint16_t, kBuckets> counts = {};
  int total = 0;
  int samples_since_refresh = 0;
  micros median = 0;  // 0: unknown
  micros p85 = 0;     // 0: unknown
  micros p95 = 0;     // 0: unknown
};

void RecordLatency(latency_histogram* histogram, micros latency);

// Cached quantiles, or `fallback` with fewer than kMinSamples samples.
micros MedianOf(const latency_histogram& histogram, micros fallback);
micros P85Of(const latency_histogram& histogram, micros fallback);
micros P95Of(const latency_histogram& histogram, micros fallback);
// The quantile `q` in [0, 1], computed in O(kBuckets), or `fallback`.
micros QuantileOf(const latency_histogram& histogram, double q,
                  micros fallback);

}  // namespace baobabtray

#endif  // TRAY_FLEET_LATENCY_H_

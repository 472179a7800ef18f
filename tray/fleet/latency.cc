// Decaying latency histogram. See latency.h.

#include "tray/fleet/latency.h"

#include <algorithm>

namespace baobabtray {
namespace {

constexpr micros kFirstEdge = 100;         // upper edge of the first bucket
constexpr double kEdgeGrowthFactor = 1.1;  // ratio of successive bucket edges

// Upper edges of the buckets, in microseconds.
const std::array<micros, latency_histogram::kBuckets>& Edges() {
  static const auto kEdges = [] {
    std::array<micros, latency_histogram::kBuckets> edges;
    double edge = kFirstEdge;
    for (micros& e : edges) {
      e = static_cast<micros>(edge);
      edge *= kEdgeGrowthFactor;
    }
    return edges;
  }();
  return kEdges;
}

void Decay(latency_histogram* histogram) {
  histogram->total = 0;
  for (uint16_t& count : histogram->counts) {
    count /= 2;
    histogram->total += count;
  }
}

// Upper edge of the bucket that contains the quantile `q`.
micros Quantile(const latency_histogram& histogram, double q) {
  int target = static_cast<int>(q * histogram.total);
  int cumulative = 0;
  for (int i = 0; i < latency_histogram::kBuckets; ++i) {
    cumulative += histogram.counts[i];
    if (cumulative > target) return Edges()[i];
  }
  return Edges().back();
}

void RefreshQuantiles(latency_histogram* histogram) {
  histogram->samples_since_refresh = 0;
  histogram->median = Quantile(*histogram, 0.5);
  histogram->p85 = Quantile(*histogram, 0.85);
  histogram->p95 = Quantile(*histogram, 0.95);
}

}  // namespace

void RecordLatency(latency_histogram* histogram, micros latency) {
  const auto& edges = Edges();
  auto at = std::lower_bound(edges.begin(), edges.end() - 1, latency);
  ++histogram->counts[at - edges.begin()];
  if (++histogram->total >= latency_histogram::kDecayThreshold)
    Decay(histogram);
  if (++histogram->samples_since_refresh >= kQuantileRefreshInterval ||
      histogram->total == kMinSamples) {
    RefreshQuantiles(histogram);
  }
}

micros MedianOf(const latency_histogram& histogram, micros fallback) {
  return histogram.median == 0 ? fallback : histogram.median;
}

micros P85Of(const latency_histogram& histogram, micros fallback) {
  return histogram.p85 == 0 ? fallback : histogram.p85;
}

micros P95Of(const latency_histogram& histogram, micros fallback) {
  return histogram.p95 == 0 ? fallback : histogram.p95;
}

micros QuantileOf(const latency_histogram& histogram, double q,
                  micros fallback) {
  return histogram.total < kMinSamples ? fallback : Quantile(histogram, q);
}

}  // namespace baobabtray

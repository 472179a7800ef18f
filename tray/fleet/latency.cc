// Decaying latency histogram. See latency.h.

#include "tray/fleet/latency.h"

#include <algorithm>

namespace baobabtray {
namespace {

constexpr micros kLowest = 100;  // upper edge of the first bucket
constexpr double kGrowth = 1.1;  // from one bucket's edge to the next

// Upper edges of the buckets, in microseconds.
const std::array<micros, latency_histogram::kBuckets>& Edges() {
  static const auto kEdges = [] {
    std::array<micros, latency_histogram::kBuckets> edges;
    double edge = kLowest;
    for (micros& e : edges) {
      e = static_cast<micros>(edge);
      edge *= kGrowth;
    }
    return edges;
  }();
  return kEdges;
}

void Decay(latency_histogram* track) {
  track->total = 0;
  for (uint16_t& count : track->counts) {
    count /= 2;
    track->total += count;
  }
}

// The upper edge of the bucket in which the quantile `q` lies.
micros Quantile(const latency_histogram& track, double q) {
  int wanted = static_cast<int>(q * track.total);
  int seen = 0;
  for (int i = 0; i < latency_histogram::kBuckets; ++i) {
    seen += track.counts[i];
    if (seen > wanted) return Edges()[i];
  }
  return Edges().back();
}

void Refresh(latency_histogram* track) {
  track->since_refresh = 0;
  track->median = Quantile(*track, 0.5);
  track->p85 = Quantile(*track, 0.85);
  track->p95 = Quantile(*track, 0.95);
}

}  // namespace

void RecordLatency(latency_histogram* track, micros latency) {
  const auto& edges = Edges();
  auto at = std::lower_bound(edges.begin(), edges.end() - 1, latency);
  ++track->counts[at - edges.begin()];
  if (++track->total >= latency_histogram::kDecayAt) Decay(track);
  if (++track->since_refresh >= kRefresh || track->total == kMinSamples) {
    Refresh(track);
  }
}

micros MedianOf(const latency_histogram& track, micros fallback) {
  return track.median == 0 ? fallback : track.median;
}

micros P85Of(const latency_histogram& track, micros fallback) {
  return track.p85 == 0 ? fallback : track.p85;
}

micros P95Of(const latency_histogram& track, micros fallback) {
  return track.p95 == 0 ? fallback : track.p95;
}

micros QuantileOf(const latency_histogram& track, double q, micros fallback) {
  return track.total < kMinSamples ? fallback : Quantile(track, q);
}

}  // namespace baobabtray

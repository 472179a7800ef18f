// Weights of servers. See balance.h.

#include "tray/relay/balance.h"

#include <algorithm>
#include <cmath>

namespace baobabtray {
namespace {

// Half-life of a reported slowdown. Machines change several times a second.
constexpr micros kSlowdownHalfLife = 200 * kMillisecond;
constexpr double kMaxFactor = 5;
// Uncertainty of an expected latency as a part of the server's time of work:
// with a reply that has just arrived, and with an old one. The first is not 0,
// since several hosts receive replies at the same moment.
constexpr double kFreshUncertainty = 0.1;
constexpr double kOldUncertainty = 0.5;
// Half-life of the knowledge in a reply.
constexpr micros kReplyHalfLife = 100 * kMillisecond;

double Remaining(micros age, micros half_life) {
  return std::exp2(-static_cast<double>(std::max<micros>(0, age)) /
                   static_cast<double>(half_life));
}

// As a part of the time of work.
double UncertaintyOf(micros reply_age) {
  double fresh = Remaining(reply_age, kReplyHalfLife);
  return kOldUncertainty + (kFreshUncertainty - kOldUncertainty) * fresh;
}

}  // namespace

void RecordSlowdown(server_slowdown* slowdown, double reported, micros now) {
  slowdown->mean =
      slowdown->updated_at == 0
          ? reported
          : slowdown->mean + (reported - slowdown->mean) / kMeanDivisor;
  slowdown->reported = reported;
  slowdown->updated_at = now;
}

double SlowdownFactor(const server_slowdown& slowdown, micros now) {
  if (slowdown.updated_at == 0 || slowdown.mean <= 0) return 1;
  double remaining = Remaining(now - slowdown.updated_at, kSlowdownHalfLife);
  double factor = (1 + (slowdown.reported - 1) * remaining) / slowdown.mean;
  return std::clamp(factor, 1 / kMaxFactor, kMaxFactor);
}

void BalanceWeights(std::span<const server_estimate> servers,
                    std::span<double> weights) {
  if (servers.empty()) return;
  const server_estimate& best =
      *std::min_element(servers.begin(), servers.end(),
                        [](const server_estimate& a, const server_estimate& b) {
                          return a.latency < b.latency;
                        });
  for (size_t i = 0; i < servers.size(); ++i) {
    double level =
        static_cast<double>(best.work) * UncertaintyOf(servers[i].reply_age);
    auto above = static_cast<double>(servers[i].latency - best.latency);
    weights[i] = std::max(0.0, level - above);
  }
}

size_t ChooseByWeight(std::span<const double> weights, uint64_t random) {
  double sum = 0;
  for (double w : weights) sum += w;
  constexpr int kMantissaBits = 53;
  double left =
      sum * std::ldexp(static_cast<double>(random >> (64 - kMantissaBits)),
                       -kMantissaBits);
  size_t last = 0;  // positive weight, in case that rounding leaves a rest
  for (size_t i = 0; i < weights.size(); ++i) {
    if (weights[i] <= 0) continue;
    last = i;
    if (left < weights[i]) return i;
    left -= weights[i];
  }
  return last;
}

}  // namespace baobabtray

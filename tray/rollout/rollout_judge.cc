// The test of a version's answers. See rollout_judge.h.

#include "tray/rollout/rollout_judge.h"

#include <algorithm>
#include <cmath>

namespace baobabtray {
namespace {

// An answer this many ranges above the median is slow: 2 to 2.8 times as long.
constexpr int kSlowBuckets = 3;
// Fewer answers of other versions are no basis.
constexpr int64_t kMinBasis = 20;
// Added to the time that makes an answer slow if the other versions have no
// servers as far away: more than a round trip between regions.
constexpr micros kDistanceAllowance = 40 * kMillisecond;
// The other versions' fraction of bad answers is raised by a factor and by an
// offset, since servers of one version differ too.
constexpr double kFractionFactor = 1.5;
constexpr double kFractionOffset = 0.01;
constexpr double kMaxFraction = 0.9;

struct tally {
  int64_t answers = 0;
  int64_t bad = 0;
};

void Add(tally* sum, const tally& t) {
  sum->answers += t.answers;
  sum->bad += t.bad;
}

int64_t Timed(const answer_counts& c) {
  int64_t n = 0;
  for (int64_t count : c.latency) n += count;
  return n;
}

// Range of the median; kRolloutBuckets if there are too few answers.
int MedianBucket(const answer_counts& c) {
  int64_t n = Timed(c);
  if (n < kMinBasis) return kRolloutBuckets;
  int64_t below = 0;
  for (int i = 0; i < kRolloutBuckets; ++i) {
    below += c.latency[i];
    if (2 * below >= n) return i;
  }
  return kRolloutBuckets;
}

void Accumulate(answer_counts* to, const answer_counts& from, int sign) {
  auto add = [&](int64_t* count, int64_t n) {
    *count = std::max<int64_t>(0, *count + sign * n);
  };
  add(&to->failures, from.failures);
  add(&to->untimed, from.untimed);
  for (int i = 0; i < kRolloutBuckets; ++i)
    add(&to->latency[i], from.latency[i]);
}

answer_counts SumOf(const route_answers& route) {
  answer_counts sum;
  for (const answer_counts& c : route.others) Accumulate(&sum, c, 1);
  return sum;
}

// Lower bound of latency range `bucket`.
micros LatencyOf(int bucket) {
  return static_cast<micros>(std::exp2(bucket / 2.0) * kMillisecond);
}

// First range of slow answers at a distance; kRolloutBuckets: unknown.
int SlowFrom(const route_answers& basis, int distance) {
  int median = MedianBucket(basis.others[distance]);
  if (median < kRolloutBuckets)
    return std::min(kRolloutBuckets, median + kSlowBuckets);
  median = MedianBucket(SumOf(basis));
  if (median == kRolloutBuckets) return kRolloutBuckets;
  return 1 +
         RolloutBucket(LatencyOf(median + kSlowBuckets) + kDistanceAllowance);
}

tally Failures(const answer_counts& c) {
  return {.answers = Timed(c) + c.untimed + c.failures, .bad = c.failures};
}

tally FailuresAndSlow(const answer_counts& c, int slow_from) {
  tally t{.answers = Timed(c) + c.failures, .bad = c.failures};
  for (int i = slow_from; i < kRolloutBuckets; ++i) t.bad += c.latency[i];
  return t;
}

struct comparison {
  tally others;
  std::map<std::string, tally> target;  // by server
};

void Add(comparison* sum, const comparison& c) {
  Add(&sum->others, c.others);
  for (const auto& [server, t] : c.target) Add(&sum->target[server], t);
}

version_verdict Verdict(const comparison& c) {
  double others = c.others.answers == 0
                      ? 0
                      : static_cast<double>(c.others.bad) /
                            static_cast<double>(c.others.answers);
  double expected =
      std::min(kMaxFraction, kFractionFactor * others + kFractionOffset);
  tally all;
  tally worst;
  int servers = 0;
  for (const auto& [server, t] : c.target) {
    if (t.answers == 0) continue;
    ++servers;
    Add(&all, t);
    if (t.bad > worst.bad) worst = t;
  }
  double chance = ChanceOfAtLeast(all.bad, all.answers, expected);
  if (chance >= kSuspectChance) return version_verdict::kGood;
  double excess = static_cast<double>(all.bad) -
                  expected * static_cast<double>(all.answers);
  double of_rest = servers <= 1 || excess >= kCertainBad
                       ? 0
                       : ChanceOfAtLeast(all.bad - worst.bad,
                                         all.answers - worst.answers, expected);
  if (chance < kMaxChance && of_rest < kMaxChanceOfRest)
    return version_verdict::kBad;
  return of_rest < kSuspectChance ? version_verdict::kSuspect
                                  : version_verdict::kGood;
}

// The others' answers in `sums`, or in `baseline` if they are too few.
const route_answers& BasisOf(const std::string& route,
                             const route_answers& in_sums,
                             const answer_sums& baseline) {
  if (Failures(SumOf(in_sums)).answers >= kMinBasis) return in_sums;
  auto found = baseline.find(route);
  return found == baseline.end() ? in_sums : found->second;
}

}  // namespace

void AddReport(answer_sums* sums, const rollout_report& report) {
  for (const answer_row& row : report.rows) {
    route_answers& route = (*sums)[row.route];
    Accumulate(row.is_target ? &route.target[row.distance][row.server]
                             : &route.others[row.distance],
               row.counts, 1);
  }
}

answer_sums Difference(const answer_sums& sums, const answer_sums& earlier) {
  answer_sums difference = sums;
  for (const auto& [name, before] : earlier) {
    auto route = difference.find(name);
    if (route == difference.end()) continue;
    for (int d = 0; d < kRolloutDistances; ++d) {
      Accumulate(&route->second.others[d], before.others[d], -1);
      for (const auto& [server, counts] : before.target[d]) {
        auto now = route->second.target[d].find(server);
        if (now != route->second.target[d].end())
          Accumulate(&now->second, counts, -1);
      }
    }
  }
  return difference;
}

double ChanceOfAtLeast(int64_t hits, int64_t n, double p) {
  if (hits <= 0) return 1;
  if (hits > n || p <= 0) return 0;
  if (p >= 1) return 1;
  auto count = static_cast<double>(n);
  // Below the mean the chance is not small; above it the terms fall.
  if (static_cast<double>(hits) <= p * count) return 1;
  double sum = 0;
  for (int64_t k = hits; k <= n; ++k) {
    auto d = static_cast<double>(k);
    double term = std::exp(std::lgamma(count + 1) - std::lgamma(d + 1) -
                           std::lgamma(count - d + 1) + d * std::log(p) +
                           (count - d) * std::log1p(-p));
    sum += term;
    if (term <= sum * 1e-6) break;
  }
  return std::min(1.0, sum);
}

version_verdict JudgeVersion(const answer_sums& sums,
                             const answer_sums& baseline, int64_t min_answers) {
  comparison all_failures;
  comparison all_bad;
  version_verdict worst = version_verdict::kGood;
  int64_t answers = 0;
  for (const auto& [name, route] : sums) {
    const route_answers& basis = BasisOf(name, route, baseline);
    comparison failures;
    comparison bad;
    for (int d = 0; d < kRolloutDistances; ++d) {
      int slow_from = SlowFrom(basis, d);
      Add(&failures.others, Failures(basis.others[d]));
      Add(&bad.others, FailuresAndSlow(basis.others[d], slow_from));
      for (const auto& [server, counts] : route.target[d]) {
        tally t = Failures(counts);
        answers += t.answers;
        Add(&failures.target[server], t);
        Add(&bad.target[server], FailuresAndSlow(counts, slow_from));
      }
    }
    worst = std::max({worst, Verdict(failures), Verdict(bad)});
    Add(&all_failures, failures);
    Add(&all_bad, bad);
  }
  worst = std::max({worst, Verdict(all_failures), Verdict(all_bad)});
  return worst == version_verdict::kGood && answers < min_answers
             ? version_verdict::kUnknown
             : worst;
}

}  // namespace baobabtray

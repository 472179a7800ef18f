// Tells a bad version from a good one by answers.
//
//   answer_sums sums;
//   AddReport(&sums, report);                 // of each host
//   if (JudgeVersion(sums, sums, 12) == version_verdict::kBad) ...
//
// An answer is bad if it is a failure, or if it took about twice the median
// time or more that other versions took on the same route, from servers as far
// away. The target version is bad if, on one route or on all, so many of its
// answers are bad that chance explains them with a probability below
// kMaxChance, given the fraction of bad answers that the other versions had in
// the same period. Trouble that hits both versions therefore is none of the
// target's. Where several of its servers have answered, this must hold for
// kMaxChanceOfRest without the worst of them, which may be a bad server of a
// good version, until kCertainBad answers are bad beyond what was to be
// expected.
//
// Cost: linear in the rows.

#ifndef TRAY_ROLLOUT_ROLLOUT_JUDGE_H_
#define TRAY_ROLLOUT_ROLLOUT_JUDGE_H_

#include <array>
#include <map>
#include <string>

#include "tray/rollout/rollout.h"

namespace baobabtray {

constexpr double kMaxChance = 1e-4;
// The same without the worst server.
constexpr double kMaxChanceOfRest = 1e-3;
constexpr double kSuspectChance = 1e-2;  // with and without the worst server
constexpr double kCertainBad = 30;

// Sums of all hosts' rows on one route, by distance.
struct route_answers {
  std::array<answer_counts, kRolloutDistances> others;
  std::array<std::map<std::string, answer_counts>, kRolloutDistances>
      target;  // by server
};
using answer_sums = std::map<std::string, route_answers>;  // by route

void AddReport(answer_sums* sums, const rollout_report& report);
// What was added to `earlier` to make `sums`. A count that fell, since a host
// was started anew, counts as none.
answer_sums Difference(const answer_sums& sums, const answer_sums& earlier);

// Probability of at least `hits` among `n` if each has probability `p`; 1 if
// that is no more than the mean.
double ChanceOfAtLeast(int64_t hits, int64_t n, double p);

enum class version_verdict {
  kUnknown,  // too few answers
  kGood,
  kSuspect,  // may be bad, by more than one server's answers
  kBad,
};

// Judges the target version's answers in `sums`. Where too few answers of other
// versions are in `sums`, they are compared with those in `baseline`, of a
// longer period. `min_answers`: of the target version, for kGood.
version_verdict JudgeVersion(const answer_sums& sums,
                             const answer_sums& baseline, int64_t min_answers);

}  // namespace baobabtray

#endif  // TRAY_ROLLOUT_ROLLOUT_JUDGE_H_

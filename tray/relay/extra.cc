// Sliding-window counts of first and extra requests. See extra.h.

#include "tray/relay/extra.h"

#include <algorithm>
#include <numeric>

namespace baobabtray {
namespace {

// Fraction of the limit that is used. A request may arrive at its server in a
// later window than the one in which this host counted it.
constexpr double kUsableFraction = 0.85;

// Clears the slices that have passed since the last call.
void Advance(extra_budget* budget, const extra_limits& limits, micros now) {
  int64_t slice = now / (limits.window / (extra_budget::kSlices - 1));
  int64_t passed =
      std::min<int64_t>(slice - budget->newest_slice, extra_budget::kSlices);
  for (int64_t i = 0; i < passed; ++i) {
    size_t at = static_cast<size_t>((slice - i) % extra_budget::kSlices);
    budget->firsts[at] = 0;
    budget->extras[at] = 0;
  }
  budget->newest_slice = std::max(budget->newest_slice, slice);
}

int Sum(const std::array<int, extra_budget::kSlices>& counts) {
  return std::accumulate(counts.begin(), counts.end(), 0);
}

double Allowed(const extra_budget& budget, const extra_limits& limits) {
  return kUsableFraction * (limits.ratio * Sum(budget.firsts) + limits.floor);
}

}  // namespace

void RecordFirst(extra_budget* budget, const extra_limits& limits, micros now) {
  Advance(budget, limits, now);
  ++budget->firsts[static_cast<size_t>(budget->newest_slice %
                                       extra_budget::kSlices)];
}

double ExtraRemaining(extra_budget* budget, const extra_limits& limits,
                      micros now) {
  Advance(budget, limits, now);
  return Allowed(*budget, limits) - Sum(budget->extras);
}

double ExtraPerFirst(extra_budget* budget, const extra_limits& limits,
                     micros now) {
  Advance(budget, limits, now);
  int firsts = Sum(budget->firsts);
  return firsts == 0 ? kUsableFraction * limits.ratio
                     : Allowed(*budget, limits) / firsts;
}

bool TrySpendExtra(extra_budget* budget, const extra_limits& limits, micros now,
                   double reserved_fraction) {
  double left = ExtraRemaining(budget, limits, now) -
                reserved_fraction * Allowed(*budget, limits);
  if (left + budget->rounding_offset < 1) return false;
  ++budget->extras[static_cast<size_t>(budget->newest_slice %
                                       extra_budget::kSlices)];
  return true;
}

}  // namespace baobabtray

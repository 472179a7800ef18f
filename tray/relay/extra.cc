// Sliding counts of first and extra requests. See extra.h.

#include "tray/relay/extra.h"

#include <algorithm>
#include <numeric>

namespace baobabtray {
namespace {

// Part of the bound that is used: requests in flight between hosts and servers
// may arrive in another window than they were counted in.
constexpr double kSafePart = 0.85;

// Clears the slices that have passed since the last call.
void Advance(extra_window* w, const extra_bounds& b, micros now) {
  int64_t slice = now / (b.window / (extra_window::kSlices - 1));
  int64_t passed = std::min<int64_t>(slice - w->slice, extra_window::kSlices);
  for (int64_t i = 0; i < passed; ++i) {
    size_t at = static_cast<size_t>((slice - i) % extra_window::kSlices);
    w->firsts[at] = 0;
    w->extras[at] = 0;
  }
  w->slice = std::max(w->slice, slice);
}

int Sum(const std::array<int, extra_window::kSlices>& counts) {
  return std::accumulate(counts.begin(), counts.end(), 0);
}

double Allowed(const extra_window& w, const extra_bounds& b) {
  return kSafePart * (b.ratio * Sum(w.firsts) + b.floor);
}

}  // namespace

void CountFirst(extra_window* w, const extra_bounds& b, micros now) {
  Advance(w, b, now);
  ++w->firsts[static_cast<size_t>(w->slice % extra_window::kSlices)];
}

double ExtraLeft(extra_window* w, const extra_bounds& b, micros now) {
  Advance(w, b, now);
  return Allowed(*w, b) - Sum(w->extras);
}

double ExtraPerFirst(extra_window* w, const extra_bounds& b, micros now) {
  Advance(w, b, now);
  int firsts = Sum(w->firsts);
  return firsts == 0 ? kSafePart * b.ratio : Allowed(*w, b) / firsts;
}

bool SpendExtra(extra_window* w, const extra_bounds& b, micros now,
                double kept) {
  double left = ExtraLeft(w, b, now) - kept * Allowed(*w, b);
  if (left + w->rounding < 1) return false;
  ++w->extras[static_cast<size_t>(w->slice % extra_window::kSlices)];
  return true;
}

}  // namespace baobabtray

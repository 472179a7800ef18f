// A budget for extra work: hedges and retries.
//
// First attempts earn a fraction of a token each, an extra attempt costs one,
// so extra load stays within that fraction of the first attempts whatever
// happens. The store of tokens is bounded, which bounds a burst.

#ifndef TRAY_FLEET_BUDGET_H_
#define TRAY_FLEET_BUDGET_H_

#include <algorithm>

namespace baobabtray {

struct budget {
  double rate = 0;    // tokens earned per first attempt
  double most = 0;    // tokens kept at most
  double tokens = 0;  // invariant: 0 <= tokens <= most
};

inline void Earn(budget* b, int first_attempts) {
  b->tokens = std::min(b->most, b->tokens + b->rate * first_attempts);
}

// Takes one token if at least `reserve` would remain.
inline bool Spend(budget* b, double reserve = 0) {
  if (b->tokens < 1 + reserve) return false;
  b->tokens -= 1;
  return true;
}

}  // namespace baobabtray

#endif  // TRAY_FLEET_BUDGET_H_

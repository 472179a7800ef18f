// A token budget for hedges and retries.
//
// Each first attempt deposits a fraction of a token and each extra attempt
// withdraws one, so in the long run extra attempts stay within that fraction of
// the first attempts. The balance is capped, which bounds a burst.

#ifndef TRAY_FLEET_BUDGET_H_
#define TRAY_FLEET_BUDGET_H_

#include <algorithm>

namespace baobabtray {

struct budget {
  double tokens_per_attempt = 0;  // deposited per first attempt
  double max_tokens = 0;          // cap on `tokens`
  double tokens = 0;              // invariant: 0 <= tokens <= max_tokens
};

inline void Deposit(budget* b, int first_attempts) {
  b->tokens = std::min(b->max_tokens,
                       b->tokens + b->tokens_per_attempt * first_attempts);
}

// Withdraws one token if at least `reserve` would remain. Returns false and
// leaves the budget unchanged otherwise.
inline bool TryWithdraw(budget* b, double reserve = 0) {
  if (b->tokens < 1 + reserve) return false;
  b->tokens -= 1;
  return true;
}

}  // namespace baobabtray

#endif  // TRAY_FLEET_BUDGET_H_

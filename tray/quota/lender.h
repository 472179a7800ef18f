// Lends credit for requests of customers with a limit. No I/O and no clock.
//
//   OpenLoans(&lender, limits, owners, own_name, now);  // owners have changed
//   quota_answer answer = AnswerQuestion(&lender, question, now);
//
// A part of a limit that this host lends is a token bucket, which holds the
// long-term rate, and a count of what was granted in the last window, which
// bounds it whatever is returned. A credit whose request has not run comes
// back: it is taken off the count of the tick in which it was granted.
//
// An account starts with kFirstTokens: a lender that this host follows, or this
// host before a restart, may have lent the rest just now. A host that has
// waited since it joined starts with full accounts, as any former lenders have
// stopped while it waited.
//
// The caller decides whether the host may lend at all (see MayLend).

#ifndef TRAY_QUOTA_LENDER_H_
#define TRAY_QUOTA_LENDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "tray/base/time.h"
#include "tray/quota/quota.h"

namespace baobabtray {

constexpr micros kGrantTick = 50 * kMillisecond;

struct loan_account {
  quota_part part;
  double tokens = kFirstTokens;  // at tokens_at
  micros tokens_at = 0;
  std::map<int64_t, int> granted;  // by tick, within the last window
  int in_window = 0;               // sum of `granted`
};

struct quota_lender {
  quota_bounds bounds;
  // By customer and part. Exactly those that this host lends.
  std::map<std::pair<std::string, int>, loan_account> accounts;
  // Latest question of each host: its instance and sequence number.
  std::map<std::string, std::pair<uint64_t, uint64_t>> latest;
};

// What a host knows of its right to lend. Times of the steady clock.
struct lender_standing {
  micros entry_valid_until = 0;  // its entry in the store can't lapse before
  micros view_as_of = 0;         // it knows all changes of members before
  // From when no other host can lend what it owns; 0: unknown.
  micros settled_at = 0;
};
bool MayLend(const lender_standing& standing, micros now);

// Opens accounts for the parts that host `own` owns and closes all others. Of
// open ones the limits are updated. Empty `limits` close all. `full`: the host
// has just waited for its right to lend.
void OpenLoans(quota_lender* lender,
               const std::map<std::string, quota_limit>& limits,
               const quota_owners& owners, const std::string& own, bool full,
               micros now);

quota_answer AnswerQuestion(quota_lender* lender,
                            const quota_question& question, micros now);

}  // namespace baobabtray

#endif  // TRAY_QUOTA_LENDER_H_

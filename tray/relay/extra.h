// Budget for the extra requests (hedges and retries) sent to one service.
//
// Over all hosts and within any window, at most ratio x first requests + floor
// extra requests are sent. Each host applies the ratio to its own first
// requests and uses its share of the floor, so the sum holds without any
// coordination between hosts. A host can only send whole requests: hosts add
// different `rounding_offset`s before rounding down, so that the rounding
// errors of many hosts cancel out.
//
// Requests are counted in slices of a tenth of the window. The counts cover the
// current slice and the ten before it, so that all extra requests of any span
// of the window's length are counted. 100 bytes; all functions are O(slices).

#ifndef TRAY_RELAY_EXTRA_H_
#define TRAY_RELAY_EXTRA_H_

#include <array>

#include "tray/base/time.h"

namespace baobabtray {

struct extra_limits {
  double ratio = 0.2;
  double floor = 0;  // this host's share
  micros window = 10 * kSecond;
};

struct extra_budget {
  static constexpr int kSlices = 11;  // each a tenth of the window
  std::array<int, kSlices> firsts = {};
  std::array<int, kSlices> extras = {};
  int64_t newest_slice = 0;  // sequence number
  // Added to the remaining budget before it is rounded down. In [0, 1),
  // constant, and uniformly distributed over the hosts.
  double rounding_offset = 0;
};

// Records that a first request was sent.
void RecordFirst(extra_budget* budget, const extra_limits& limits, micros now);

// Records one extra request and returns true if the budget allows it and
// `reserved_fraction` of the budget remains afterwards.
bool TrySpendExtra(extra_budget* budget, const extra_limits& limits, micros now,
                   double reserved_fraction = 0);

// Extra requests allowed per first request, averaged over the window. Based on
// the ratio alone if the window has no first requests.
double ExtraPerFirst(extra_budget* budget, const extra_limits& limits,
                     micros now);

// Extra requests that may still be sent at `now`; may be negative.
double ExtraRemaining(extra_budget* budget, const extra_limits& limits,
                      micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAY_EXTRA_H_

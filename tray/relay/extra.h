// Bounds the extra requests that a service gets: hedges and retries.
//
// Over all hosts and within any window, extra requests may be at most
// ratio x first requests + floor. Each host keeps to that ratio of its own
// first requests and to its part of the floor, so that the sum holds without a
// word between hosts. A part of a request can't be sent: hosts round
// differently, by `rounding`, so that the sum over many hosts is still the
// bound's. Counts are kept in slices of the window; a window is reckoned one
// slice too long for extras and one too short for firsts, so any span of the
// window's length holds the bound. 100 bytes; all calls are O(slices).

#ifndef TRAY_RELAY_EXTRA_H_
#define TRAY_RELAY_EXTRA_H_

#include <array>

#include "tray/base/time.h"

namespace baobabtray {

struct extra_limits {
  double ratio = 0.2;
  double floor = 0;  // this host's part
  micros window = 10 * kSecond;
};

struct extra_budget {
  static constexpr int kSlices = 11;  // of a tenth of the window each
  std::array<int, kSlices> firsts = {};
  std::array<int, kSlices> extras = {};
  int64_t newest_slice = 0;  // number of the newest one
  // Added to what is left before it is rounded down; from 0 to 1, constant, and
  // spread evenly over the hosts.
  double rounding_offset = 0;
};

// A first request was sent.
void RecordFirst(extra_budget* budget, const extra_limits& limits, micros now);

// Counts one extra request if the bound allows it and `kept`, a part of the
// bound, would still be left.
bool TrySpendExtra(extra_budget* budget, const extra_limits& limits, micros now,
                   double reserved_fraction = 0);

// Extra requests for each first one that the bound allows, on average over the
// window. The ratio alone while no request is known.
double ExtraPerFirst(extra_budget* budget, const extra_limits& limits,
                     micros now);

// Extra requests that the bound allows at `now`.
double ExtraRemaining(extra_budget* budget, const extra_limits& limits,
                      micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAY_EXTRA_H_

// Time type of the decision logic: integer microseconds of a steady clock,
// passed in by the caller. No decision logic reads a clock, so that tests can
// simulate any order of events.

#ifndef TRAY_BASE_TIME_H_
#define TRAY_BASE_TIME_H_

#include <cstdint>

namespace baobabtray {

// A point on the host's steady clock or a duration, in microseconds.
using micros = int64_t;

constexpr micros kMillisecond = 1000;
constexpr micros kSecond = 1000 * kMillisecond;

}  // namespace baobabtray

#endif  // TRAY_BASE_TIME_H_

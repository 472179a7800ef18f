// Time as the decision libraries see it: whole microseconds on a steady clock,
// passed in by the caller. Nothing below the daemon reads a clock itself, so a
// test can drive any order of events.

#ifndef TRAY_BASE_TIME_H_
#define TRAY_BASE_TIME_H_

#include <cstdint>

namespace baobabtray {

// A point on the host's steady clock, or a length of time, in microseconds.
using micros = int64_t;

constexpr micros kMillisecond = 1000;
constexpr micros kSecond = 1000 * kMillisecond;

}  // namespace baobabtray

#endif  // TRAY_BASE_TIME_H_

// The host's clocks. Decision libraries take times as arguments; only threads
// and transports read these.

#ifndef TRAY_BASE_CLOCK_H_
#define TRAY_BASE_CLOCK_H_

#include "tray/base/time.h"

namespace baobabtray {

// Microseconds of the steady clock.
micros SteadyNow();

// Milliseconds of the wall clock since 1970.
int64_t WallNowMs();

}  // namespace baobabtray

#endif  // TRAY_BASE_CLOCK_H_

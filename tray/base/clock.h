// The host's clocks. Only the daemons' threads and the transports read them;
// the decision logic takes times as arguments.

#ifndef TRAY_BASE_CLOCK_H_
#define TRAY_BASE_CLOCK_H_

#include "tray/base/time.h"

namespace baobabtray {

// Current time of the steady clock, in microseconds.
micros SteadyNow();

// Current wall-clock time, in milliseconds since the Unix epoch.
int64_t WallNowMs();

}  // namespace baobabtray

#endif  // TRAY_BASE_CLOCK_H_

// Reads the steady and the wall clock. See clock.h.

#include "tray/base/clock.h"

#include <chrono>

namespace baobabtray {

micros SteadyNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t WallNowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace baobabtray

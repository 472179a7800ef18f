// One Asio timer that serves many deadlines: it is armed for the earliest and
// calls back when that has come. Deadlines themselves are kept by the owner.

#ifndef TRAY_BASE_ALARM_H_
#define TRAY_BASE_ALARM_H_

#include <asio.hpp>
#include <chrono>
#include <functional>

#include "tray/base/time.h"

namespace baobabtray {

class alarm_clock {
 public:
  // `ring` runs on the loop; it re-arms the alarm if there are more deadlines.
  alarm_clock(asio::io_context& loop, std::function<void()> ring)
      : timer_(loop), ring_(std::move(ring)) {}

  // Rings at `at` (steady clock) unless it rings earlier anyway.
  void ArmAt(micros at) {
    if (armed_at_ != 0 && armed_at_ <= at) return;
    armed_at_ = at;
    timer_.expires_at(
        std::chrono::steady_clock::time_point(std::chrono::microseconds(at)));
    timer_.async_wait([this](std::error_code error) {
      if (error) return;
      armed_at_ = 0;
      ring_();
    });
  }

 private:
  asio::steady_timer timer_;
  std::function<void()> ring_;
  micros armed_at_ = 0;  // 0: not armed
};

}  // namespace baobabtray

#endif  // TRAY_BASE_ALARM_H_

// One Asio timer that serves many deadlines.
//
// deadline_timer is armed for the earliest and calls back when that has come;
// its owner keeps the deadlines. deadline_queue keeps them as well, each with a
// number; O(log n) a deadline. Neither takes one back: the owner looks whether
// what is due still matters.

#ifndef TRAY_BASE_DEADLINE_TIMER_H_
#define TRAY_BASE_DEADLINE_TIMER_H_

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "tray/base/clock.h"
#include "tray/base/time.h"

namespace baobabtray {

class deadline_timer {
 public:
  // `ring` runs on the loop; it re-arms the alarm if there are more deadlines.
  deadline_timer(asio::io_context& loop, std::function<void()> ring)
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

class deadline_queue {
 public:
  // `due` runs on the loop for each deadline that has come, the earliest first.
  deadline_queue(asio::io_context& loop,
                 std::function<void(uint64_t id, micros at)> due)
      : alarm_(loop, [this] { Run(); }), due_(std::move(due)) {}

  void Add(micros at, uint64_t id) {
    entries_.push({at, id});
    alarm_.ArmAt(entries_.top().first);
  }

 private:
  void Run() {
    micros now = SteadyNow();
    while (!entries_.empty() && entries_.top().first <= now) {
      auto [at, id] = entries_.top();
      entries_.pop();
      due_(id, at);
    }
    if (!entries_.empty()) alarm_.ArmAt(entries_.top().first);
  }

  using entry = std::pair<micros, uint64_t>;
  deadline_timer alarm_;
  std::function<void(uint64_t, micros)> due_;
  std::priority_queue<entry, std::vector<entry>, std::greater<entry>> entries_;
};

}  // namespace baobabtray

#endif  // TRAY_BASE_DEADLINE_TIMER_H_

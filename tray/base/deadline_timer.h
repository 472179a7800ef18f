// Many deadlines on one Asio timer.
//
// deadline_timer holds one pending expiry, the earliest that was requested; its
// owner keeps the list of deadlines. deadline_queue keeps that list as well, in
// a heap keyed by time: O(log n) per deadline. Neither supports cancellation:
// the owner checks on expiry whether the deadline still applies.

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
  // Calls `on_expiry` on the loop's thread. The callback re-arms the timer if
  // deadlines remain.
  deadline_timer(asio::io_context& loop, std::function<void()> on_expiry)
      : timer_(loop), on_expiry_(std::move(on_expiry)) {}

  // Fires at `at` (steady clock), unless an earlier expiry is already armed.
  void ArmAt(micros at) {
    if (armed_at_ != 0 && armed_at_ <= at) return;
    armed_at_ = at;
    timer_.expires_at(
        std::chrono::steady_clock::time_point(std::chrono::microseconds(at)));
    timer_.async_wait([this](std::error_code error) {
      if (error) return;
      armed_at_ = 0;
      on_expiry_();
    });
  }

 private:
  asio::steady_timer timer_;
  std::function<void()> on_expiry_;
  micros armed_at_ = 0;  // 0: not armed
};

class deadline_queue {
 public:
  // Calls `on_deadline` on the loop's thread for each deadline that has passed,
  // earliest first.
  deadline_queue(asio::io_context& loop,
                 std::function<void(uint64_t id, micros at)> on_deadline)
      : timer_(loop, [this] { Run(); }), on_deadline_(std::move(on_deadline)) {}

  void Add(micros at, uint64_t id) {
    entries_.push({at, id});
    timer_.ArmAt(entries_.top().first);
  }

 private:
  void Run() {
    micros now = SteadyNow();
    while (!entries_.empty() && entries_.top().first <= now) {
      auto [at, id] = entries_.top();
      entries_.pop();
      on_deadline_(id, at);
    }
    if (!entries_.empty()) timer_.ArmAt(entries_.top().first);
  }

  using entry = std::pair<micros, uint64_t>;
  deadline_timer timer_;
  std::function<void(uint64_t, micros)> on_deadline_;
  std::priority_queue<entry, std::vector<entry>, std::greater<entry>> entries_;
};

}  // namespace baobabtray

#endif  // TRAY_BASE_DEADLINE_TIMER_H_

// Account of bytes held for callers. See byte_account.h.

#include "tray/http/byte_account.h"

#include <algorithm>
#include <utility>

namespace baobabtray {

size_t byte_account::LimitOf(size_t charge) const {
  return charge > kSmallCharge ? limit_ / 4 * 3 : limit_;
}

byte_charge::byte_charge(byte_charge&& other) noexcept
    : account_(std::move(other.account_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

byte_charge& byte_charge::operator=(byte_charge&& other) noexcept {
  if (this == &other) return *this;
  Resize(0);
  account_ = std::move(other.account_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool byte_charge::Resize(size_t bytes) {
  if (account_ != nullptr && bytes > bytes_) {
    if (bytes > account_->limit_ / 2) return false;
    size_t more = bytes - bytes_;
    size_t limit = account_->LimitOf(bytes);
    size_t used = account_->used_.load(std::memory_order_relaxed);
    do {
      if (used + more > limit) return false;
    } while (!account_->used_.compare_exchange_weak(used, used + more,
                                                    std::memory_order_relaxed));
  } else if (account_ != nullptr && bytes < bytes_) {
    account_->used_.fetch_sub(bytes_ - bytes, std::memory_order_relaxed);
  }
  bytes_ = bytes;
  return true;
}

bool byte_charge::Fits(size_t bytes) const {
  return account_ == nullptr || bytes <= bytes_ ||
         (bytes <= account_->limit_ / 2 &&
          account_->used() + bytes - bytes_ <= account_->LimitOf(bytes));
}

bool AppendCharged(std::string* text, const char* data, size_t size,
                   size_t expected_size, size_t other_bytes,
                   byte_charge* charge) {
  size_t needed = text->size() + size;
  if (needed > text->capacity()) {
    size_t capacity = std::max(needed, std::min(2 * needed, expected_size));
    if (!charge->Resize(other_bytes + capacity)) return false;
    // reserve() of a string that is not empty may take more than it is asked
    // for.
    std::string larger;
    larger.reserve(capacity);
    larger.append(*text);
    text->swap(larger);
  }
  text->append(data, size);
  return true;
}

}  // namespace baobabtray

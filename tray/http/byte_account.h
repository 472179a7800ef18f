// Account of the bytes that a process holds for callers: heads and bodies that
// are being read, replies of servers, and responses that are not yet written.
//
//   auto account = std::make_shared<byte_account>(limit);
//   byte_charge charge(account);
//   if (!charge.Resize(bytes)) ...;  // refused; take no memory
//
// Memory is charged before it is taken, and given back when its charge is
// lowered or destroyed, so every way out gives it back. One charge may hold at
// most half of the limit. A charge beyond kSmallCharge may only use three
// quarters of it; the rest is left to small requests, so that callers with
// large ones don't shut out ordinary callers.
//
// Thread-safe: charges of one account may be changed on any thread, one charge
// on one thread at a time. Resize takes constant time and allocates nothing.

#ifndef TRAY_HTTP_BYTE_ACCOUNT_H_
#define TRAY_HTTP_BYTE_ACCOUNT_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace baobabtray {

// Larger than a typical request with its response.
constexpr size_t kSmallCharge = 64 << 10;
// The part of a process's memory that its account may use. The rest is for
// routes and servers, code, the allocator's free blocks and copies of replies.
constexpr size_t kAccountDivisor = 4;

class byte_account {
 public:
  explicit byte_account(size_t limit_bytes) : limit_(limit_bytes) {}
  byte_account(const byte_account&) = delete;
  byte_account& operator=(const byte_account&) = delete;

  size_t limit() const { return limit_; }
  size_t used() const { return used_.load(std::memory_order_relaxed); }

 private:
  friend class byte_charge;
  size_t LimitOf(size_t charge) const;

  const size_t limit_;
  std::atomic<size_t> used_ = 0;  // at most limit_
};

using byte_account_ref = std::shared_ptr<byte_account>;

// What one holder has charged. Without an account nothing is refused.
class byte_charge {
 public:
  byte_charge() = default;
  explicit byte_charge(byte_account_ref account)
      : account_(std::move(account)) {}
  byte_charge(byte_charge&& other) noexcept;
  byte_charge& operator=(byte_charge&& other) noexcept;
  ~byte_charge() { Resize(0); }

  // Changes the charge to `bytes`. Returns false, and changes nothing, if the
  // account does not permit a higher one.
  bool Resize(size_t bytes);
  // Whether Resize(bytes) would succeed now.
  bool Fits(size_t bytes) const;
  size_t bytes() const { return bytes_; }

 private:
  byte_account_ref account_;
  size_t bytes_ = 0;
};

// Appends to `text`, whose capacity is part of `charge`; `other_bytes` is the
// rest of the charge. The capacity doubles, but not beyond `expected_size`
// unless needed. Returns false, and appends nothing, if that is refused.
bool AppendCharged(std::string* text, const char* data, size_t size,
                   size_t expected_size, size_t other_bytes,
                   byte_charge* charge);

}  // namespace baobabtray

#endif  // TRAY_HTTP_BYTE_ACCOUNT_H_

// Performs claims (claim.h) against the store for one traffic thread.

#ifndef TRAY_DAEMON_CLAIMS_H_
#define TRAY_DAEMON_CLAIMS_H_

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "tray/config/claim.h"
#include "tray/daemon/engine.h"
#include "tray/http/fetch.h"
#include "tray/wire/store_client.h"

namespace baobabtray {

// Answers larger than this are not kept for duplicates.
constexpr size_t kMaxKeptAnswer = 16 << 10;

// The end of a claim.
struct claimed_key {
  claim_verdict verdict = claim_verdict::kNotRun;
  std::string key;
  claim_record record;          // kRun: ours; kDuplicate: the other's
  uint64_t store_revision = 0;  // kRun: of our record
};

class claim_runner {
 public:
  claim_runner(fetcher* http, engine* shared, asio::io_context* loop);

  // Claims `key`; `done` is called once, at the latest shortly after
  // `deadline`.
  void Claim(const std::string& key, micros deadline,
             std::function<void(claimed_key)> done);

  // Records how the claimed request ended, in the background: its answer, or
  // that it was not run and may be claimed again.
  void Settle(const claimed_key& claim, query_outcome outcome,
              const std::string& answer);

 private:
  struct claiming;
  struct settling;
  void Advance(std::shared_ptr<claiming> c, claim_step step);
  void Release(const std::shared_ptr<claiming>& c);
  void Write(std::shared_ptr<settling> s);
  void CheckWritten(std::shared_ptr<settling> s);
  void After(micros delay, std::function<void()> then);

  fetcher& http_;
  engine& shared_;
  store_client store_;
  asio::io_context& loop_;
  std::mt19937_64 random_;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_CLAIMS_H_

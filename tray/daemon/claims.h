// Runs claim operations (claim.h) against the store for one traffic thread.

#ifndef TRAY_DAEMON_CLAIMS_H_
#define TRAY_DAEMON_CLAIMS_H_

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "tray/config/claim.h"
#include "tray/daemon/daemon_state.h"
#include "tray/http/fetch.h"
#include "tray/wire/store_client.h"

namespace baobabtray {

// Larger answers are not stored for duplicate requests.
constexpr size_t kMaxStoredAnswerBytes = 16 << 10;

// Result of a claim operation.
struct claim_result {
  claim_verdict verdict = claim_verdict::kNotRun;
  std::string key;
  claim_record record;  // kRun: our record; kDuplicate: the other request's
  uint64_t store_revision = 0;  // kRun: revision of our record
};

class claim_runner {
 public:
  claim_runner(fetcher* http, daemon_state* state, asio::io_context* loop);

  // Claims `key`. `done` is called once, shortly after `deadline` at the
  // latest.
  void Claim(const std::string& key, micros deadline,
             std::function<void(claim_result)> done);

  // Writes the outcome of the claimed request in the background: either its
  // answer, or that it was not run and the key may be claimed again.
  void RecordOutcome(const claim_result& claim, query_outcome outcome,
                     const std::string& answer);

 private:
  struct pending_claim;
  struct pending_write;
  void Advance(std::shared_ptr<pending_claim> claim, claim_step step);
  void Release(const std::shared_ptr<pending_claim>& claim);
  void WriteRecord(std::shared_ptr<pending_write> write);
  void VerifyWrite(std::shared_ptr<pending_write> write);
  void RunAfter(micros delay, std::function<void()> then);

  fetcher& http_;
  daemon_state& state_;
  store_client store_;
  asio::io_context& loop_;
  std::mt19937_64 random_;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_CLAIMS_H_

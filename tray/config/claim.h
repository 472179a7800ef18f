// State machine that claims an idempotency key, for at-most-once execution.
//
// The load balancer may deliver one request to two hosts. Before a
// non-idempotent request with a key is sent to any backend server, the host
// creates a claim record for the key in the store by compare-and-swap, with a
// unique token. Only the host that created the record sends the request. A
// claim never expires, so a host that was paused after claiming can't cause a
// second execution. If the reply to a write is lost, the record is read back
// and the token shows whose it is.
//
//   claim_operation op{.own_record = {.token = ...}, .deadline = ...};
//   claim_step step = StartClaim(&op);
//   // kCreate: write DumpClaim(op.own_record) if the key is still at
//   //          op.store_revision             -> OnClaimCreate
//   // kRead:   read the key                  -> OnClaimRead
//   // kDone:   the result is in op.verdict
//
// Afterwards the holder overwrites the record with the outcome (kDone). If
// nothing was run it releases the claim instead, so that the caller may retry.

#ifndef TRAY_CONFIG_CLAIM_H_
#define TRAY_CONFIG_CLAIM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "tray/base/enum_names.h"
#include "tray/base/time.h"
#include "tray/config/edit.h"

namespace baobabtray {

enum class claim_state {
  kHeld,      // a host runs the request, or its outcome is not known
  kDone,      // finished; `answer` is the response to the caller
  kReleased,  // not run; the key may be claimed again
};
constexpr name_table<claim_state, 3> kClaimStateNames = {{
    {claim_state::kHeld, "held"},
    {claim_state::kDone, "done"},
    {claim_state::kReleased, "released"},
}};

// The stored record of a claim.
struct claim_record {
  claim_state state = claim_state::kHeld;
  std::string token;  // unique to the claiming request
  std::string host;
  int64_t until_ms = 0;  // wall clock by which the holder answers
  std::string answer;    // kDone: JSON, or "" if too large to store
};

std::string DumpClaim(const claim_record& c);
absl::StatusOr<claim_record> ParseClaim(std::string_view json);

// Store key of the claim on `key` for `service`.
std::string ClaimKey(std::string_view service, std::string_view key);

enum class claim_verdict {
  kRun,        // claimed by this host: send the request
  kDuplicate,  // claimed by another request, see `existing_record`
  kNotRun,     // the claim was not confirmed; nothing was sent
};

enum class claim_step { kCreate, kRead, kDone };

struct claim_operation {
  claim_record own_record;
  micros deadline = 0;

  claim_verdict verdict = claim_verdict::kNotRun;
  claim_record existing_record;  // kDuplicate: the other request's record
  // Store revision of our record, or the one that the next create expects.
  uint64_t store_revision = 0;
  // kNotRun: the claim may exist and must be released.
  bool claim_unconfirmed = false;
};

claim_step StartClaim(claim_operation* op);
claim_step OnClaimCreate(claim_operation* op, const store_result& result,
                         micros now);
claim_step OnClaimRead(claim_operation* op, const store_result& result,
                       micros now);

}  // namespace baobabtray

#endif  // TRAY_CONFIG_CLAIM_H_

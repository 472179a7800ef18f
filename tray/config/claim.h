// At most once: the claim on a caller-given key, as a state machine.
//
// The balancer may deliver one request to two hosts. Before a non-idempotent
// request with a key is sent anywhere, the host creates the key's claim in the
// store by compare-and-swap, marked with a token of its own. Whoever creates it
// runs the request; the claim never passes to another host by time, so a host
// that was paused after its claim does no harm. A lost reply is read back and
// recognised by the token.
//
//   claim_run run{.token = ..., .deadline = ...};
//   claim_step step = StartClaim(&run);
//   // kCreate: write ClaimValue(...) if absent -> OnClaimCreate
//   // kRead:   read                            -> OnClaimRead
//   // kDone:   run.verdict
//
// Afterwards the holder overwrites the claim with the outcome (kDone record)
// or, if nothing was run, releases it, so that the caller may try again.

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
  kHeld,      // some host runs it, or did so and could not say more
  kDone,      // run; `answer` is what the caller was told
  kReleased,  // not run; may be claimed again
};
constexpr name_table<claim_state, 3> kClaimStateNames = {{
    {claim_state::kHeld, "held"},
    {claim_state::kDone, "done"},
    {claim_state::kReleased, "released"},
}};

// The value under a claim's key.
struct claim_record {
  claim_state state = claim_state::kHeld;
  std::string token;  // of the claiming attempt
  std::string host;
  int64_t until_ms = 0;  // wall clock by when the holder will have answered
  std::string answer;    // kDone: JSON, or "" if it was too large to keep
};

std::string DumpClaim(const claim_record& c);
absl::StatusOr<claim_record> ParseClaim(std::string_view json);

// Key in the store of `key` for `service`.
std::string ClaimKey(std::string_view service, std::string_view key);

enum class claim_verdict {
  kRun,        // the claim is ours: send the request
  kDuplicate,  // another request has the key; `record` tells its state
  kNotRun,     // the store could not confirm the claim; nothing was sent
};

enum class claim_step { kCreate, kRead, kDone };

struct claim_run {
  claim_record ours;
  micros deadline = 0;

  claim_verdict verdict = claim_verdict::kNotRun;
  claim_record record;          // kDuplicate: what is there
  uint64_t store_revision = 0;  // of our claim, or the one to swap against
  bool maybe_ours = false;  // kNotRun: the claim may exist and needs release
};

claim_step StartClaim(claim_run* run);
claim_step OnClaimCreate(claim_run* run, const store_result& result,
                         micros now);
claim_step OnClaimRead(claim_run* run, const store_result& result, micros now);

}  // namespace baobabtray

#endif  // TRAY_CONFIG_CLAIM_H_

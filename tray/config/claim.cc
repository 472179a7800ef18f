// Claims on idempotency keys. See claim.h.

#include "tray/config/claim.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "tray/base/hash.h"
#include "tray/base/json.h"

namespace baobabtray {
namespace {

using nlohmann::json;

claim_step Finish(claim_operation* op, claim_verdict verdict) {
  op->verdict = verdict;
  return claim_step::kDone;
}

}  // namespace

std::string DumpClaim(const claim_record& c) {
  return json{{"state", NameOf(kClaimStateNames, c.state)},
              {"token", c.token},
              {"host", c.host},
              {"until_ms", c.until_ms},
              {"answer", c.answer}}
      .dump();
}

absl::StatusOr<claim_record> ParseClaim(std::string_view value) {
  json j = ParseJson(value);
  claim_record c;
  try {
    auto state = ValueOf(kClaimStateNames, StringOf(j.at("state"), "state"));
    if (!state) return absl::DataLossError("claim record: unknown state");
    c.state = *state;
    c.token = StringOf(j.at("token"), "token");
    c.host = StringOf(j.at("host"), "host");
    c.until_ms = IntegerOf<int64_t>(j.at("until_ms"), "until_ms");
    c.answer = StringOf(j.at("answer"), "answer");
  } catch (const std::exception&) {
    return absl::DataLossError("claim record: malformed JSON or missing field");
  }
  return c;
}

std::string ClaimKey(std::string_view service, std::string_view key) {
  return fmt::format("baobabtray.claim.{}.{}", service, FingerprintOf(key));
}

claim_step StartClaim(claim_operation*) { return claim_step::kCreate; }

claim_step OnClaimCreate(claim_operation* op, const store_result& result,
                         micros now) {
  switch (result.fault) {
    case store_fault::kNone:
      op->store_revision = result.revision;
      return Finish(op, claim_verdict::kRun);
    case store_fault::kNotSent:
      if (now >= op->deadline) return Finish(op, claim_verdict::kNotRun);
      return claim_step::kCreate;
    case store_fault::kLost:
      op->claim_unconfirmed = true;
      [[fallthrough]];
    case store_fault::kConflict:
    case store_fault::kAbsent:
      break;
  }
  if (now >= op->deadline) return Finish(op, claim_verdict::kNotRun);
  return claim_step::kRead;
}

claim_step OnClaimRead(claim_operation* op, const store_result& result,
                       micros now) {
  if (result.fault == store_fault::kAbsent) {
    op->store_revision = 0;
    if (now >= op->deadline) return Finish(op, claim_verdict::kNotRun);
    return claim_step::kCreate;
  }
  if (result.fault != store_fault::kNone) {
    if (now >= op->deadline) return Finish(op, claim_verdict::kNotRun);
    return claim_step::kRead;
  }
  absl::StatusOr<claim_record> found = ParseClaim(result.value);
  if (!found.ok()) return Finish(op, claim_verdict::kNotRun);
  bool moved = result.revision != op->store_revision;
  op->store_revision = result.revision;
  if (found->token == op->own_record.token) {
    // Nothing is sent after the deadline, so the claim must be released.
    op->claim_unconfirmed = true;
    return Finish(
        op, now >= op->deadline ? claim_verdict::kNotRun : claim_verdict::kRun);
  }
  // Our write can't succeed once the key has passed the expected revision.
  if (moved) op->claim_unconfirmed = false;
  if (found->state == claim_state::kReleased && now < op->deadline) {
    return claim_step::kCreate;
  }
  op->existing_record = *std::move(found);
  return Finish(op, claim_verdict::kDuplicate);
}

}  // namespace baobabtray

// Claims on idempotency keys. See claim.h.

#include "tray/config/claim.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "tray/base/hash.h"

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
  json j = json::parse(value, nullptr, false);
  claim_record c;
  try {
    auto state = ValueOf(kClaimStateNames, j.at("state").get<std::string>());
    if (!state) return absl::DataLossError("claim record: unknown state");
    c.state = *state;
    j.at("token").get_to(c.token);
    j.at("host").get_to(c.host);
    j.at("until_ms").get_to(c.until_ms);
    j.at("answer").get_to(c.answer);
  } catch (const json::exception&) {
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
